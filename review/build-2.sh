#!/usr/bin/env bash
# The stand-ins of the cases (5/standins.py) are Python programs of the standard library: nothing is compiled. Checks that they
# and the project's filler of settings templates, which they use, can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in [4-8]/*.py ../scripts/soak/settings_template.py; do
  /usr/bin/python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
