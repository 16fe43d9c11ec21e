#!/usr/bin/env bash
# clang-tidy over the project's own sources, in parallel; warnings are errors (.clang-tidy).
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files 'src/*.cc' 'platform/*.cc' | grep -v -- '-fuzz\.cc$')
fi
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build/release --quiet 2>/dev/null
echo "clang-tidy: ${#files[@]} files clean"
