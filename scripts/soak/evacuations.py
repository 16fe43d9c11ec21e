"""An operator's evacuation orders in quick series, while controllers are frozen, killed and terminated."""
import asyncio
import contextlib
import random

import aiohttp

from history import EvacuationOrder, History

# As on the platform's pages: a call is left after a second, an order is sent again for at most ack_ms.
CALL_TIMEOUT_S = 1.0
ORDER_TIME_S = 4.0
FINAL_STATUSES = (400, 409, 412, 413, 422)


class EvacuationOperator:
    """Sends orders, each copy to another controller than the last, some over persistent connections."""

    def __init__(self, history: History, clock, rng: random.Random, controller_addresses):
        self._history = history
        self._clock = clock
        self._rng = rng
        self._addresses = controller_addresses
        self._persistent = None

    async def __aenter__(self):
        self._persistent = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))
        return self

    async def __aexit__(self, *_):
        await self._persistent.close()

    async def order(self, zone, begin, first=None):
        """Sends an order, first to the node `first`. Returns whether it was acknowledged in time."""
        order = EvacuationOrder(zone, begin, self._clock())
        self._history.evacuation_orders.append(order)
        nodes = list(self._addresses)
        self._rng.shuffle(nodes)
        if first is not None:
            nodes.remove(first)
            nodes.insert(0, first)
        backoff, path = 0.1, f'/v1/Evacuations.{"Begin" if begin else "Finish"}/{zone}'
        while self._clock() - order.sent_at < ORDER_TIME_S and not order.refused:
            node = nodes[order.copies % len(nodes)]
            order.copies += 1
            status = await self._call(f'http://{self._addresses[node]}{path}')
            if status == 200:
                order.acknowledged_at = self._clock()
                return True
            order.refused = status in FINAL_STATUSES
            await asyncio.sleep(backoff)
            backoff = min(backoff * 1.5, 1.0)
        return False

    async def _call(self, url):
        """Returns the status; 0 without a response in time."""
        try:
            async with contextlib.AsyncExitStack() as stack:
                session = self._persistent
                if self._rng.random() < 0.7:
                    session = await stack.enter_async_context(
                        aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)))
                async with session.post(url) as response:
                    await response.read()
                    return response.status
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return 0


class EvacuationSeries:
    """Evacuates a zone, sends a quick series of orders around faults of the controllers, and then leaves the last
    order in force long enough for a late copy of an earlier one to show."""

    def __init__(self, run, rng: random.Random, seconds, hold_s):
        self._run = run
        self._rng = rng
        self._seconds = seconds
        self._hold_s = hold_s

    async def execute(self, zones, operator):
        while self._run.clock() < self._seconds:
            zone = self._rng.choice(zones)
            await operator.order(zone, True)
            await asyncio.sleep(self._rng.uniform(0.0, 1.5))
            await self._quick_series(zone, operator)
            await asyncio.sleep(self._hold_s)
            if self._run.clock() < self._seconds:
                await operator.order(zone, False)

    async def _quick_series(self, zone, operator):
        faults = [asyncio.ensure_future(self._fault(victim)) for victim in self._victims()]
        await asyncio.sleep(0.05)  # lets the faults begin
        begin = False
        for _ in range(self._rng.choice([2, 2, 4])):
            frozen = [p.node for p in self._run.controllers if p.frozen]
            # Late copies of both orders would undo each other.
            share = 0.2 if begin else 0.8
            first = self._rng.choice(frozen) if frozen and self._rng.random() < share else None
            await operator.order(zone, begin, first)
            begin = not begin
            await asyncio.sleep(self._rng.choice([0.0, self._rng.uniform(0.0, 1.0)]))
        await asyncio.wait(faults)

    def _victims(self):
        count = self._rng.choice([1, 1, 2])
        return self._rng.sample(self._run.controllers, min(count, (len(self._run.controllers) - 1) // 2))

    async def _fault(self, victim):
        kind = self._rng.choice(['freeze', 'freeze', 'freeze', 'freezes', 'kill', 'term'])
        if kind == 'kill':
            victim.kill()
        elif kind == 'term':
            victim.terminate()
        elif kind == 'freeze':
            await victim.freeze(self._rng.uniform(1.2, 5.0))
        else:
            for _ in range(3):
                await victim.freeze(self._rng.uniform(0.6, 2.0))
                await asyncio.sleep(self._rng.uniform(0.0, 0.2))
