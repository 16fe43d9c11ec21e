#!/usr/bin/env bash
# Switches off the mechanisms of the settings' [routing] table one by one, runs the same days and seeds
# without each of them, and prints the table of paired differences (ablation_table.py).
# Each job works in its own copy of this tree, so that the checkout isn't modified.
# Usage: scripts/experiments/ablate.sh BENCH RESULTS JOBS "SITE DAY SEED..." ["SITE DAY SEED..."]
#   BENCH    the bench's program        RESULTS  file for the lines "SWITCH SITE DAY SEED WORTH"
#   JOBS     number of parallel copies  SITE     path of a site file
# SWITCHES="index rank" limits the run to these; "none" (all mechanisms on) always runs.
set -euo pipefail
cd "$(dirname "$0")/../.."
bench=$1
results=$2
jobs=$3
shift 3
runs=("$@")
if [ -z "${SWITCHES:-}" ]; then
  SWITCHES=$(sed -n 's/^  bool \([a-z_]*\) = true;.*/\1/p' src/posthatch/routing/routing_switches.h | tr '\n' ' ')
fi
work=${ABLATE_FOLDER:-$(mktemp -d)}
: >"$results"

prepare() {
  mkdir -p "$work/$1"
  git ls-files -z --cached --others --exclude-standard ':!journal' |
    xargs -0 cp --parents -t "$work/$1" 2>/dev/null || true
  mkdir -p "$work/$1/journal"
  (cd "$work/$1" && { [ -d .git ] || git init -q; } && "$bench" build >build.log 2>&1)
}

# Runs every day and seed in copy $1 with the mechanism $2 switched off.
run_switch() {
  local copy=$work/$1 switch=$2
  cd "$copy"
  [ -f gateway.toml.in.kept ] || cp deploy/gateway.toml.in gateway.toml.in.kept
  cp gateway.toml.in.kept deploy/gateway.toml.in
  [ "$switch" = none ] || printf '\n[routing]\n%s = "off"\n' "$switch" >>deploy/gateway.toml.in
  local run site day seed
  for run in "${runs[@]}"; do
    read -r site day seeds <<<"$run"
    for seed in $seeds; do
      "$bench" run "$site" "$day" --seed "$seed" --why "ablation: without $switch" >run.txt 2>&1 || true
      local worth
      worth=$(grep -E "^$day +[0-9]+/" run.txt | awk '{print $4}' | tail -1)
      echo "$switch $(basename "$site" .toml) $day $seed ${worth:-none}" >>"$results"
    done
  done
}

for copy in $(seq "$jobs"); do prepare "$copy"; done
read -ra switches <<<"$SWITCHES"
queue=(none "${switches[@]}")
lock=$(mktemp)
next_switch() { # prints the next switch of the queue, or nothing
  (
    flock 9
    local number
    number=$(cat "$lock")
    number=${number:-0}
    echo $((number + 1)) >"$lock"
    echo "${queue[$number]:-}"
  ) 9>"$lock.held"
}
for copy in $(seq "$jobs"); do
  (while switch=$(next_switch) && [ -n "$switch" ]; do run_switch "$copy" "$switch"; done) &
done
wait
scripts/experiments/ablation_table.py "$results"
