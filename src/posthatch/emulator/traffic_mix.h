#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "posthatch/control/configuration.pb.h"
#include "posthatch/runtime/clock.h"

// Traffic that callers send. A mix is plain data: a scenario file changes its fields, the presets
// model the two deployments that the system is built for.
namespace posthatch::emulator {

// A tenant, its key and its pool of long shared prefixes.
struct TenantTraffic {
  std::string name;
  std::string key;
  std::string key_id;  // names the key in histories, which contain no keys
  double share = 1;    // weight in the choice of a request's tenant
  bool isolated = false;
  uint32_t histories = 8;      // long prefixes that its requests begin with
  double zipf_exponent = 1.1;  // exponent of the distribution from which a history is chosen
  uint32_t first_prompt_bytes = 4096;
  uint32_t turn_bytes = 256;              // added to a history by each request
  uint32_t longest_prompt_bytes = 16384;  // a history that would exceed it starts again
};

enum class OperationKind { kCompletions, kChat, kService };

struct OperationTraffic {
  OperationKind kind = OperationKind::kCompletions;
  double share = 1;  // relative to other operations
  bool stream = false;
  std::string model;  // completions and chat
  uint32_t max_tokens = 16;
  std::string service;  // kService
  std::string operation;
  bool non_repeatable = false;
};

struct TrafficMix {
  std::string name;
  double requests_per_second = 50;
  std::vector<TenantTraffic> tenants;
  std::vector<OperationTraffic> operations;
  double pooled_connection_share = 0.7;  // others use a new connection
  double disconnecting_share = 0.01;     // callers that disconnect during the response
  double slow_reader_share = 0.02;       // streams read with pauses
  // Keyed operations that are also sent to a second gateway at once.
  double racing_share = 0.02;
  // Keyed operations that are sent once more after their response, as if it had been lost.
  double repeated_share = 0.02;
  uint32_t max_sends = 4;  // sends of one request, including resends after lost responses
};

// Nilestone: verdicts over long race histories, rival suggestions, chat moderation, and lobby
// placements that are not idempotent (a fifth); 50 requests/s, 8 tenants.
TrafficMix NilestoneMix();
// Kovinar: licence diagnoses, renewal quotes, seat questions (nearly half), and checkout
// heartbeats that are not idempotent; 55 requests/s, 8 tenants.
TrafficMix KovinarMix();
// "nilestone" or "kovinar". Errors: NotFound.
absl::StatusOr<TrafficMix> FindMix(std::string_view name);

// Lower-case hexadecimal SHA-256, the form in which a configuration names keys.
std::string KeySha256(std::string_view key);
// The configuration under which every request of the mix is allowed: tenants with their keys,
// isolation of the isolated tenants, service routes, models (blocks of `block_tokens`).
control::Configuration ConfigurationFor(const TrafficMix& mix, uint32_t block_tokens);

}  // namespace posthatch::emulator
