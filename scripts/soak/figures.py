"""The platform's figures in the settings of a run: whole numbers as on the sheets of the deployments, or drawn from
what the platform's pages allow. Drawn ones are also made unusable for a while, as are whole settings files."""
import asyncio
import random

from rules import Bounds

USUAL = {'grace_s': 8, 'drain_ms': 3000, 'version_ms': 12000, 'version_all_ms': 17000, 'lease_ms': 3000,
         'retry_budget_ratio': 0.2, 'budget_slack': 56, 'config_apply_ms': 2000}
USUAL_LIST_RATE = 44.0
DRAWN = {'grace_s': (2.5, 4.25, 7.5, 8.0, 12), 'drain_ms': (3000, 3000.0, 3500.5, 4250), 'lease_ms': (2750.25, 3000.0),
         'version_ms': (12000.0, 13500.5, 15000), 'retry_budget_ratio': (0.125, 0.2, 1), 'budget_slack': (0, 56.5, 186)}
# Texts that posthatch replaces by a value that keeps the rules of a run as well as the drawn one does: its default, or
# a stricter bound.
UNUSABLE = {'grace_s': ('true', '1e300'), 'drain_ms': ('true', -5, 50, 0.5), 'lease_ms': ('true', 'soon'),
            'version_ms': ('true',), 'retry_budget_ratio': ('true', -1, 1e9), 'budget_slack': ('none', 'true', 1e300)}


class Figures:
    """Chooses a run's figures; while it runs, writes settings that can't be used, with or without SIGHUP."""

    def __init__(self, run, rng: random.Random, drawn):
        self._run = run
        self._rng = rng
        self.drawn = drawn
        self.values = dict(USUAL)
        self.list_rate = USUAL_LIST_RATE
        self._unusable = {}  # by node
        if drawn:
            self.values.update({name: rng.choice(choices) for name, choices in DRAWN.items()})
            self.values['version_all_ms'] = self.values['version_ms'] * 1.4
            self.list_rate = rng.choice((44, 44.0, 12.5))

    def bounds(self):
        """Returns the bounds that the rules check, in seconds."""
        return Bounds(version=self.values['version_ms'] / 1000, version_all=self.values['version_all_ms'] / 1000,
                      drain=self.values['drain_ms'] / 1000, grace=float(self.values['grace_s']))

    def of_node(self, node):
        return {**self.values, **self._unusable.get(node, {})}

    async def execute(self, last_end):
        """Makes the settings of one process after another unusable, until `last_end` (seconds of the run)."""
        while self.drawn:
            await asyncio.sleep(self._rng.uniform(0.5, 3))
            seconds = self._rng.uniform(0.2, 3)
            if self._run.clock() + seconds > last_end:
                return
            process = self._rng.choice(self._run.gateways + self._run.controllers)
            await self._spoil(process, seconds)

    async def _spoil(self, process, seconds):
        name = self._rng.choice(sorted(UNUSABLE))
        self._unusable[process.node] = {name: self._rng.choice(UNUSABLE[name])}
        # Cut in the middle, as while a platform writes it: only a running process reads it so.
        share = self._rng.uniform(0, 0.95) if process.running and self._rng.random() < 0.5 else 1.0
        signalled = self._rng.random() < 0.7
        process.rewrite_settings(share, signalled)
        await asyncio.sleep(seconds)
        del self._unusable[process.node]
        process.rewrite_settings(1.0, signalled)
