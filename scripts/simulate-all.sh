#!/usr/bin/env bash
# Simulates every scenario over a range of seeds and prints a line for each; fails if one doesn't pass.
# Scenarios run in parallel, which doesn't change results: a simulation depends on its seed alone.
# Usage: [POSTHATCH_REPORTS=FOLDER] scripts/simulate-all.sh [FIRST_SEED] [LAST_SEED]
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
first=${1:-1}
last=${2:-1}
program=build/release/src/posthatch/fleettest/posthatch-fleettest
reports=${POSTHATCH_REPORTS:-$(mktemp -d)}
mkdir -p "$reports"
export first last program reports

simulate() {
  local name=$1
  timeout -s KILL 600 "$program" simulate "scenarios/$name.toml" --seeds "$first-$last" \
    --report "$reports/$name.json" >"$reports/$name.out" 2>&1
  echo $? >"$reports/$name.status"
}
export -f simulate
mapfile -t names < <(basename -s .toml scenarios/*.toml)
printf '%s\n' "${names[@]}" | xargs -P "${POSTHATCH_JOBS:-$(nproc)}" -I{} bash -c 'simulate {}'

passed=0
failed=0
for name in "${names[@]}"; do
  if [ "$(cat "$reports/$name.status")" = 0 ]; then
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
