#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "posthatch/emulator/traffic_mix.h"
#include "posthatch/runtime/random.h"

namespace posthatch::emulator {

// The long prefixes of one tenant's requests. Half of them begin with texts that all tenants of the
// load share, so that reuse across tenants occurs wherever nothing prevents it. Not thread-safe.
class PromptPool {
 public:
  explicit PromptPool(const TenantTraffic& tenant);

  struct Choice {
    std::string history;  // equal for requests whose prompts extend each other
    std::string prompt;
  };
  // Picks a history (Zipf distribution) and extends it by a turn for the next request.
  Choice Next(runtime::Random* random);

 private:
  struct History {
    std::string name;
    std::string text;
    uint32_t generation = 0;
    uint32_t turns = 0;
  };
  void StartGeneration(History* history) const;

  const TenantTraffic tenant_;
  std::vector<History> histories_;
  std::discrete_distribution<size_t> choice_;
};

// Deterministic filler of `bytes` bytes that depends on `seed` only.
std::string FillerText(const std::string& seed, size_t bytes);

}  // namespace posthatch::emulator
