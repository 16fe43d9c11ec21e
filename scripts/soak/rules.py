"""Checks a History against the users' rules. Each rule returns its violations and the number of cases checked."""
import collections
import dataclasses


@dataclasses.dataclass
class Bounds:
    """Bounds of the rules in seconds, named as in the platform's settings."""
    contact: float = 3.0
    config_apply: float = 2.0
    max_stretch: float = 5.0
    version: float = 12.0
    version_all: float = 17.0
    drain: float = 3.0
    grace: float = 8.0
    loss_slack: float = 0.2
    evacuate: float = 5.0
    ack: float = 4.0


@dataclasses.dataclass
class Verdict:
    rule: str
    cases: int
    violations: list[str]


def unstable_core_spans(history, bounds, controllers):
    """Returns merged intervals in which the core (the controllers) doesn't count as stable: `contact` seconds
    from each controller event that the soak caused, and while no majority of the controllers runs."""
    spans = []
    down = {}
    down_spans = collections.defaultdict(list)
    for event in sorted((e for e in history.events if e.is_controller), key=lambda e: e.at):
        if event.kind == 'ended_by_itself':
            continue
        spans.append((event.at, event.at + bounds.contact))
        if event.kind in ('kill', 'freeze', 'term'):
            down.setdefault(event.node, event.at)
        elif event.kind in ('start', 'thaw') and event.node in down:
            down_spans[event.node].append((down.pop(event.node), event.at))
    for node, since in down.items():
        down_spans[node].append((since, history.ended_at))
    edges = sorted(edge for node in down_spans.values() for span in node for edge in span)
    for left, right in zip(edges, edges[1:]):
        lost = sum(any(s <= left and right <= e for s, e in node) for node in down_spans.values())
        if 2 * (controllers - lost) <= controllers:
            spans.append((left, right))
    return merge(spans)


def merge(spans):
    merged = []
    for start, end in sorted(spans):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((start, end))
    return merged


def stable_stretches(start, end, unstable):
    """Returns the lengths of the parts of [start, end] that are outside `unstable`."""
    stretches = []
    at = start
    for left, right in unstable:
        if right <= at or left >= end:
            continue
        if left > at:
            stretches.append(left - at)
        at = max(at, right)
    if end > at:
        stretches.append(end - at)
    return stretches


class Connectivity:
    """Tells whether a process counts as connected: the soak caused no event on it for `contact` seconds."""

    def __init__(self, history, bounds):
        self._contact = bounds.contact
        self._events = collections.defaultdict(list)
        for event in history.events:
            if event.kind != 'ended_by_itself':
                self._events[event.node].append(event.at)

    def is_connected(self, node, at):
        return not any(at - self._contact <= event <= at for event in self._events[node])


def judge(history, bounds, controllers):
    unstable = unstable_core_spans(history, bounds, controllers)
    connectivity = Connectivity(history, bounds)
    calls = {call.request_id: call for call in history.calls}
    return [
        check_version(history, bounds, unstable, connectivity, calls),
        check_version_at_end(history, bounds, unstable),
        check_configuration(history, bounds, unstable, connectivity),
        check_configuration_kept(history),
        check_single_execution(history, calls),
        check_rejections(history, calls),
        check_drain(history, bounds, connectivity, calls),
        check_evacuations(history, bounds, unstable, connectivity, calls),
        check_evacuation_orders(history, bounds, unstable),
        check_lost_requests(history, bounds),
        check_unexpected_ends(history),
    ]


def check_version(history, bounds, unstable, connectivity, calls):
    """VERSION: no first token under a revision whose successor was acknowledged longer ago than the bounds allow."""
    revision_changes = [c for c in history.changes if c.kind == 'revision' and c.acknowledged_at is not None]
    cases, violations = 0, []
    for dispatch in history.dispatches:
        if dispatch.first_token_at is None or not dispatch.model:
            continue
        newer = [c.acknowledged_at for c in revision_changes
                 if c.name == dispatch.model and c.number > dispatch.revision]
        if not newer:
            continue
        cases += 1
        gateway = calls[dispatch.request_id].gateway
        stretches = stable_stretches(min(newer), dispatch.first_token_at, unstable)
        longest = max(stretches, default=0)
        total = sum(s for s in stretches if s >= 2)
        late = longest > bounds.version or total > bounds.version_all
        if late and connectivity.is_connected(gateway, dispatch.at):
            violations.append(
                f'{dispatch.request_id} from {gateway} at {dispatch.worker_id} on {dispatch.revision}: arrived '
                f'{dispatch.at:.2f}, first token {dispatch.first_token_at:.2f}, newer acknowledged {min(newer):.2f}, '
                f'stable for {longest:.2f} (all {total:.2f})')
    return Verdict('VERSION', cases, violations)


