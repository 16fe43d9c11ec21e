#!/usr/bin/env python3
"""Generates docs/operations/logs-and-metrics.md from the code and from docs/operations/logs-and-metrics.notes.

Usage: scripts/logs_and_metrics.py [--write]. Without --write it fails if the page differs from what would
be generated. In both cases it fails if an event has no note or a note has no event.

The notes hold what the code doesn't say, one line for each event:
`NAME | former name or - | when it happens | what an operator does`. Metrics have no notes.
"""
import difflib
import re
import subprocess
import sys

PAGE = 'docs/operations/logs-and-metrics.md'
NOTES = 'docs/operations/logs-and-metrics.notes'
HEAD = '''# Log events and metrics

Made by `scripts/logs_and_metrics.py` from the code; what to do stands in `docs/operations/logs-and-metrics.notes`.
Change those, not this page.

## Log events

One JSON object a line: `time`, `severity`, `node`, `type` (the event) and the fields named here. `log_level` of the
settings is the lowest severity that is written; `PUT /admin/v1/log-level` changes it in a running process.

| event | severity | fields | from | when it happens | what to do | former name |
|---|---|---|---|---|---|---|
'''
METRICS = '''
## Metrics

At `GET /metrics` of every process, in Prometheus' text format. Names are those of before. Units are in the names
(`_seconds`, `_bytes`); `_total` only rises.

| metric | type | labels | from | meaning |
|---|---|---|---|---|
'''
EVENT = re.compile(r'Event\(\s*(?:runtime::)?Severity::k(\w+),\s*"(\w+)",\s*(\{.*?\})\s*\)\s*;', re.S)
FIELD = re.compile(r'\{\s*"(\w+)"')
TEXT = r'((?:"(?:\\.|[^"\\])*"\s*)+)'
# Matches NAME, HELP as adjacent arguments, or .Name(NAME).Help(HELP). For families whose prefix is added
# elsewhere, PREFIX matches the prefix and UNPREFIXED the rest of the name.
FAMILY = [
    re.compile(r'"(posthatch_\w+)"\s*,\s*' + TEXT + r'(?:,\s*"(\w+)")?'),
    re.compile(r'\.Name\(\s*"(posthatch_\w+)"\s*\)\s*\.Help\(\s*' + TEXT + r'\)'),
]
PREFIX = re.compile(r'\.Name\(\s*"(posthatch_\w+_)"\s*\+\s*\w+\s*\)')
UNPREFIXED = re.compile(r'"([a-z][a-z0-9_]+)"\s*,\s*' + TEXT + r'(?:,\s*"(\w+)")?')


def sources():
    listed = subprocess.check_output(['git', 'ls-files', 'src/*.cc', 'src/*.h', 'platform/*.cc'], text=True).split()
    return [name for name in listed if not re.search(r'-(test|bench|fuzz)\.|/fleettest/|/emulator/', name)]


def join_literals(text):
    return ''.join(re.findall(r'"((?:\\.|[^"\\])*)"', text)).replace('\\"', '"')


def short_path(name):
    return re.sub(r'^src/posthatch/', '', name)


def events():
    found = {}
    for name in sources():
        with open(name, encoding='utf-8') as file:
            text = file.read()
        for severity, event, fields in EVENT.findall(text):
            row = found.setdefault(event, {'severity': severity.lower(), 'fields': set(), 'from': set()})
            row['fields'].update(FIELD.findall(fields))
            row['from'].add(short_path(name))
    return found


def metric_type(name):
    """Derives the type from the suffix of the name, a convention that the code follows."""
    if name.endswith('_total'):
        return 'counter'
    return 'histogram' if name.endswith('_seconds') else 'gauge'


def metrics():
    found = {}
    for name in sources():
        with open(name, encoding='utf-8') as file:
            text = file.read()
        rows = [(match.group(1), match.group(2), match.group(3) if match.re.groups > 2 else None)
                for pattern in FAMILY for match in pattern.finditer(text)]
        prefix = PREFIX.search(text)
        if prefix:
            rows += [(prefix.group(1) + match.group(1), match.group(2), match.group(3))
                     for match in UNPREFIXED.finditer(text) if not match.group(1).startswith('posthatch_')]
        for metric, help_text, label in rows:
            found.setdefault(metric, (metric_type(metric), label or '', short_path(name), join_literals(help_text)))
    return found


def notes():
    found = {}
    with open(NOTES, encoding='utf-8') as file:
        for line in file:
            if line.strip() and not line.startswith('#'):
                event, former, when, action = [part.strip() for part in line.split('|')]
                found[event] = (former, when, action)
    return found


def page():
    known = notes()
    seen = events()
    missing = sorted(set(seen) - set(known))
    unused = sorted(set(known) - set(seen))
    if missing or unused:
        sys.exit(f'{NOTES}: events without a note: {missing}; notes without an event: {unused}')
    text = HEAD
    for event in sorted(seen):
        row, (former, when, action) = seen[event], known[event]
        fields = ', '.join(f'`{field}`' for field in sorted(row['fields'])) or '-'
        origin = ', '.join(f'`{name}`' for name in sorted(row['from']))
        before = '-' if former == '-' else f'<!-- former names -->`{former}`<!-- end of former names -->'
        text += f"| `{event}` | {row['severity']} | {fields} | {origin} | {when} | {action} | {before} |\n"
    text += METRICS
    for metric, (kind, label, origin, help_text) in sorted(metrics().items()):
        meaning = help_text.replace('|', '\\|')
        shown = f'`{label}`' if label else '-'
        text += f'| `{metric}` | {kind} | {shown} | `{origin}` | {meaning} |\n'
    return text


def main():
    text = page()
    if '--write' in sys.argv:
        with open(PAGE, 'w', encoding='utf-8') as file:
            file.write(text)
        return
    with open(PAGE, encoding='utf-8') as file:
        written = file.read()
    if written != text:
        difference = difflib.unified_diff(written.split('\n'), text.split('\n'), PAGE, 'the code', lineterm='')
        sys.exit('\n'.join(difference) + f'\n{PAGE} is outdated: run scripts/logs_and_metrics.py --write')
    print(f'{PAGE}: {len(events())} events and {len(metrics())} metrics, up to date')


main()
