#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/container/node_hash_map.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/index/observation_reporter.h"
#include "posthatch/invalidation/object_trust.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

// Polls GET /status of each store of KV blocks for its epoch and reports new ones: a store that
// restarts has lost all its blocks and publishes no event about it. Each store is polled by one
// gateway: the holder of its lease or, as stores need not be leased, the first gateway by endpoint.
// Owned by IndexNode; event loop thread only.
class StorePoller {
 public:
  // `is_first_gateway`: whether this gateway polls the stores that are not leased.
  StorePoller(runtime::Runtime* runtime, runtime::Duration interval,
              const control::FleetView* fleet, const invalidation::ObjectTrust* trust,
              ObservationReporter* reporter, std::function<bool()> is_first_gateway);

  void Start();
  uint64_t polls() const { return polls_; }

 private:
  struct Poll {
    std::unique_ptr<http::Call> call;
    int status = 0;
    std::string body;
    bool in_flight = false;
  };

  void Tick();
  bool IsResponsible(const std::string& store) const;
  void PollStore(const std::string& store, const std::string& endpoint);
  void OnEnd(const std::string& store);

  runtime::Runtime* const runtime_;
  const runtime::Duration interval_;
  const control::FleetView* const fleet_;
  const invalidation::ObjectTrust* const trust_;
  ObservationReporter* const reporter_;
  const std::function<bool()> is_first_gateway_;
  // Keyed by store id. Callbacks refer to the values, so their addresses must be stable.
  absl::node_hash_map<std::string, Poll> polls_by_store_;
  uint64_t polls_ = 0;
  runtime::Timer timer_;
};

}  // namespace posthatch::index
