"""Gateway and controller processes, which are started, signalled and restarted as the platform does."""
import asyncio
import os
import signal

from history import History, ProcessEvent

RESTART_DELAY_S = 0.3


class ManagedProcess:
    """One gateway or controller. A supervisor task restarts it whenever it ends."""

    def __init__(self, history: History, clock, node, is_controller, command, settings_path, make_settings,
                 log_path, grace_s):
        self.node = node
        self.is_controller = is_controller
        self.frozen = False
        self._history = history
        self._clock = clock
        self._command = command
        self._settings_path = settings_path
        self._make_settings = make_settings
        self._log_path = log_path
        self._grace_s = grace_s
        self._process = None
        self._starts = 0
        self._expected_end = False
        self._terminations = 0
        self._closing = False
        self._supervisor = None

    @property
    def running(self):
        return self._process is not None and self._process.returncode is None

    def _record(self, kind):
        self._history.events.append(ProcessEvent(self.node, self.is_controller, self._clock(), kind))

    def write_settings(self, share=1.0):
        """Writes the settings file, or the first `share` of it."""
        text = self._make_settings(first_start=self._starts == 0)
        with open(self._settings_path, 'w', encoding='utf-8') as file:
            file.write(text[:int(len(text) * share)])

    def start(self):
        self._supervisor = asyncio.ensure_future(self._supervise())

    async def _supervise(self):
        while not self._closing:
            self.write_settings()
            self._starts += 1
            self._expected_end = False
            with open(self._log_path, 'ab') as log:
                self._process = await asyncio.create_subprocess_exec(
                    *self._command, '--config', self._settings_path, stdout=log, stderr=log,
                    stdin=asyncio.subprocess.DEVNULL, env={'PATH': os.environ['PATH']})
            self._record('start')
            await self._process.wait()
            self.frozen = False
            if not self._expected_end and not self._closing:
                self._record('ended_by_itself')
            elif not self._closing:
                self._record('exit')
            await asyncio.sleep(RESTART_DELAY_S)

    def terminate(self):
        """Sends SIGTERM, and SIGKILL after the grace time. May be called again before the process has ended."""
        if not self.running:
            return
        self._expected_end = True
        self._record('term')
        self._process.send_signal(signal.SIGTERM)
        asyncio.ensure_future(self._kill_after_grace(self._process))

    async def _kill_after_grace(self, process):
        try:
            await asyncio.wait_for(process.wait(), self._grace_s)
        except asyncio.TimeoutError:
            if process.returncode is None:
                self._record('kill')
                process.kill()

    def kill(self):
        if not self.running:
            return
        self._expected_end = True
        self._record('kill')
        self._process.kill()

    async def freeze(self, seconds):
        if not self.running or self.frozen:
            return
        process = self._process
        self._record('freeze')
        self.frozen = True
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.returncode is None:
            self._record('thaw')
            process.send_signal(signal.SIGCONT)
        self.frozen = False

    def reload(self):
        self.write_settings()
        if self.running:
            self._record('hup')
            self._process.send_signal(signal.SIGHUP)

    def rewrite_settings(self, share, signalled):
        """Writes the settings file anew, the first `share` of it, and sends SIGHUP if `signalled`."""
        self.write_settings(share)
        if self.running and signalled:
            self._process.send_signal(signal.SIGHUP)

    async def close(self):
        self._closing = True
        if self.running:
            self._process.kill()
            await self._process.wait()
        self._supervisor.cancel()
