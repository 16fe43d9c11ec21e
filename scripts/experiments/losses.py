#!/usr/bin/env python3
"""Reports where a day of the bench loses worth, from the gateways' debug logs and a journal entry.

Usage: losses.py LOG [--journal ENTRY.json] [--window SECONDS] [--top N]

LOG is what `fleetbench run SITE DAY --log NAME` printed with the gateways' log_level at "debug":
lines "SECONDS MACHINE {json event}". The events CallDispatched, FirstEvent and CallEnded are joined by
request id. Without a journal entry only the results from the log are printed.

Prefills of shared segments are grouped by what the gateway knew at the dispatch. The tokens of repeated
prefills are compared with the bench's count ("shared parts read again") if a journal entry is given.
"""
import argparse
import collections
import json
import re
import statistics

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")
ZONE = re.compile(r"^[a-z]+-(.*)-\d+$")
AGE_CLASSES = ((0.3, "under 0.3 s"), (1.0, "under 1 s"), (3.0, "under 3 s"), (1e9, "3 s or more"))


def read_events(path):
    """Yields (seconds, machine, event) for each JSON line; skips other lines."""
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            match = LINE.match(line)
            if not match:
                continue
            try:
                yield float(match[1]), match[2], json.loads(match[3])
            except ValueError:
                continue


def zone_of(machine):
    match = ZONE.match(machine)
    return match[1] if match else machine


class Dispatch:
    """An attempt of a request at one worker, as its CallDispatched event describes it."""

    def __init__(self, at, machine, event):
        self.at = at
        self.machine = machine
        self.request_id = event["request_id"]
        self.route = event["route"]
        self.worker = event["worker"]
        self.segments = (event["affinity"], event["revision"])
        self.shared = int(event["shared_tokens"])
        self.unshared = int(event["tokens"]) - self.shared
        self.shared_missing = max(0, int(event["missing_tokens"]) - self.unshared)
        self.fetched = int(event["fetch_tokens"])
        self.source = event["fetch_endpoint"]


def classify(dispatch, earlier):
    """Returns why the shared segments are or aren't prefilled at this dispatch, and whether that repeats
    an earlier prefill."""
    if dispatch.shared_missing == 0:
        return "known to be cached there, or in prefill there", False
    if dispatch.fetched > 0:
        return "known to be cached elsewhere, fetched", False
    if not earlier:
        return "first prefill of these segments", False
    age = next(text for bound, text in AGE_CLASSES if dispatch.at - earlier[-1].at < bound)
    if any(dispatch.worker == other.worker for other in earlier):
        where = "no cache holder known, sent to a worker that had prefilled them"
    elif dispatch.source:
        where = "no cache holder known, sent elsewhere, source guessed"
    else:
        where = "no cache holder known, sent elsewhere, no source"
    return f"{where}, last use {age} ago", True


def report_shared(dispatches, bench_repeated_tokens):
    count = collections.Counter()
    tokens = collections.Counter()
    repeated_tokens = 0
    history = collections.defaultdict(list)
    for dispatch in dispatches:
        if dispatch.shared == 0:
            continue
        earlier = history[dispatch.segments]
        reason, is_repeated = classify(dispatch, earlier)
        count[reason] += 1
        tokens[reason] += dispatch.shared_missing
        repeated_tokens += dispatch.shared_missing if is_repeated else 0
        earlier.append(dispatch)
    print("\nShared segments at the dispatch (number, M tokens believed missing):")
    for reason, number in count.most_common():
        print(f"  {number:7d} {tokens[reason] / 1e6:8.2f}  {reason}")
    print(f"  believed to be prefilled again: {repeated_tokens / 1e6:.2f} M tokens", end="")
    if bench_repeated_tokens:
        print(f"; the bench counted {bench_repeated_tokens / 1e6:.2f} M "
              f"({repeated_tokens / bench_repeated_tokens:.0%})", end="")
    print()