def check_version_at_end(history, bounds, unstable):
    """VERSION at end: at most a tenth of a model's workers, or one, have an outdated revision."""
    violations = []
    cases = 0
    newest = {}
    for change in history.changes:
        if change.kind == 'revision' and change.acknowledged_at is not None:
            newest.setdefault(change.name, []).append(change)
    for model, changes in newest.items():
        behind = []
        workers = [(w, r, s) for w, (m, r, s) in history.final_revisions.items() if m == model]
        for worker, revision, started in workers:
            overdue = [c for c in changes if c.number > revision and sum(stable_stretches(
                max(c.acknowledged_at, started), history.ended_at, unstable)) > 1.5 * bounds.version]
            cases += 1
            if overdue:
                behind.append(f'{worker} on {revision}')
        if len(behind) > max(1, len(workers) / 10):
            violations.append(f'{model}: ' + ', '.join(behind))
    return Verdict('VERSION at end', cases, violations)


def check_configuration(history, bounds, unstable, connectivity):
    """CONFIG: connected gateways know an acknowledged version's route from the bound after its acknowledgement on."""
    acknowledged = {c.number: c.acknowledged_at for c in history.changes
                    if c.kind == 'configuration' and c.acknowledged_at is not None}
    cases, violations = 0, []
    for probe in history.probes:
        at = acknowledged.get(probe.version)
        if at is None or probe.status is None or not connectivity.is_connected(probe.gateway, probe.sent_at):
            continue
        core_was_unstable = any(left < probe.sent_at and right > at for left, right in unstable)
        bound = bounds.config_apply + (bounds.max_stretch if core_was_unstable else 0)
        if probe.sent_at - at <= bound:
            continue
        cases += 1
        if probe.status in (401, 403, 404):
            violations.append(f'{probe.gateway} responds {probe.status} for version {probe.version} '
                              f'{probe.sent_at - at:.2f} s after its acknowledgement ({probe.sent_at:.2f})')
    return Verdict('CONFIG', cases, violations)


def check_configuration_kept(history):
    """CONFIG kept: the version read at the end isn't older than the newest acknowledged one."""
    numbers = [c.number for c in history.changes
               if c.kind == 'configuration' and c.acknowledged_at is not None]
    if not numbers:
        return Verdict('CONFIG kept', 0, [])
    wrong = history.final_configuration is None or history.final_configuration < max(numbers)
    return Verdict('CONFIG kept', 1, [
        f'read {history.final_configuration}, acknowledged {max(numbers)}'] if wrong else [])


def check_single_execution(history, calls):
    """TWICE: a request that is not idempotent runs at most once."""
    runs = collections.Counter(d.request_id for d in history.dispatches
                               if d.first_token_at is not None and not calls[d.request_id].is_idempotent())
    return Verdict('TWICE', len(runs), [f'{r} ran {n} times' for r, n in runs.items() if n > 1])


def check_rejections(history, calls):
    """REFUSED: status 429, 503, 408 or 421 guarantees that a request that is not idempotent did not run and won't."""
    ran = {d.request_id for d in history.dispatches if d.first_token_at is not None}
    promised = [c for c in calls.values() if c.status in (429, 503, 408, 421) and not c.is_idempotent()]
    return Verdict('REFUSED', len(promised),
                   [f'{c.request_id} got {c.status} but ran' for c in promised if c.request_id in ran])


def check_drain(history, bounds, connectivity, calls):
    """DRAIN: no request arrives at a worker that the list has shown as draining for over `drain` seconds."""
    shown = {d.worker_id: d.shown_at for d in history.drains}
    cases, violations = 0, []
    for dispatch in history.dispatches:
        since = shown.get(dispatch.worker_id)
        if since is None or dispatch.at < since:
            continue
        cases += 1
        gateway = calls[dispatch.request_id].gateway
        if dispatch.at - since > bounds.drain and connectivity.is_connected(gateway, dispatch.at):
            violations.append(f'{dispatch.request_id} from {gateway} at {dispatch.worker_id}, '
                              f'{dispatch.at - since:.2f} s after it was shown as draining')
    return Verdict('DRAIN', cases, violations)


