#!/usr/bin/env bash
# Compares simulated runs with src/posthatch/compatibility/testdata/behaviour.txt, which holds for each
# scenario and seed a hash of the simulated events (deliveries, disk completions and their times, but no
# event names) and the numbers of requests sent and completed. A change that keeps the behaviour must
# keep the table; one that alters the behaviour regenerates it with --write and says why in its commit.
# Usage: scripts/check-behaviour.sh REPORTS [--write], after
#        POSTHATCH_REPORTS=REPORTS scripts/simulate-all.sh 1 3
set -euo pipefail
cd "$(dirname "$0")/.."
reports=$1
table=src/posthatch/compatibility/testdata/behaviour.txt
current=$(mktemp)
trap 'rm -f "$current"' EXIT
for output in "$reports"/*.out; do
  sed -nE "s/^seed +([0-9]+) .* behaviour ([0-9a-f]+)  sent +([0-9]+) completed +([0-9]+).*/$(basename "$output" .out) \1 \2 \3 \4/p" "$output"
done | sort -k1,1 -k2,2n >"$current"
if [ "${2:-}" = --write ]; then
  {
    echo "# scenario, seed, behaviour hash, requests sent, requests completed"
    cat "$current"
  } >"$table"
fi
runs() { grep -v '^#' "$1" | cut -d' ' -f1,2 | sort -u; }
if ! diff <(runs "$table") <(runs "$current"); then
  echo "The scenarios or seeds differ from those in $table (< table, > this run)." >&2
  exit 1
fi
different=$(grep -vxFf "$table" "$current" || true)
if [ -n "$different" ]; then
  echo "Behaviour differs from $table; rows of this run:" >&2
  echo "$different" >&2
  exit 1
fi
echo "behaviour: $(wc -l <"$current") runs as in $table"
