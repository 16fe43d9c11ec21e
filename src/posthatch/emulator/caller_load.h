#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/emulator/traffic_mix.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

struct CallerLoadOptions {
  TrafficMix mix;
  std::vector<std::string> gateways;  // HTTP endpoints "ip:port"; each call goes to a random one
  std::string name = "callers";       // prefix of nonces and keys: unique among loads of one run
  runtime::Duration head_timeout = std::chrono::seconds(20);
  runtime::Duration body_idle_timeout = std::chrono::seconds(10);
  // Delay before a request whose response was lost is resent to another gateway; Retry-After
  // lengthens it.
  runtime::Duration resend_delay = std::chrono::milliseconds(300);
  uint32_t max_in_flight = 2000;  // further arrivals are skipped and counted
};

// Counts of the calls so far, for progress lines; checks use the history.
struct CallerLoadCounts {
  uint64_t sent = 0;
  uint64_t completed = 0;
  uint64_t refused = 0;
  // No response, a truncated one, an error without executed "no", or the caller disconnected.
  uint64_t unknown = 0;
  uint64_t skipped = 0;  // arrivals over max_in_flight
  uint64_t in_flight = 0;
};

// Emulates callers as an open loop with Poisson arrivals. Requests that are not idempotent are sent
// again with the same key after a lost response, to another gateway. Records CallSent and
// CallEnded. Owned by the scenario run; event loop thread only.
class CallerLoad {
 public:
  // `runtime` and `recorder` outlive the load.
  CallerLoad(runtime::Runtime* runtime, CallerLoadOptions options,
             fleettest::HistoryRecorder* recorder);
  ~CallerLoad();
  CallerLoad(const CallerLoad&) = delete;
  CallerLoad& operator=(const CallerLoad&) = delete;

  void Start();
  // Stops new requests; `done` runs when those in flight and their resends have ended.
  void Stop(std::function<void()> done);
  // Replaces the gateways' endpoints.
  void SetGateways(std::vector<std::string> gateways);
  CallerLoadCounts counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace posthatch::emulator
