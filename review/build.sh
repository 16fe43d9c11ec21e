#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in review/. They are written in Python with its standard library alone, so
# there is nothing to compile: this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review/common"); import standins'
