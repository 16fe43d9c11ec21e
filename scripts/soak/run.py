#!/usr/bin/python3
"""Soak test of the deployed program as real processes: gateways and controllers with the settings of deploy/,
an emulated platform, clients with persistent connections, and overlapping series of signals, restarts and
changes, drawn from a seed. rules.py checks what clients, workers and operator observed.

Usage: scripts/soak/run.py --program build/release/posthatch-platform --seeds 1-3 [--parallel 2] [--seconds 36]
       [--controllers 5] [--gateways 8] [--workers 18] [--no-overload] [--draw-figures] [--cut-core]
       [--keep FOLDER]
Exit 0: no run broke a rule; 1: a run did; 2: a run could not be judged.
"""
import argparse
import asyncio
import contextlib
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time

import aiohttp

import settings_template
from callers import Callers, Operator
from core_cuts import CoreCut
from evacuations import EvacuationOperator, EvacuationSeries
from faults import Faults
from figures import Figures
from history import History
from overload import OverloadPhases
from processes import ManagedProcess
from rules import judge
from workers import Engine, InstanceList, Pool, Worker

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ['z1', 'z2', 'z3', 'z4']
INTERNAL_PORT, CONTROL_PORT, FRONT_PORT, READINESS_PORT, WORKER_PORT = 7340, 8783, 8782, 8789, 8080
SETTLE_S = 10
# How long an evacuation is watched beyond its bounds.
HOLD_MARGIN_S = 3
# Longest stall of the soak's event loop with which the times that it records are still reliable.
TOLERATED_STALL_S = 0.5


