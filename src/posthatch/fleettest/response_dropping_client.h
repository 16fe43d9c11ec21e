#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/runtime/random.h"
#include "posthatch/runtime/timer_service.h"

namespace posthatch::fleettest {

// An HTTP client that drops responses: the request is delivered and executed, and the sender sees a
// broken connection. Implements the fault lost_ack in real and simulated runs.
class ResponseDroppingClient : public http::HttpClient {
 public:
  // `client` and `random` must outlive this object.
  ResponseDroppingClient(http::HttpClient* client, runtime::Random* random)
      : client_(client), random_(random) {}

  // Drops responses from `endpoint` with this probability; 0 stops dropping.
  void SetDropProbability(const std::string& endpoint, double probability);

  std::unique_ptr<http::Call> Start(const std::string& endpoint, http::Request request,
                                    http::CallOptions options,
                                    http::CallObserver observer) override;
  bool HasPooledConnection(const std::string& endpoint,
                           const http::PooledConnectionRules& rules) const override {
    return client_->HasPooledConnection(endpoint, rules);
  }
  uint64_t dropped_responses() const { return dropped_responses_; }

 private:
  http::HttpClient* const client_;
  runtime::Random* const random_;
  std::map<std::string, double> drop_probabilities_;
  uint64_t dropped_responses_ = 0;
};

}  // namespace posthatch::fleettest
