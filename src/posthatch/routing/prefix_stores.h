#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// A KV cache store as this gateway sees it.
struct PrefixStore {
  std::string endpoint;
  std::string zone;
  double link_mbps = 0;
  runtime::MonotonicTime last_healthy_at;    // newest healthy report; zero: none
  runtime::MonotonicTime last_unhealthy_at;  // newest unhealthy report; zero: none
  uint32_t delayed_fetches = 0;              // consecutive
  uint32_t backoffs = 0;                     // consecutive
  runtime::MonotonicTime backoff_until;
};

// The stores that workers may save cached segments to and fetch them from. All gateways use the
// same store for a prompt (rendezvous hashing). A store is used only while it is reported healthy
// (StoreHealthChecker): a worker that waits for an unresponsive store delays its other transfers
// too. Owned by TrafficGateway; event loop thread only.
class PrefixStores {
 public:
  explicit PrefixStores(runtime::Runtime* runtime) : runtime_(runtime) {}

  // Applies the configuration; the state of remaining stores is kept.
  void Rebuild(const control::TrafficConfiguration& configuration);
  std::vector<std::string> Endpoints() const;
  // Records the store's health as an aggregator reports it. Unknown stores are ignored.
  void RecordHealth(const std::string& endpoint, bool alive);
  // The store for prompts of `affinity`; null if there is none or it may not be used now. Valid
  // until the next Rebuild.
  const PrefixStore* StoreFor(uint64_t affinity) const;
  // Records whether the first event after a fetch from `endpoint` was `delayed`; a store with
  // several consecutive delayed fetches is not used for a while. Endpoints that are not stores are
  // ignored.
  void RecordFetch(const std::string& endpoint, bool delayed);

 private:
  PrefixStore* Find(const std::string& endpoint);
  bool IsUsable(const PrefixStore& store) const;

  runtime::Runtime* const runtime_;
  std::vector<PrefixStore> stores_;
};

}  // namespace posthatch::routing
