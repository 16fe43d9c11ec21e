#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/index/kv_event_format.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

struct StoreHealthCheckerOptions {
  const index::KvEventFormat* format = index::NativeKvEventFormat();
  // Time between two polls of a store, and how long the store may delay its response to one.
  runtime::Duration poll_interval = std::chrono::milliseconds(300);
  runtime::Duration poll_wait = std::chrono::milliseconds(250);
  // Time-out beyond `poll_wait`: a store that has not responded by then is unhealthy.
  runtime::Duration response_timeout = std::chrono::milliseconds(250);
};

// Checks the health of the stores by polling their cache events. Active only on each zone's
// aggregator (LoadReporter), which reports to the other gateways: a store accepts few such calls at
// once. Owned by TrafficGateway; event loop thread only.
class StoreHealthChecker {
 public:
  struct Dependencies {
    std::function<std::vector<std::string>()> stores;  // endpoints
    std::function<bool()> is_responsible;              // whether this gateway checks now
    std::function<void(const std::string& endpoint, bool alive)> report;
  };

  StoreHealthChecker(runtime::Runtime* runtime, StoreHealthCheckerOptions options,
                     Dependencies dependencies);

  void Start() { Tick(); }

 private:
  struct Poll {
    std::unique_ptr<http::Call> call;
    bool in_flight = false;
    // Position in the store's event log where the next poll continues.
    uint64_t epoch = 0;
    uint64_t after = 0;
    int status = 0;
    std::string body;
  };

  void Tick();
  void SendPoll(const std::string& endpoint, Poll* poll);
  void OnPollResponse(const std::string& endpoint);
  void OnFailure(const std::string& endpoint);

  runtime::Runtime* const runtime_;
  const StoreHealthCheckerOptions options_;
  const Dependencies dependencies_;
  std::map<std::string, Poll> polls_;  // keyed by endpoint
  runtime::Timer timer_;
};

}  // namespace posthatch::routing
