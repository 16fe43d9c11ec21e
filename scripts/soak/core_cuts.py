"""A controller that is cut off from the other controllers, but not from the gateways, after these have been killed again
and again: they run, but their flapping is damped. The cut is injected into the processes (PUT /debug/faults)."""
import asyncio
import random

import aiohttp

from history import ProcessEvent

KILLS = (11, 14)  # of both together
KILL_GAP_S = (4.4, 4.9)
CUT_S = 12
# The controllers count as stable from then on.
SETTLE_S = 3.4
CHANGES = 4


class CoreCut:
    """The faults of a run, in place of the drawn series."""

    def __init__(self, run, rng: random.Random, addresses):
        """`addresses`: "ip:port" of each controller's interface, by node."""
        self._run = run
        self._rng = rng
        self._addresses = addresses
        self.schedule = []

    async def execute(self):
        controllers = list(self._run.controllers)
        self._rng.shuffle(controllers)
        cut_off, *others = controllers
        await self._kill_in_turn(others)
        self.schedule.append(f'{self._run.clock():.1f} s {cut_off.node} cut off from the other controllers')
        self._record(cut_off, 'cut')
        await self._set_cut(cut_off, others, True)
        await asyncio.sleep(SETTLE_S)
        for _ in range(CHANGES):
            await self._run.operator.change_configuration()
            await asyncio.sleep((CUT_S - SETTLE_S) / CHANGES)
        self._record(cut_off, 'heal')
        await self._set_cut(cut_off, others, False)

    async def _kill_in_turn(self, controllers):
        kills = self._rng.randrange(*KILLS)
        self.schedule.append(f'{self._run.clock():.1f} s {kills} times SIGKILL to controllers in turn')
        for kill in range(kills):
            controllers[kill % len(controllers)].kill()
            await asyncio.sleep(self._rng.uniform(*KILL_GAP_S))

    def _record(self, process, kind):
        self._run.history.events.append(ProcessEvent(process.node, True, self._run.clock(), kind))

    async def _set_cut(self, cut_off, others, is_cut):
        lone = self._ip(cut_off)
        rest = [self._ip(process) for process in others]
        await self._set_faults(cut_off, {'drop_to': rest, 'drop_from': rest} if is_cut else {})
        for process in others:
            await self._set_faults(process, {'drop_to': [lone], 'drop_from': [lone]} if is_cut else {})

    def _ip(self, process):
        return self._addresses[process.node].split(':')[0]

    async def _set_faults(self, process, rules):
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2)) as session:
            async with session.put(f'http://{self._addresses[process.node]}/debug/faults', json=rules) as response:
                if response.status != 200:
                    raise RuntimeError(f'{process.node} took no faults: {response.status}')
