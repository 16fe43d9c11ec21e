#!/usr/bin/env bash
# Simulates every scenario over a range of seeds and prints a line each; fails if one doesn't pass.
# Usage: scripts/simulate-all.sh [FIRST_SEED] [LAST_SEED]
set -uo pipefail
cd "$(dirname "$0")/.."
first=${1:-1}
last=${2:-1}
program=build/release/src/posthatch/rehearse/posthatch-rehearse
reports=$(mktemp -d)
passed=0
failed=0
for scenario in scenarios/*.toml; do
  name=$(basename "$scenario" .toml)
  if timeout -s KILL 600 "$program" simulate "$scenario" --seeds "$first-$last" \
    --report "$reports/$name.json" >"$reports/$name.out" 2>&1; then
    passed=$((passed + 1))
    echo "$name: $(grep 'seeds passed' "$reports/$name.out")"
  else
    failed=$((failed + 1))
    echo "$name: FAILED, $(grep 'seeds passed' "$reports/$name.out")"
    grep -E 'FAILED|VIOLATED' "$reports/$name.out"
  fi
done
echo "scenarios: $passed passed, $failed failed (reports in $reports)"
[ "$failed" -eq 0 ]
