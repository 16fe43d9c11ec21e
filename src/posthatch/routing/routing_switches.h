#pragma once

namespace posthatch::routing {

// The mechanisms of routing, each of which can be switched off to measure what it is worth
// (scripts/experiments/ablate.sh). All are on unless the settings' [routing] table says otherwise.
// None is needed to keep what must never happen.
struct RoutingSwitches {
  bool index = true;             // use what the index knows of kept segments
  bool older_revisions = true;   // also at workers that a roll-out has not reached yet
  bool announcements = true;     // tell and use which prompts are being read
  bool rank = true;              // send unknown prompts to the workers that all gateways rank first
  bool guessed_source = true;    // name the worker ranked first as source where nothing is known
  bool peer_moves = true;        // fetch kept segments from another worker
  bool stores = true;            // save to and fetch from stores
  bool loads = true;             // count what other gateways have under way
  bool urgent_loads = true;      // tell waiting prompts within milliseconds
  bool interference = true;      // weigh what a long read does to running streams
  bool gathering = true;         // gather short prompts where streams run
  bool kept_connections = true;  // prefer workers that a connection is kept to
  bool near_candidates = true;   // in a large fleet, look for free workers in the own zone
  bool measured_waits = true;    // weigh waits that were measured lately
  bool ejection = true;          // keep away from workers that fail
  bool resumption = true;        // take resumable streams up at another worker
  bool retries = true;           // try a second worker
  bool priorities = true;        // tell workers how urgent a prompt is
};

}  // namespace posthatch::routing