class Run:
    def __init__(self, options, seed, folder):
        self.options = options
        self.seed = seed
        self.folder = folder
        self.rng = random.Random(seed)
        self.started_at = time.monotonic()
        self.history = History()
        self.figures = Figures(self, random.Random(f'figures-{seed}'), options.draw_figures)
        self.bounds = self.figures.bounds()
        # Parallel runs need separate networks.
        self.network = 2 + seed % 200
        self.controllers = []
        self.gateways = []
        self.workers = []
        # Generators of their own: a run without overload has the draws that its seed had before there was any.
        overload_rng = random.Random(f'overload-{seed}')
        self.overload = OverloadPhases(self, overload_rng, options.overload)
        self.pool = Pool(self.history, self.clock, self.rng, overload_rng, Engine(), options.workers)
        self.instance_list_address = self._ip(9, 1) + ':8784'
        self.instance_list = InstanceList(self.pool, self.instance_list_address, self.figures.list_rate)
        self._seed_controllers = [0, 1, 2]
        self._templates = {}
        for role in ('controller', 'gateway'):
            with open(os.path.join(options.deploy, f'{role}.toml.in'), encoding='utf-8') as file:
                self._templates[role] = file.read()
        self._ready = set()
        self._replaced = 0

    def clock(self):
        return time.monotonic() - self.started_at

    def _ip(self, group, number):
        return f'127.{self.network}.{group + number // 250}.{1 + number % 250}'

    # Processes and workers of the fleet.

    def _settings(self, role, number, first_start):
        address = self._ip(10 if role == 'controller' else 20, number)
        zone = ZONES[number % len(ZONES)]
        fields = {
            'node': self._node(role, number), 'ip': address, 'zone': zone, 'region': 'r',
            'listen': {'front': f'{address}:{FRONT_PORT}', 'readiness': f'{address}:{READINESS_PORT}',
                       'control': f'{address}:{CONTROL_PORT}'},
            'port_range': [INTERNAL_PORT, INTERNAL_PORT + 15],
            'seeds': [f'{self._ip(10, n)}:{CONTROL_PORT}' for n in self._seed_controllers],
            'bootstrap': first_start, 'data_dir': os.path.join(self.folder, self._node(role, number)),
            'cloud': {'address': self.instance_list_address, 'rate_per_s': self.figures.list_rate},
            'bounds': self.figures.of_node(self._node(role, number)),
        }
        return settings_template.fill(self._templates[role], fields)

    @staticmethod
    def _node(role, number):
        return f'core-{number}' if role == 'controller' else f'edge-{number}'

    def _make_process(self, role, number):
        node = self._node(role, number)
        command = [self.options.program, role]
        if self.options.cut_core and role == 'controller':
            command.append('--enable-fault-injection')
        return ManagedProcess(
            self.history, self.clock, node, role == 'controller', command,
            os.path.join(self.folder, node + '.toml'),
            lambda first_start: self._settings(role, number, first_start),
            os.path.join(self.folder, node + '.log'), self.bounds.grace)

    def _start_fleet(self):
        self.controllers = [self._make_process('controller', n) for n in range(self.options.controllers)]
        self.gateways = [self._make_process('gateway', n) for n in range(self.options.gateways)]
        for process in self.controllers + self.gateways:
            process.start()

    async def _start_workers(self):
        for number in range(self.options.workers):
            await self._add_worker(f'i-{number}', 'llm', self._ip(30, number), number, 'm0')
        for number in range(self.overload.service_instances):
            await self._add_worker(f'a-{number}', 'app', self._ip(40, number), number, '')
        await self.instance_list.start()

    async def _add_worker(self, instance_id, service, ip, number, model):
        revision = self.pool.newest_revisions.get(model, 1) if model else 0
        worker = Worker(self.pool, instance_id, service, f'{ip}:{WORKER_PORT}', ZONES[number % len(ZONES)], model,
                        revision)
        await worker.start()
        self.instance_list.workers.append(worker)
        if model:
            self.workers.append(worker)

    async def replace_worker(self):
        """Starts a new worker, then drains and removes an old one."""
        self._replaced += 1
        number = self.options.workers + self._replaced
        await self._add_worker(f'i-{number}', 'llm', self._ip(30, number), number, 'm0')
        old = next(worker for worker in self.workers if not worker.draining)
        old.draining = True
        asyncio.ensure_future(self._remove_worker(old))

    async def _remove_worker(self, worker):
        await asyncio.sleep(self.bounds.drain + 4)
        self.workers.remove(worker)
        self.instance_list.workers.remove(worker)
        await worker.stop()

    def leader(self):
        """Returns the controller that, by the logs, acquired leadership in the highest term."""
        best = (0, None)
        for process in self.controllers:
            with open(os.path.join(self.folder, process.node + '.log'), encoding='utf-8') as log:
                for line in log:
                    if '"ControllerLeadershipAcquired"' in line:
                        term = int(line.split('"term":"')[1].split('"')[0])
                        best = max(best, (term, process), key=lambda entry: entry[0])
        return best[1]

    def change_seed_controllers(self):
        self._seed_controllers = self.rng.sample(range(self.options.controllers), 3)

    @contextlib.contextmanager
    def worker_fault(self, description):
        since = self.clock()
        yield
        self.history.worker_faults.append((since, self.clock(), description))

    # Course of the run.

    async def _watch_readiness(self, number):
        node, misses = self._node('gateway', number), 2
        url = f'http://{self._ip(20, number)}:{READINESS_PORT}/v1/readyz'
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=0.9)) as session:
            while True:
                try:
                    async with session.get(url) as response:
                        misses = 0 if response.status == 200 else misses + 1
                except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
                    misses += 1
                (self._ready.discard if misses >= 2 else self._ready.add)(node)
                await asyncio.sleep(1)

    async def _measure_stalls(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            self.history.worst_stall_s = max(self.history.worst_stall_s, time.monotonic() - before - 0.05)

    async def execute(self):
        await self._start_workers()
        self._start_fleet()
        background = [asyncio.ensure_future(self._watch_readiness(n)) for n in range(self.options.gateways)]
        background.append(asyncio.ensure_future(self._measure_stalls()))
        controller_addresses = {p.node: f'{self._ip(10, n)}:{CONTROL_PORT}' for n, p in enumerate(self.controllers)}
        self.operator = Operator(self.history, self.clock, self.rng, controller_addresses, self.pool.newest_revisions)
        await self.operator.change_configuration()
        await self._wait_until_ready()
        gateway_addresses = {p.node: f'{self._ip(20, n)}:{FRONT_PORT}' for n, p in enumerate(self.gateways)}
        callers = Callers(self.history, self.clock, self.rng, gateway_addresses, lambda: sorted(self._ready),
                          f's{self.seed}')
        clients = [asyncio.ensure_future(callers.client(0.4, 0.25)) for _ in range(self.options.clients)]
        clients.append(asyncio.ensure_future(callers.probe(lambda: self.operator.acknowledged_version)))
        if self.options.cut_core:
            faults = CoreCut(self, random.Random(f'core-cut-{self.seed}'), controller_addresses)
            series = [asyncio.ensure_future(faults.execute())]
            await asyncio.wait(series)
        else:
            faults = Faults(self, self.rng, self.options.seconds)
            series = self._start_series(faults, controller_addresses)
            await asyncio.sleep(self.options.seconds)
        await asyncio.wait(series, timeout=SETTLE_S)
        await asyncio.sleep(SETTLE_S)
        callers.stopping = True
        await asyncio.wait(clients, timeout=SETTLE_S + 2)
        await self._finish(background, faults, series)

    def _start_series(self, faults, controller_addresses):
        last_end = self.clock() + self.options.seconds
        coroutines = faults.draw() + [self._evacuate(controller_addresses), self.overload.execute(last_end),
                                      self.figures.execute(last_end)]
        return [asyncio.ensure_future(one) for one in coroutines]

    async def _evacuate(self, controller_addresses):
        rng = random.Random(f'evacuations-{self.seed}')
        hold_s = self.bounds.evacuate + self.bounds.max_stretch + HOLD_MARGIN_S
        async with EvacuationOperator(self.history, self.clock, rng, controller_addresses) as operator:
            series = EvacuationSeries(self, rng, self.clock() + self.options.seconds - hold_s, hold_s)
            await series.execute(ZONES[:2], operator)

    async def _wait_until_ready(self):
        deadline = time.monotonic() + 30
        while len(self._ready) < self.options.gateways and time.monotonic() < deadline:
            await asyncio.sleep(0.1)

    async def _finish(self, background, faults, series):
        for task in series:
            if task.done() and task.exception() is not None:
                raise task.exception()
        self.history.ended_at = self.clock()
        for worker in self.workers:
            if not worker.draining:
                self.history.final_revisions[worker.id] = (worker.model, worker.revision, worker.started_at)
        self.history.final_configuration = await self.operator.read_configuration()
        self.schedule = faults.schedule
        for task in background:
            task.cancel()
        for process in self.controllers + self.gateways:
            await process.close()

    def report(self):
        verdicts = judge(self.history, self.bounds, self.options.controllers)
        broken = [v for v in verdicts if v.violations]
        calls = [c for c in self.history.calls if c.kind != 'probe']
        complete = sum(c.complete for c in calls)
        lines = [f'seed {self.seed}: {len(calls)} calls, {complete} complete, '
                 f'{len([e for e in self.history.events if e.kind == "start"])} starts, longest stall '
                 f'{self.history.worst_stall_s:.2f} s; ' + '; '.join(self.schedule)]
        if self.overload.drawn:
            lines[0] += (f'; overload of {self.overload.service_instances} instances: {self.history.rejections} '
                         f'rejections, {self.history.copies} copies of answers')
        if self.figures.drawn:
            lines[0] += f'; figures {self.figures.values}, list rate {self.figures.list_rate}'
        lines.append('  cases: ' + ', '.join(f'{v.rule} {v.cases}' for v in verdicts))
        for verdict in broken:
            lines.append(f'  {verdict.rule} BROKEN: {len(verdict.violations)} cases')
            lines += ['    ' + violation for violation in verdict.violations[:4]]
        unjudged = self.history.worst_stall_s > TOLERATED_STALL_S or complete == 0
        if unjudged:
            lines.append('  NOT JUDGED: the event loop of the soak stalled, or no call completed')
        return broken, unjudged, '\n'.join(lines)


def run_one(options, seed):
    folder = os.path.join(options.keep or tempfile.mkdtemp(prefix='soak-'), f'seed-{seed}')
    os.makedirs(folder)
    run = Run(options, seed, folder)
    asyncio.run(run.execute())
    broken, unjudged, text = run.report()
    print(text, flush=True)
    if not broken and not unjudged and not options.keep:
        shutil.rmtree(os.path.dirname(folder))
    elif not options.keep:
        print(f'  logs: {folder}', flush=True)
    return 1 if broken else 2 if unjudged else 0


def run_many(options, seeds):
    """Runs each seed in a separate process, `options.parallel` of them at a time."""
    waiting, running, results = list(seeds), {}, {}
    while waiting or running:
        while waiting and len(running) < options.parallel:
            seed = waiting.pop(0)
            command = [sys.executable, __file__, '--program', options.program, '--one', str(seed)]
            for name in ('deploy', 'seconds', 'controllers', 'gateways', 'workers', 'clients'):
                command += [f'--{name}', str(getattr(options, name))]
            if not options.overload:
                command.append('--no-overload')
            if options.draw_figures:
                command.append('--draw-figures')
            if options.cut_core:
                command.append('--cut-core')
            if options.keep:
                command += ['--keep', options.keep]
            running[seed] = subprocess.Popen(command)
        for seed, process in list(running.items()):
            if process.poll() is not None:
                results[seed] = process.returncode
                del running[seed]
        time.sleep(0.2)
    broken = sorted(seed for seed, code in results.items() if code == 1)
    unjudged = sorted(seed for seed, code in results.items() if code not in (0, 1))
    print(f'soak: {len(results)} runs, broken: {broken or "none"}, not judged: {unjudged or "none"}')
    return 1 if broken else 2 if unjudged else 0


def read_seeds(text):
    seeds = []
    for part in text.split(','):
        first, _, last = part.partition('-')
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('--program', required=True)
    parser.add_argument('--seeds', default='1-3', help='numbers and ranges, 5,13,20-30')
    parser.add_argument('--parallel', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=36,
                        help='time in which faults are injected; a run takes about 25 s longer')
    parser.add_argument('--controllers', type=int, default=5)
    parser.add_argument('--gateways', type=int, default=8)
    parser.add_argument('--workers', type=int, default=18)
    parser.add_argument('--clients', type=int, default=24)
    parser.add_argument('--deploy', default=os.path.join(ROOT, 'deploy'), help='folder of the settings templates')
    parser.add_argument('--no-overload', dest='overload', action='store_false',
                        help='no phases in which workers reject requests and send answers twice')
    parser.add_argument('--draw-figures', action='store_true',
                        help='settings with fractions, and for a while with unusable figures or cut files')
    parser.add_argument('--cut-core', action='store_true',
                        help='in place of the drawn series: controllers killed in turn, then one cut off from the others '
                             '(some 75 s; use with --controllers 3)')
    parser.add_argument('--keep', help='folder in which settings, logs and data folders are kept')
    parser.add_argument('--one', type=int, help='runs this seed alone, in this process')
    options = parser.parse_args()
    options.program = os.path.abspath(options.program)
    if options.one is not None:
        sys.exit(run_one(options, options.one))
    sys.exit(run_many(options, read_seeds(options.seeds)))


if __name__ == '__main__':
    main()
