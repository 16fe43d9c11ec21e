#!/usr/bin/env bash
# Installs the dependencies, builds, runs a complete fleet on this machine with traffic and prints a summary.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
cmake --preset release >/dev/null
cmake --build --preset release -j "$(nproc)" --target posthatchd posthatchctl posthatch-emulator posthatch-fleettest
exec build/release/src/posthatch/fleettest/posthatch-fleettest run scenarios/quickstart.toml --report quickstart-report.json "$@"
