#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/traffic/traffic.pb.h"

namespace posthatch::traffic {

struct LoadExchangeOptions {
  // Between reports of a gateway in a fleet of up to `gateways_at_period`; longer in proportion in
  // a larger one, so that what a gateway sends and receives stays about the same.
  runtime::Duration period = std::chrono::milliseconds(20);
  size_t gateways_at_period = 8;
  // Everything is told again this often.
  runtime::Duration refresh = std::chrono::milliseconds(1000);
  // What a gateway told is forgotten when nothing was heard of it for so long.
  runtime::Duration forget_after = std::chrono::milliseconds(2500);
};

struct Load {
  uint32_t in_flight = 0;
  uint64_t pending_tokens = 0;

  friend bool operator==(const Load&, const Load&) = default;
};

// Tells the other gateways what this one has under way at each worker, and adds up what they tell:
// without it, each gateway sees only its own small part of a worker's queue. Takes SERVICE_TRAFFIC
// of the runtime's transport. Owned by TrafficGateway; event loop thread only.
class LoadExchange {
 public:
  // `gateways`: internal endpoints of the other gateways.
  LoadExchange(runtime::Runtime* runtime, LoadExchangeOptions options,
               std::function<std::vector<std::string>()> gateways);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  // This gateway's load at a worker has changed.
  void Set(const std::string& worker_id, const Load& load);
  // What the other gateways have under way there.
  Load OfOthers(const std::string& worker_id) const;

 private:
  struct Sender {
    uint64_t incarnation = 0;
    uint64_t report = 0;
    runtime::MonotonicTime heard_at;
    absl::flat_hash_map<std::string, Load> loads;
  };

  void Receive(const runtime::Envelope& envelope);
  void Schedule();
  void Send();
  void Refresh();

  runtime::Runtime* const runtime_;
  const LoadExchangeOptions options_;
  const std::function<std::vector<std::string>()> gateways_;
  absl::flat_hash_map<std::string, Load> own_;
  absl::flat_hash_set<std::string> changed_;
  absl::flat_hash_map<std::string, Sender> senders_;  // by node id
  uint64_t last_report_ = 0;
  runtime::Timer send_timer_;
  runtime::Timer refresh_timer_;
};

}  // namespace posthatch::traffic
