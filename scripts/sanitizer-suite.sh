#!/usr/bin/env bash
# Runs a short suite under ASan and UBSan: components that parse untrusted bytes or keep state and whose tests are fast enough.
set -euo pipefail
cd "$(dirname "$0")/.."
components=(storage consensus membership index)
cmake --build build/asan-ubsan -j "$(nproc)" --target "${components[@]/%/-test}"
expression=$(printf '|^%s$' "${components[@]}")
# A few seeds suffice here, since the release tests run all of them.
export POSTHATCH_SEEDS=${POSTHATCH_SEEDS:-3}
ctest --test-dir build/asan-ubsan --output-on-failure -j 4 -R "${expression:1}"
