#!/usr/bin/env bash
# Runs the days (load and fault scripts) of deploy/days with the bench and prints a line for each; fails
# if a rule is broken.
# Usage: scripts/play-days.sh BENCH SITE WHY [DAY...]
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
bench=$1
site=$2
why=$3
shift 3
days=("$@")
[ ${#days[@]} -gt 0 ] || days=(deploy/days/*.toml)
reports=$(mktemp -d)
broken=0
printf '%-30s %s\n' day 'own/srv score worth served refused failed weakest'
for day in "${days[@]}"; do
  name=$(basename "$day" .toml)
  "$bench" run "$site" "$day" --why "$why" >"$reports/$name.txt" 2>&1
  line=$(grep -E "^$name +[0-9]+/" "$reports/$name.txt" || tail -1 "$reports/$name.txt")
  echo "$line"
  if ! grep -qE "^$name +[0-9]+/" "$reports/$name.txt" || grep -q '^rules broken' "$reports/$name.txt"; then
    broken=$((broken + 1))
  fi
done
echo "days that broke a rule or did not run: $broken (reports in $reports)"
[ "$broken" -eq 0 ]
