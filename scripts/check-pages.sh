#!/usr/bin/env bash
# The pages' words must not stand in code, and generated pages must be up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
words=$(git grep -nIiE '\b(ticket|ledger|purge|weight_?label)s?\b' -- 'src/*.cc' 'src/*.h' 'src/*.proto' || true)
if [ -n "$words" ]; then
  echo "Words of the pages in code; docs/GLOSSARY.md has the terms:" >&2
  echo "$words" >&2
  exit 1
fi
echo "words: clean"
