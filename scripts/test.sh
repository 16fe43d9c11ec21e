#!/usr/bin/env bash
# Passes every check: format, clang-tidy, build (-Werror), tests, a short suite under ASan + UBSan.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
jobs=$(nproc)

echo "== format"
git ls-files '*.cc' '*.h' | xargs -r clang-format --dry-run --Werror

echo "== build"
cmake --preset release >/dev/null
cmake --build --preset release -j "$jobs"

echo "== clang-tidy"
scripts/lint.sh

echo "== pages made from the code, and words"
scripts/check-pages.sh

echo "== tests"
scripts/run-tests.sh release

echo "== short suite under ASan + UBSan"
cmake --preset asan-ubsan >/dev/null
scripts/sanitizer-suite.sh
