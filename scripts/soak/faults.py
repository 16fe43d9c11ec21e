"""The faults of a run: overlapping series, drawn from the run's seed."""
import asyncio
import random


class Faults:
    def __init__(self, run, rng: random.Random, seconds):
        self._run = run
        self._rng = rng
        self._seconds = seconds
        self.schedule = []

    def draw(self):
        """Returns the coroutines of this run's fault series."""
        kinds = [self._terminate_gateways, self._terminate_controllers, self._kill_leaders, self._kill_gateways,
                 self._freeze, self._reload, self._slow_workers, self._hang_workers, self._change_configurations,
                 self._replace_workers, self._repeat_terminations, self._kill_all_controllers]
        chosen = self._rng.sample(kinds, self._rng.randrange(3, 7))
        return [self._revisions()] + [kind() for kind in chosen]

    async def _wait_until(self, start, description):
        self.schedule.append(f'{start:.1f} s {description}')
        await asyncio.sleep(start)

    def _random_start(self, latest_share=0.7):
        return self._rng.uniform(1, self._seconds * latest_share)

    async def _revisions(self):
        count = self._rng.randrange(1, 5)
        times = sorted(self._rng.uniform(1, self._seconds * 0.6) for _ in range(count))
        self.schedule.append('revisions published at ' + ', '.join(f'{t:.1f}' for t in times))
        previous = 0.0
        for at in times:
            await asyncio.sleep(at - previous)
            previous = at
            asyncio.ensure_future(self._run.operator.publish_revision('m0'))

    async def _in_turn(self, processes, action, gap):
        for process in processes:
            action(process)
            await asyncio.sleep(gap)

    async def _terminate_gateways(self):
        gap = self._rng.uniform(0.2, 3.0)
        await self._wait_until(self._random_start(0.5), f'SIGTERM to gateways in turn, every {gap:.1f} s')
        await self._in_turn(self._shuffled(self._run.gateways), lambda p: p.terminate(), gap)

    async def _terminate_controllers(self):
        gap = self._rng.uniform(0.5, 4.0)
        await self._wait_until(self._random_start(0.5), f'SIGTERM to controllers in turn, every {gap:.1f} s')
        await self._in_turn(self._shuffled(self._run.controllers), lambda p: p.terminate(), gap)

    async def _kill_leaders(self):
        count, gap = self._rng.randrange(1, 4), self._rng.uniform(0.5, 6.0)
        await self._wait_until(self._random_start(), f'SIGKILL to the leader {count} times, every {gap:.1f} s')
        for _ in range(count):
            leader = self._run.leader()
            if leader is not None:
                leader.kill()
            await asyncio.sleep(gap)

    async def _kill_gateways(self):
        victims = self._rng.sample(self._run.gateways, max(1, len(self._run.gateways) // 3))
        gap = self._rng.uniform(0.0, 1.5)
        await self._wait_until(self._random_start(), f'SIGKILL to {len(victims)} gateways, every {gap:.1f} s')
        await self._in_turn(victims, lambda p: p.kill(), gap)

    async def _kill_all_controllers(self):
        await self._wait_until(self._random_start(), 'SIGKILL to all controllers')
        for process in self._run.controllers:
            process.kill()

    async def _freeze(self):
        victims = self._rng.sample(self._run.gateways + self._run.controllers, 2)
        seconds = self._rng.uniform(1, 8)
        await self._wait_until(self._random_start(),
                               f'{", ".join(v.node for v in victims)} frozen for {seconds:.1f} s')
        await asyncio.gather(*(victim.freeze(seconds) for victim in victims))

    async def _reload(self):
        gap = self._rng.uniform(0.0, 0.5)
        await self._wait_until(self._random_start(), f'new seed controllers and SIGHUP to all, every {gap:.1f} s')
        self._run.change_seed_controllers()
        await self._in_turn(self._shuffled(self._run.gateways + self._run.controllers), lambda p: p.reload(), gap)

    async def _repeat_terminations(self):
        victim = self._rng.choice(self._run.gateways + self._run.controllers)
        await self._wait_until(self._random_start(), f'{victim.node}: SIGTERM 3 times and SIGHUP between')
        for _ in range(3):
            victim.terminate()
            await asyncio.sleep(self._rng.uniform(0.05, 1.5))
            victim.reload()

    async def _slow_workers(self):
        factor, seconds = self._rng.uniform(2, 6), self._rng.uniform(5, 18)
        share = self._rng.choice([0.3, 1.0])
        await self._wait_until(self._random_start(),
                               f'{share:.0%} of the workers {factor:.1f} x slower for {seconds:.0f} s')
        victims = [w for w in self._run.workers if self._rng.random() < share]
        with self._run.worker_fault('slow workers'):
            for worker in victims:
                worker.slowness = factor
            await asyncio.sleep(seconds)
            for worker in victims:
                worker.slowness = 1.0

    async def _hang_workers(self):
        share, seconds = self._rng.uniform(0.1, 0.7), self._rng.uniform(3, 10)
        await self._wait_until(self._random_start(), f'{share:.0%} of the prompts hang for {seconds:.0f} s')
        with self._run.worker_fault('hanging workers'):
            for worker in self._run.workers:
                worker.hanging_prompt_share = share
            await asyncio.sleep(seconds)
            for worker in self._run.workers:
                worker.hanging_prompt_share = 0.0

    async def _change_configurations(self):
        count, gap = self._rng.randrange(3, 20), self._rng.uniform(0.2, 1.2)
        await self._wait_until(self._random_start(0.5), f'{count} configurations, every {gap:.1f} s')
        for _ in range(count):
            await self._run.operator.change_configuration()
            await asyncio.sleep(gap)

    async def _replace_workers(self):
        count, gap = self._rng.randrange(2, 6), self._rng.uniform(0.5, 2.0)
        await self._wait_until(self._random_start(0.5), f'{count} workers replaced, every {gap:.1f} s')
        for _ in range(count):
            await self._run.replace_worker()
            await asyncio.sleep(gap)

    def _shuffled(self, processes):
        shuffled = list(processes)
        self._rng.shuffle(shuffled)
        return shuffled
