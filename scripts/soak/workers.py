"""Emulates the platform's workers, application instances and instance list, following its published pages."""
import asyncio
import dataclasses
import random

from aiohttp import web

from answer_copies import AnswerCopies
from history import Dispatch, Drain, History

LIST_LAG_S = 0.8
REPORT_LAG_S = 0.2
PARALLEL_LOADS_SHARE = 0.2  # of the workers; if more load at once, they slow each other down (3 of 18, 28 of 140)


@dataclasses.dataclass
class Engine:
    slots: int = 64
    prefill_tokens_per_s: float = 38000.0
    first_token_s: float = 0.02
    token_s: float = 0.012
    load_s: float = 1.1


class Pool:
    """State that all workers of a run share."""

    def __init__(self, history: History, clock, rng: random.Random, overload_rng: random.Random, engine: Engine,
                 workers: int):
        self.history = history
        self.clock = clock
        self.rng = rng
        self.overload_rng = overload_rng  # of rejections and of copies of answers
        self.engine = engine
        self.loading = 0
        self.parallel_loads = max(3, int(workers * PARALLEL_LOADS_SHARE))
        self.newest_revisions: dict[str, int] = {}  # newest revision that the operator sent, keyed by model
        # Whether a load order also rejects requests that are in prefill, without a first token yet.
        self.order_rejects_prefills = rng.random() < 0.5


class Worker:
    """One instance: a language model worker, or, without a model, one of an application service."""

    def __init__(self, pool: Pool, instance_id, service, address, zone, model, revision):
        self.pool = pool
        self.id = instance_id
        self.service = service
        self.address = address
        self.zone = zone
        self.model = model
        self.revision = revision
        self.slowness = 1.0
        self.hanging_prompt_share = 0.0
        self.rejected_share = 0.0  # of the requests: answered 503, not executed
        self.copies = AnswerCopies(pool.history, pool.overload_rng)
        self.draining = False
        self.started_at = pool.clock()
        self._slots = asyncio.Semaphore(pool.engine.slots if model else 6)
        self._prefill = asyncio.Lock()
        self._ordered = 0  # revision of the load order in progress; 0: none
        self._order_taken = asyncio.Event()
        self._running = 0  # requests that must end before an ordered load starts
        self._idle = asyncio.Event()
        self._idle.set()
        self._fence = 0
        self._seq = 0
        self._reports = []
        self._runner = None
        self.epoch = pool.rng.randrange(1, 1 << 40)

    async def start(self):
        server = web.Server(self._handle, keepalive_timeout=30)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        host, port = self.address.split(':')
        await web.TCPSite(self._runner, host, int(port), backlog=512, shutdown_timeout=0.1).start()

    async def stop(self):
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def report(self):
        return {'stage': 'colocated', 'models': [{'name': self.model, 'version': self.revision, 'adapters': []}],
                'busy': self._ordered > 0, 'seq': self._seq, 'waiting': 0, 'running': self._running, 'kv_used': 0,
                'kv_total': 165643, 'handles': 0}

    def listed(self):
        entry = {'service': self.service, 'address': self.address, 'zone': self.zone, 'version': 'v1', 'slots': 64,
                 'state': 'draining' if self.draining else 'ready', 'cold_remaining_ms': 0, 'id': self.id}
        if self.model:
            entry.update(stage='colocated', models=[{'name': self.model, 'version': self.revision, 'adapters': []}])
        return entry

    async def _handle(self, request):
        response = await self._answer(request)
        if isinstance(response, web.Response):
            self.copies.draw(request.transport, response)
        return response

    async def _answer(self, request):
        target = request.headers.get('Target-Instance')
        if target is not None and target != self.id:
            return web.Response(status=421, headers=self._identity(request))
        if request.path == '/v1/report':
            return await self._delayed_report()
        if request.path == '/v1/order':
            return self._order(await request.json())
        if request.path == '/v1/kv-events':
            await asyncio.sleep(min(int(request.headers.get('Wait-Ms', '0')), 1000) / 1000)
            return web.json_response({'epoch': self.epoch, 'next_token': 0, 'lost': False, 'events': []})
        if request.path == '/v1/kv-list':
            return web.json_response({'epoch': self.epoch, 'next_token': 0, 'held': []})
        if request.path == '/healthz':
            return web.Response(headers={'Instance-Id': self.id})
        body = await request.read()
        return await self._run(request, body)

    async def _delayed_report(self):
        report = self.report()
        await asyncio.sleep(REPORT_LAG_S)
        return web.json_response(report)

    def _identity(self, request):
        headers = {'Instance-Id': self.id}
        if 'Request-Id' in request.headers:
            headers['Request-Id'] = request.headers['Request-Id']
        if self.model:
            headers['Weight-Versions'] = str(self.revision)
        return headers

    def _rejection(self, request, status):
        return web.Response(status=status, headers={**self._identity(request), 'Not-Executed': '1'})

    # Load orders.

    def _order(self, order):
        if order.get('op') != 'version' or 'holder' not in order or 'fence' not in order:
            return web.Response(status=400)
        if order['fence'] < self._fence:
            return web.Response(status=412)
        self._fence = order['fence']
        revision = order['version']
        if order['model'] != self.model or revision > self.pool.newest_revisions.get(self.model, 1):
            return web.Response(status=400)
        if revision <= self.revision:
            return web.Response(status=200)
        if self._ordered:
            return web.Response(status=409)
        self._seq += 1
        self._ordered = revision
        self._order_taken.set()
        asyncio.ensure_future(self._load())
        return web.Response(status=202)

    async def _load(self):
        await self._idle.wait()
        self.pool.loading += 1
        contention = max(1.0, self.pool.loading / self.pool.parallel_loads)
        await asyncio.sleep(self.pool.engine.load_s * contention * self.slowness)
        self.pool.loading -= 1
        self.revision = self._ordered
        self._ordered = 0
        self._order_taken.clear()

    def _change_running(self, change):
        self._running += change
        if self._running == 0:
            self._idle.set()
        else:
            self._idle.clear()

    # Requests.

    async def _run(self, request, body):
        dispatch = Dispatch(request.headers.get('Request-Id', ''), self.id, self.service, self.pool.clock(),
                            model=self.model, zone=self.zone)
        self.pool.history.dispatches.append(dispatch)
        if self.rejected_share > 0 and self.pool.overload_rng.random() < self.rejected_share:
            self.pool.history.rejections += 1
            return self._rejection(request, 503)
        async with self._slots:
            if not self.model:
                return await self._run_once(request, dispatch, body)
            return await self._run_prompt(request, dispatch)

    async def _run_once(self, request, dispatch, body):
        if _disconnected(request):
            return self._rejection(request, 503)
        dispatch.first_token_at = self.pool.clock()
        await asyncio.sleep(0.015 * self.slowness)
        return web.Response(body=body, headers={**self._identity(request), 'Route-Stamp': f's.{self.id}'})

    def _admission_rejection(self, request):
        expected = request.headers.get('Expected-Version')
        if expected is not None and int(expected) != self.revision:
            return self._rejection(request, 421)
        return self._rejection(request, 503) if self._ordered else None

    async def _run_prompt(self, request, dispatch):
        rejection = self._admission_rejection(request)
        dispatch.misdirected = rejection is not None and rejection.status == 421
        if rejection is not None or _disconnected(request):
            return rejection or self._rejection(request, 503)
        counted = not self.pool.order_rejects_prefills
        if counted:
            self._change_running(1)
        try:
            await self._prefill_prompt(request)
            if _disconnected(request):
                return self._rejection(request, 503)
            if not counted:
                rejection = self._admission_rejection(request)
                if rejection is not None:
                    dispatch.misdirected = rejection.status == 421
                    return rejection
                self._change_running(1)
                counted = True
            dispatch.first_token_at = self.pool.clock()
            dispatch.revision = self.revision
            with self.copies.streaming(request.transport):
                return await self._stream(request)
        finally:
            if counted:
                self._change_running(-1)

    async def _prefill_prompt(self, request):
        tokens = sum(int(part.split(':')[1]) for part in request.headers['Prefix-Hash'].split(','))
        engine = self.pool.engine
        async with self._prefill:
            if _disconnected(request):
                return
            await asyncio.sleep(tokens / engine.prefill_tokens_per_s * self.slowness)
        await asyncio.sleep(engine.first_token_s * self.slowness)
        if self.pool.rng.random() < self.hanging_prompt_share:
            while not _disconnected(request):
                await asyncio.sleep(0.1)

    async def _stream(self, request):
        response = web.StreamResponse(headers={**self._identity(request), 'Route-Stamp': f's.{self.id}',
                                               'Content-Type': 'text/event-stream'})
        try:
            await response.prepare(request)
            first = int(request.headers.get('Last-Event-Id') or 0) + 1
            tokens = int(request.headers['Token-Counts'].split(',')[1])
            for piece in range(first, tokens + 1):
                end = 'end' if piece == tokens else 'more'
                await response.write(f'id: {piece}\ndata: {request.headers["Request-Id"]} {end}\n\n'.encode())
                if piece < tokens:
                    await asyncio.sleep(self.pool.engine.token_s * self.slowness)
            await response.write_eof()
        except (ConnectionError, asyncio.CancelledError):
            pass
        return response


