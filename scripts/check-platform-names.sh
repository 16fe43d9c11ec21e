#!/usr/bin/env bash
# Nothing outside platform/ (and the deploy files) knows the users' platform's names, and platform/
# keeps no state and decides nothing: it may not hold timers, randomness or mutable members.
set -euo pipefail
cd "$(dirname "$0")/.."
headers='"(Route-Stamp|Target-Instance|Kv-Source|Kv-Target|Token-Counts|Prefix-Hash|Deadline-Ms|Weight-Versions|Expected-Version|Cache-Salt|Not-Executed|Base-Version|Request-Priority)"'
fields='Config\.(Replace|Update|Read)|Evacuations\.|version-put|POSTHATCH_NODE_FILE|kv-events|kv-list|kv_store_addr|max_inflight|target_latency_ms|cold_remaining_ms'
names="$headers|$fields"
found=$(git grep -nIE "$names" -- 'src/*' || true)
if [ -n "$found" ]; then
  echo "The platform's names outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
decisions=$(git grep -nIE 'runtime::(Timer|Random|Clock)\b|TimerService|mutable ' -- 'platform/*.cc' 'platform/*.h' || true)
if [ -n "$decisions" ]; then
  echo "platform/ translates and keeps no state:" >&2
  echo "$decisions" >&2
  exit 1
fi
echo "platform names: only in platform/"
