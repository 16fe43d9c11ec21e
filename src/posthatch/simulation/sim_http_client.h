#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/timer_service.h"
#include "posthatch/simulation/http_connection.h"

namespace posthatch::simulation {

// HTTP calls of one process of a host, with a pool of persistent connections per endpoint. Owned by
// the host's runtime; remains after the end of its process and then ignores calls.
class SimHttpClient : public http::HttpClient {
 public:
  SimHttpClient(WorldCore* core, HostExecutor* host, const runtime::Clock* clock,
                runtime::TimerService* timers)
      : core_(core), host_(host), process_id_(host->process_id()), clock_(clock), timers_(timers) {}

  std::unique_ptr<http::Call> Start(const std::string& endpoint, http::Request request,
                                    http::CallOptions options,
                                    http::CallObserver observer) override;
  // Of `rules` only the excluded connections are observed.
  bool HasPooledConnection(const std::string& endpoint,
                           const http::PooledConnectionRules& rules) const override;
  void Shutdown();

  // TakeIdle and the methods below are called by SimCall. TakeIdle returns an idle pooled
  // connection that is not excluded, or null.
  std::shared_ptr<HttpConnection> TakeIdle(const std::string& endpoint,
                                           const http::PooledConnectionRules& rules);
  std::shared_ptr<HttpConnection> NewConnection(const std::string& endpoint);
  void ReturnToPool(const std::string& endpoint, std::shared_ptr<HttpConnection> connection);
  const runtime::Clock* clock() const { return clock_; }
  runtime::TimerService* timers() const { return timers_; }

 private:
  static constexpr size_t kMaxIdlePerEndpoint = 32;
  static constexpr size_t kMinSweepThreshold = 64;

  WorldCore* const core_;
  HostExecutor* const host_;
  const uint64_t process_id_;
  const runtime::Clock* const clock_;
  runtime::TimerService* const timers_;
  absl::btree_map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle_;
  std::map<uint64_t, std::weak_ptr<HttpConnection>> connections_;  // keyed by connection id
  // Size of connections_ at which expired ones are removed.
  size_t sweep_threshold_ = kMinSweepThreshold;
};

}  // namespace posthatch::simulation