def report_outcomes(ends, window):
    print("\nHow requests ended (route, outcome, newest failed attempt): number, median ms")
    groups = collections.defaultdict(list)
    for _, _, event in ends:
        key = (event["route"], event["outcome"], event["last_failure"] or "-")
        groups[key].append(float(event["elapsed_ms"]))
    for key, values in sorted(groups.items(), key=lambda item: -len(item[1])):
        print(f"  {len(values):7d} {statistics.median(values):9.1f}  {' '.join(key)}")
    print(f"\nRequests with another outcome than ok, per {window:g} s: number, by outcome, by zone")
    slots = collections.defaultdict(collections.Counter)
    zones = collections.defaultdict(collections.Counter)
    for at, machine, event in ends:
        if event["outcome"] == "ok":
            continue
        slots[int(at // window)][event["outcome"]] += 1
        zones[int(at // window)][zone_of(machine)] += 1
    for slot in sorted(slots):
        print(f"  {slot * window:6.1f} {sum(slots[slot].values()):5d} "
              f"{dict(slots[slot].most_common())}  {dict(zones[slot].most_common())}")


def report_first_events(dispatches, firsts, top):
    lateness = []
    for dispatch in dispatches:
        first = firsts.get((dispatch.request_id, dispatch.worker))
        if first is None:
            continue
        excess = float(first["elapsed_ms"]) - float(first["expected_ms"])
        lateness.append((excess, dispatch, first))
    if not lateness:
        return
    lateness.sort(key=lambda item: -item[0])
    values = [item[0] for item in lateness]
    print("\nFirst events later than expected, ms: "
          f"median {statistics.median(values):.0f}, 90th percentile "
          f"{values[len(values) // 10]:.0f}")
    for excess, dispatch, first in lateness[:top]:
        print(f"  {dispatch.at:8.2f} {dispatch.machine} {dispatch.request_id} {dispatch.route} at "
              f"{dispatch.worker}: {float(first['elapsed_ms']):.0f} ms, {excess:.0f} late; "
              f"shared missing {dispatch.shared_missing}, unshared {dispatch.unshared}, "
              f"source {dispatch.source or '-'}")


def report_journal(day):
    print(f"{day['name']}: score {day['score']:.3f}, worth {day['G']:.4f}, served {day['served']}, "
          f"refused {day['refused']}, failed {day['failed']}")
    print("  parts:  " + ", ".join(f"{name} {value:.3f} (weight {weight})"
                                   for name, weight, value in day["parts"]))
    prices = sorted((price for price in day["prices"] if abs(price[2]) >= 0.0005),
                    key=lambda price: -price[2])
    print("  prices: " + ", ".join(f"{name} {cost:.4f}" for name, _, cost in prices))
    print(f"  by kind of request {day['by_class']}, by zone {day['by_zone']}")


def repeated_tokens_of(day):
    for name, amount, _ in day["prices"]:
        if "shared parts read again" in name:
            return amount * 1000
    return None


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log", help="output of a run; - for none")
    parser.add_argument("--journal", help="journal entry whose days are printed")
    parser.add_argument("--window", type=float, default=1.0, help="seconds per line (default 1)")
    parser.add_argument("--top", type=int, default=10, help="number of late first events to list (default 10)")
    arguments = parser.parse_args()
    bench_repeated_tokens = None
    if arguments.journal:
        with open(arguments.journal, encoding="utf-8") as entry:
            days = json.load(entry)["days"]
        for day in days:
            report_journal(day)
        bench_repeated_tokens = repeated_tokens_of(days[0]) if len(days) == 1 else None
    if arguments.log == "-":
        return
    dispatches, firsts, ends = [], {}, []
    for at, machine, event in read_events(arguments.log):
        kind = event.get("type")
        if kind == "CallDispatched":
            dispatches.append(Dispatch(at, machine, event))
        elif kind == "FirstEvent":
            firsts[(event["request_id"], event["worker"])] = event
        elif kind == "CallEnded":
            ends.append((at, machine, event))
    report_outcomes(ends, arguments.window)
    report_shared(dispatches, bench_repeated_tokens)
    report_first_events(dispatches, firsts, arguments.top)


if __name__ == "__main__":
    main()
