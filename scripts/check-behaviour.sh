#!/usr/bin/env bash
# Compares simulated runs with src/posthatch/compatibility/testdata/behaviour.txt, which holds for each
# scenario and seed the hash of all that happened (deliveries, disk completions, times; no names of
# events) and what became of the requests. A change that is to leave behaviour alone must leave the
# table alone; one that alters behaviour writes it anew and says why in its commit.
# Usage: scripts/check-behaviour.sh REPORTS [--write], after
#        POSTHATCH_REPORTS=REPORTS scripts/simulate-all.sh 1 3
set -euo pipefail
cd "$(dirname "$0")/.."
reports=$1
table=src/posthatch/compatibility/testdata/behaviour.txt
now=$(mktemp)
trap 'rm -f "$now"' EXIT
for output in "$reports"/*.out; do
  sed -nE "s/^seed +([0-9]+) .* behaviour ([0-9a-f]+)  sent +([0-9]+) completed +([0-9]+).*/$(basename "$output" .out) \1 \2 \3 \4/p" "$output"
done | sort -k1,1 -k2,2n >"$now"
if [ "${2:-}" = --write ]; then
  {
    echo "# scenario, seed, behaviour hash, requests sent, requests completed"
    cat "$now"
  } >"$table"
fi
runs() { grep -v '^#' "$1" | cut -d' ' -f1,2 | sort -u; }
if ! diff <(runs "$table") <(runs "$now"); then
  echo "Other scenarios or seeds than in $table (< table, > now)." >&2
  exit 1
fi
different=$(grep -vxFf "$table" "$now" || true)
if [ -n "$different" ]; then
  echo "Behaviour differs from $table; now:" >&2
  echo "$different" >&2
  exit 1
fi
echo "behaviour: $(wc -l <"$now") runs as in $table"
