#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::traffic {

// One store of kept KV cache as this gateway sees it.
struct StoreEntry {
  std::string endpoint;
  std::string zone;
  double link_mbps = 0;
  runtime::MonotonicTime alive_at;  // last told to answer; zero: never
  runtime::MonotonicTime dead_at;   // last told not to answer
  uint32_t late_fetches = 0;        // in a row
  uint32_t pauses = 0;              // in a row
  runtime::MonotonicTime paused_until;
};

// The stores that workers may save kept segments to and fetch them from. Which one keeps a prompt
// is the same for all gateways (rendezvous hashing). A store is used only while it is known to
// answer (StoreWatch): a worker waits for a dead one, and its other moves wait with it. Event loop
// thread only.
class PromptStores {
 public:
  explicit PromptStores(runtime::Runtime* runtime) : runtime_(runtime) {}

  // Follows the configuration; what is known of a store stays.
  void Rebuild(const control::TrafficConfiguration& configuration);
  std::vector<std::string> Endpoints() const;
  // A watcher found the store to answer or not.
  void OnHealth(const std::string& endpoint, bool alive);
  // The store that keeps prompts of `affinity`; null if there is none or it may not be used now.
  const StoreEntry* For(uint64_t affinity) const;
  // A first event after a fetch from `endpoint` came, `late` or in time. Other endpoints are
  // ignored.
  void OnFetched(const std::string& endpoint, bool late);

 private:
  StoreEntry* Find(const std::string& endpoint);
  bool Usable(const StoreEntry& store) const;

  runtime::Runtime* const runtime_;
  std::vector<StoreEntry> stores_;
};

}  // namespace posthatch::traffic