def check_evacuations(history, bounds, unstable, connectivity, calls):
    """EVAC: no request arrives in a zone that was evacuated for longer than the bound, until an order to end the
    evacuation is sent. The cases are the requests that were dispatched while a zone had to be empty."""
    cases, violations = 0, []
    for zone, begun, ended in evacuated_periods(history):
        for dispatch in history.dispatches:
            if not begun < dispatch.at < ended:
                continue
            core_was_unstable = any(left < dispatch.at and right > begun for left, right in unstable)
            bound = bounds.evacuate + (bounds.max_stretch if core_was_unstable else 0)
            gateway = calls[dispatch.request_id].gateway
            if dispatch.at - begun <= bound or not connectivity.is_connected(gateway, dispatch.at):
                continue
            cases += 1
            if dispatch.zone == zone and not dispatch.misdirected:
                violations.append(f'{dispatch.request_id} from {gateway} at {dispatch.worker_id} in {zone}, '
                                  f'{dispatch.at - begun:.2f} s after its evacuation was acknowledged ({begun:.2f})')
    return Verdict('EVAC', cases, violations)


def evacuated_periods(history):
    """Returns zone, acknowledgement and end of each evacuation: from the acknowledgement of the first order to
    begin until the next order to end it is sent, which may come into force though it isn't acknowledged."""
    periods = []
    for zone in sorted({order.zone for order in history.evacuation_orders}):
        begun = None
        for order in (o for o in history.evacuation_orders if o.zone == zone):
            if order.begin and begun is None:
                begun = order.acknowledged_at
            elif not order.begin and begun is not None:
                periods.append((zone, begun, order.sent_at))
                begun = None
        if begun is not None:
            periods.append((zone, begun, history.ended_at))
    return periods


def check_evacuation_orders(history, bounds, unstable):
    """EVAC orders: none is refused, and while the core is stable each is acknowledged within `ack`."""
    violations = [f'{order.zone}: refused at {order.sent_at:.2f}' for order in history.evacuation_orders
                  if order.refused]
    for order in history.evacuation_orders:
        end = min(order.acknowledged_at or history.ended_at, order.sent_at + bounds.ack + 1)
        if max(stable_stretches(order.sent_at, end, unstable), default=0) > bounds.ack:
            violations.append(f'{order.zone}: sent at {order.sent_at:.2f}, acknowledged {order.acknowledged_at}')
    return Verdict('EVAC orders', len(history.evacuation_orders), violations)


def check_lost_requests(history, bounds):
    """LOST: around a SIGTERM without other faults, no request that a gateway read is left without a response."""
    other_faults = [e for e in history.events if e.kind in ('kill', 'freeze', 'thaw', 'ended_by_itself')]
    cases, violations = 0, []
    for event in history.events:
        if event.kind != 'term' or event.is_controller:
            continue
        for call in history.calls:
            if call.gateway != event.node or call.ended_at is None:
                continue
            if not event.at - bounds.contact <= call.sent_at <= event.at + bounds.grace + 1:
                continue
            if call.ended_at < event.at:
                continue
            cases += 1
            ran = any(d.request_id == call.request_id for d in history.dispatches)
            read = ran or call.ended_at - call.sent_at > bounds.loss_slack
            late_start = call.sent_at > event.at + 3
            excused = any(call.sent_at - bounds.contact <= e.at <= call.ended_at for e in other_faults
                          if e.node == call.gateway)
            excused = excused or any(left <= call.ended_at and right >= call.sent_at - bounds.contact
                                     for left, right, _ in history.worker_faults)
            cut_late = call.ended_at >= event.at + bounds.grace * 5 / 6 and not late_start
            if call.status is None and read and not excused and not cut_late:
                violations.append(f'{call.request_id} at {call.gateway}: sent {call.sent_at - event.at:.2f} s after '
                                  f'SIGTERM, closed {call.ended_at - event.at:.2f} s after it ({call.detail})')
    return Verdict('LOST', cases, violations)


def check_unexpected_ends(history):
    """ENDED BY ITSELF: no process ends unless the soak signalled it."""
    unexpected = [e for e in history.events if e.kind == 'ended_by_itself']
    starts = sum(1 for e in history.events if e.kind == 'start')
    return Verdict('ENDED BY ITSELF', starts, [f'{e.node} at {e.at:.2f}' for e in unexpected])
