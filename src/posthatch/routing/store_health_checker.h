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
  // Between two polls of a store, and how long the store may hold one.
  runtime::Duration poll_interval = std::chrono::milliseconds(300);
  runtime::Duration poll_wait = std::chrono::milliseconds(250);
  // Beyond `wait`: a store that is silent for longer does not answer.
  runtime::Duration response_timeout = std::chrono::milliseconds(250);
};

// Finds out whether the stores of kept KV cache answer, by polling their cache events. Runs on the
// collector of each zone alone (LoadReporter), which tells the others: a store takes few such calls
// at once. Owned by TrafficGateway; event loop thread only.
class StoreHealthChecker {
 public:
  struct Parts {
    std::function<std::vector<std::string>()> stores;  // endpoints
    std::function<bool()> is_responsible;
    std::function<void(const std::string& endpoint, bool alive)> report;
  };

  StoreHealthChecker(runtime::Runtime* runtime, StoreHealthCheckerOptions options, Parts parts);

  void Start() { Tick(); }

 private:
  struct Poll {
    std::unique_ptr<http::Call> call;
    bool running = false;
    runtime::MonotonicTime next;
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
  const Parts parts_;
  std::map<std::string, Poll> polls_;  // by endpoint
  runtime::Timer timer_;
};

}  // namespace posthatch::routing
