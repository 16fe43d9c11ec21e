"""Case 6: a deployment whose `grace_s` is a fraction."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), '5'))
import standins as s  # noqa: E402

GRACE_S = 7.5
WATCH_S = 20
RESTART_S = 0.5


async def serve(runner, request, reader, writer):
    await s.read_body(reader, request)
    writer.write(s.head('HTTP/1.1 200 OK', runner.identity(request) + [('Content-Length', 2)]) + b'ok')
    await writer.drain()
    return True


async def supervise(fleet, process):
    """The platform starts a process that has ended again, after a short delay."""
    while True:
        code = await process.process.wait()
        fleet.record.line(f'{process.node} has ended by itself, exit code {code}')
        fleet.ends.append(process.node)
        await asyncio.sleep(RESTART_S)
        if fleet.closing:
            return
        await process.start(first=True)


async def ask(fleet, gateway):
    try:
        answer = await s.call(gateway.front, 'POST', '/place/x', s.client_fields(s.request_id(), 2000), b'x', 3)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        answer = None
    status = answer.status if answer is not None else None
    fleet.record.line(f'client of {gateway.node} got {status or "no answer"}')
    return status == 200


async def play(record):
    fleet = s.Fleet(controllers=3, gateways=2, record=record, bounds={'grace_s': GRACE_S if s.trouble() else 8})
    fleet.ends, fleet.closing = [], False
    supervisors = []
    try:
        await fleet.start()
        supervisors = [asyncio.ensure_future(supervise(fleet, p)) for p in fleet.controllers + fleet.gateways]
        await s.Runner(fleet, 0, 'grid-api', serve).start()
        try:
            await fleet.configure(2, 0, [s.route('place', 'grid-api', 'non_idempotent', 2000, 1)],
                                  [s.app_service('grid-api')])
            await fleet.wait_ready(WATCH_S)
            await asyncio.sleep(3)
        except s.CannotRun as error:
            record.line(f'the fleet does not come up: {error}')
        served = sum([await ask(fleet, g) for g in fleet.gateways for _ in range(10)])
        for process in fleet.controllers[:1] + fleet.gateways[:1]:
            with open(process.log, encoding='utf-8') as log:
                record.line(f'{process.node} wrote: {log.readline().strip().replace(fleet.folder + "/", "")}')
        ended = set(fleet.ends)
        text = f'grace_s {fleet.bounds["grace_s"]}: {served} of 20 requests served; {len(fleet.ends)} ends by itself ' \
               f'on {len(ended)} of 5 machines'
        broken = served == 0 and len(fleet.ends) >= 3
        return not broken, text + ('; Fault: the programs do not start' if broken else '')
    finally:
        fleet.closing = True
        await asyncio.sleep(2 * RESTART_S)  # no start is under way any more
        for supervisor in supervisors:
            supervisor.cancel()
        await fleet.close()


s.main(FOLDER, play)
