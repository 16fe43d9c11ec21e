#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/runtime/random.h"
#include "posthatch/runtime/timer_service.h"

namespace posthatch::fleettest {

// An HTTP client that loses answers on the way: the request arrives and is carried out, and its
// sender sees a connection that broke. For the fault lost_ack, alike in real and simulated runs.
class ResponseDroppingClient : public http::HttpClient {
 public:
  // All outlive the client.
  ResponseDroppingClient(http::HttpClient* client, runtime::Random* random)
      : client_(client), random_(random) {}

  // Answers from `endpoint` are lost with this chance; 0 ends it.
  void SetDropProbability(const std::string& endpoint, double probability);

  std::unique_ptr<http::Call> Start(const std::string& endpoint, http::Request request,
                                    http::CallOptions options,
                                    http::CallObserver observer) override;
  bool HasPooledConnection(const std::string& endpoint, double share) const override {
    return client_->HasPooledConnection(endpoint, share);
  }
  uint64_t dropped_responses() const { return dropped_responses_; }

 private:
  http::HttpClient* const client_;
  runtime::Random* const random_;
  std::map<std::string, double> loss_by_endpoint_;
  uint64_t dropped_responses_ = 0;
};

}  // namespace posthatch::fleettest
