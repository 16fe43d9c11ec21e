#!/usr/bin/env bash
# Exit 0: the rule held; 1: it was broken; 2: the case couldn't run. TROUBLE=0: without the disruption.
set -euo pipefail
cd "$(dirname "$0")"
exec /usr/bin/python3 -B case.py
