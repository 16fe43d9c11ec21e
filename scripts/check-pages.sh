#!/usr/bin/env bash
# Fails if the code uses words of the users' pages where docs/GLOSSARY.md defines a term of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
words=$(git grep -nIiE '\b(ticket|ledger|purge|weight_?label)s?\b' -- 'src/*.cc' 'src/*.h' 'src/*.proto' || true)
if [ -n "$words" ]; then
  echo "Words of the users' pages in code; docs/GLOSSARY.md has the project's terms:" >&2
  echo "$words" >&2
  exit 1
fi
echo "words: clean"
