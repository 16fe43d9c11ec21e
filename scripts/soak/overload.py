"""Phases in which workers reject a part of their requests, and send a part of their answers a second time."""
import asyncio
import random

REJECTED_SHARES_OF_SERVICE = (0.4, 0.8)
REJECTED_SHARES_OF_MODEL = (0.1, 0.6)
COPIED_SHARES = (0.4, 0.9)
# Share of the runs with such phases; the others show what they would hide, as they leave fewer workers.
SHARE_OF_RUNS = 0.6


class OverloadPhases:
    """Draws a run's phases from `rng` and applies them to its workers."""

    def __init__(self, run, rng: random.Random, allowed):
        self._run = run
        self._rng = rng
        self.drawn = rng.random() < SHARE_OF_RUNS and allowed
        # With few instances a rejected request comes back to the one that rejected it.
        self.service_instances = rng.randrange(2, 5) if self.drawn else 4

    async def execute(self, last_end):
        """Runs phases that end at `last_end` (seconds of the run) or before."""
        while self.drawn:
            await asyncio.sleep(self._rng.uniform(0.5, 3))
            seconds = self._rng.uniform(3, 8)
            if self._run.clock() + seconds > last_end:
                return
            await self._phase(seconds)

    async def _phase(self, seconds):
        rejected = {'app': self._rng.uniform(*REJECTED_SHARES_OF_SERVICE), 'llm': 0.0}
        if self._rng.random() < 0.5:
            rejected['llm'] = self._rng.uniform(*REJECTED_SHARES_OF_MODEL)
        copied = self._rng.uniform(*COPIED_SHARES)
        workers = list(self._run.instance_list.workers)
        for worker in workers:
            worker.rejected_share = rejected[worker.service]
            worker.copies.share = copied
        await asyncio.sleep(seconds)
        for worker in workers:
            worker.rejected_share = worker.copies.share = 0.0
