#pragma once

namespace posthatch::routing {

// The mechanisms of routing, each of which can be switched off to measure its effect
// (scripts/experiments/ablate.sh). All are on unless the settings' [routing] table says otherwise.
// No invariant depends on any of them.
struct RoutingSwitches {
  bool index = true;             // place by the prefix cache index
  bool older_revisions = true;   // also use caches of workers that a rollout has not reached yet
  bool announcements = true;     // announce prefills, and consider announced ones in placement
  bool rank = true;              // prefer the workers that all gateways rank first for a prompt
  bool guessed_source = true;    // fetch from the top-ranked worker if no cache holder is known
  bool peer_moves = true;        // fetch cached segments from another worker
  bool stores = true;            // save to and fetch from stores
  bool loads = true;             // count the loads of other gateways
  bool urgent_loads = true;      // report pending prompts within milliseconds
  bool interference = true;      // weight the effect of a long prefill on running streams
  bool gathering = true;         // batch short prompts at workers that run streams
  bool kept_connections = true;  // prefer workers with a pooled connection
  bool near_candidates = true;   // draw random candidates from this zone in a large fleet
  bool measured_waits = true;    // weight recently measured waits
  bool ejection = true;          // eject workers that fail
  bool resumption = true;        // resume streams at another worker
  bool retries = true;           // retry at another worker
  bool priorities = true;        // send the priority of a prompt to its worker
};

}  // namespace posthatch::routing
