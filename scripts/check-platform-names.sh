#!/usr/bin/env bash
# Checks that the names of the users' platform appear in platform/ (and the deploy files) only, and that
# platform/ translates without state or decisions: no timers, randomness, clocks or mutable members.
set -euo pipefail
cd "$(dirname "$0")/.."
headers='"(Route-Stamp|Target-Instance|Kv-Source|Kv-Target|Token-Counts|Prefix-Hash|Deadline-Ms|Weight-Versions|Expected-Version|Cache-Salt|Not-Executed|Base-Version|Request-Priority)"'
fields='Config\.(Replace|Update|Read)|Evacuations\.|version-put|POSTHATCH_NODE_FILE|kv-events|kv-list|kv_store_addr|max_inflight|target_latency_ms|cold_remaining_ms'
names="$headers|$fields"
found=$(git grep -nIE "$names" -- 'src/*' || true)
if [ -n "$found" ]; then
  echo "Names of the users' platform outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
decisions=$(git grep -nIE 'runtime::(Timer|Random|Clock)\b|TimerService|mutable ' -- 'platform/*.cc' 'platform/*.h' || true)
if [ -n "$decisions" ]; then
  echo "platform/ must not use timers, randomness, clocks or mutable state:" >&2
  echo "$decisions" >&2
  exit 1
fi
echo "platform names: only in platform/"
