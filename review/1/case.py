"""Case 1: an order that was sent again after a freeze is applied a second time, later than the order that followed it.

The operator takes an evacuation back and picks a frozen controller first. It has no answer in a second, sends the
same order to the next controller, and is acknowledged. Then it evacuates the zone again, and is acknowledged. The
frozen controller wakes and applies the first copy of the old order.
"""
import asyncio
import itertools
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'common'))
import standins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ['z1', 'z2']
ZONE = 'z2'
EVACUATE_S = 5.0   # bounds: evacuate_ms 5,000
CONTACT_S = 3.0    # bounds: contact_ms 3,000
FREEZE_S = 3.5     # node_freeze of one core machine; the site file has for_s = 4.0
WATCH_S = 8.0      # how long the zone is watched after the bound


class Clients:
    """Two clients, one at each gateway, each with a request about every 50 ms over a kept connection."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._numbers = itertools.count(1)
        self.served = []
        self._tasks = []

    def start(self):
        self._tasks = [asyncio.ensure_future(self._client(gateway)) for gateway in self._fleet.gateways]

    def stop(self):
        for task in self._tasks:
            task.cancel()

    async def _client(self, gateway):
        host, port = self._fleet.front(gateway).rsplit(':', 1)
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                while await self._request(gateway, reader, writer):
                    await asyncio.sleep(0.05)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, OSError):
                pass
            writer.close()

    async def _request(self, gateway, reader, writer):
        name = f'r{next(self._numbers):06d}'
        headers = [('Host', 'review.example'), ('Request-Id', name), ('Deadline-Ms', '2000')]
        sent = self._fleet.record.now()
        writer.write(standins.request_bytes('POST', '/seat/x', headers, name.encode()))
        await writer.drain()
        answer = await asyncio.wait_for(standins.read_message(reader, is_response=True), 3)
        if answer is None:
            return False
        status = standins.status_of(answer)
        self._fleet.record.write(f'client {name} at {gateway.node} gets {status}')
        self.served.append((sent, status))
        return answer.get('Connection', '').lower() != 'close'


def runs_in_zone(fleet, since, until):
    return [run for runner in fleet.runners if runner.zone == ZONE for run in runner.runs if since < run[0] <= until]


async def case(record, scratch):
    fleet = standins.Fleet(record, scratch, ZONES, controllers=3, gateways=2)
    for number in range(4):
        fleet.add_runner(f'i-{number}', 'seats', ZONES[number % 2])
    clients = Clients(fleet)
    operator = standins.Operator(fleet, seed=1)
    try:
        await fleet.start()
        await asyncio.sleep(3)
        first = standins.configuration(1, [standins.route('seat', 'seats', 'idempotent', attempts=2)],
                                       [standins.plain_service('seats')])
        await operator.send('/v1/Config.Replace', first, base=0)
        await fleet.wait_ready()
        clients.start()
        await asyncio.sleep(3)
        if not runs_in_zone(fleet, 0, record.now()):
            raise standins.CannotRun('the zone got no request before its evacuation')

        begun = await operator.send(f'/v1/Evacuations.Begin/{ZONE}')
        await asyncio.sleep(EVACUATE_S + 1)
        if runs_in_zone(fleet, begun + EVACUATE_S, record.now()):
            raise standins.CannotRun('the first evacuation did not hold')

        leader = fleet.leader()
        frozen = next(node for node in fleet.controllers if node is not leader)
        if TROUBLE:
            frozen.signal(signal.SIGSTOP)
        frozen_at = record.now()
        taken_back = await operator.send(f'/v1/Evacuations.Finish/{ZONE}', first=frozen)
        await asyncio.sleep(1)
        if not runs_in_zone(fleet, taken_back, record.now()):
            raise standins.CannotRun('the zone got no request after the evacuation was taken back')
        acknowledged = await operator.send(f'/v1/Evacuations.Begin/{ZONE}', first=leader)
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
        if TROUBLE:
            frozen.signal(signal.SIGCONT)
        thawed = record.now()

        since = max(acknowledged + EVACUATE_S, thawed + CONTACT_S)
        await asyncio.sleep(since + WATCH_S - record.now())
        late = runs_in_zone(fleet, since, record.now())
        record.write(f'evacuation of {ZONE} acknowledged at {acknowledged:.3f}; {len(late)} requests ran in {ZONE} '
                     f'from {since:.3f} on')
        print(f'{len(late)} requests ran in the evacuated zone from {since - acknowledged:.1f} s to '
              f'{since + WATCH_S - acknowledged:.1f} s after the acknowledgement')
        return not late
    finally:
        clients.stop()
        await fleet.stop()


if __name__ == '__main__':
    sys.exit(standins.run_case(case, FOLDER))
