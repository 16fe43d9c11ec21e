#!/usr/bin/env bash
# Simulates each scenario and seed in several processes, whose address spaces differ, and fails if
# their traces differ: a seed that fails must fail again when it is rerun.
# Usage: scripts/check-determinism.sh [PROCESSES] [SCENARIO:SEED...]
set -euo pipefail
cd "$(dirname "$0")/.."
processes=${1:-4}
shift || true
runs=("$@")
[ ${#runs[@]} -gt 0 ] || runs=(nilestone:9002 key_revocation:3 chaos:1)
program=build/release/src/posthatch/fleettest/posthatch-fleettest
failed=0
for run in "${runs[@]}"; do
  scenario=${run%%:*}
  seed=${run##*:}
  traces=$(seq "$processes" | xargs -P "$processes" -I{} \
    "$program" simulate "scenarios/$scenario.toml" --seeds "$seed-$seed" 2>&1 |
    grep -oE 'trace [0-9a-f]+' | sort | uniq -c)
  echo "$scenario, seed $seed: $(echo "$traces" | tr -s ' \n' ' ')"
  # Every process must print a trace, and all traces must be equal.
  [ "$(echo "$traces" | wc -l)" -eq 1 ] || failed=1
  [ "$(echo "$traces" | awk '{ print $1 }')" = "$processes" ] || failed=1
  echo "$traces" | grep -q trace || failed=1
done
[ "$failed" -eq 0 ] || { echo "The simulator's traces differ between processes." >&2; exit 1; }