def _disconnected(request):
    return request.transport is None or request.transport.is_closing()


class InstanceList:
    """The platform's instance list, which lags by LIST_LAG_S and is limited to `calls_per_s`."""

    def __init__(self, pool: Pool, address, calls_per_s):
        self._pool = pool
        self._address = address
        self._calls_per_s = calls_per_s
        self._tokens = calls_per_s
        self._refilled_at = pool.clock()
        self._shown = []
        self._seen_draining = set()
        self.workers: list[Worker] = []

    async def start(self):
        runner = web.ServerRunner(web.Server(self._handle))
        await runner.setup()
        host, port = self._address.split(':')
        await web.TCPSite(runner, host, int(port), shutdown_timeout=0.1).start()
        asyncio.ensure_future(self._refresh())

    async def _refresh(self):
        pending = []
        while True:
            now = self._pool.clock()
            pending.append((now + LIST_LAG_S, [worker.listed() for worker in self.workers]))
            while pending and pending[0][0] <= now:
                self._show(pending.pop(0)[1], now)
            await asyncio.sleep(0.1)

    def _show(self, entries, now):
        self._shown = entries
        for entry in entries:
            if entry['state'] == 'draining' and entry['id'] not in self._seen_draining:
                self._seen_draining.add(entry['id'])
                self._pool.history.drains.append(Drain(entry['id'], now))

    async def _handle(self, _request):
        now = self._pool.clock()
        self._tokens = min(self._calls_per_s, self._tokens + (now - self._refilled_at) * self._calls_per_s)
        self._refilled_at = now
        if self._tokens < 1:
            return web.Response(status=429, headers={'Retry-After': '0.5'})
        self._tokens -= 1
        return web.json_response({'instances': self._shown, 'next_token': None})
