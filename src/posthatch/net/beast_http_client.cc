#include "posthatch/net/beast_http_client.h"

#include <algorithm>
#include <utility>

#include "posthatch/net/endpoint.h"
#include "posthatch/net/http_client_connection.h"
#include "posthatch/net/idle_connection_pool.h"
#include "prometheus/counter.h"
#include "prometheus/gauge.h"

namespace posthatch::net {
namespace {

// Handle of a running call.
class BeastCall : public http::Call {
 public:
  BeastCall(std::shared_ptr<HttpClientConnection> connection, uint64_t call)
      : connection_(std::move(connection)),
        call_(call),
        use_{connection_->id(), connection_->calls_begun()} {}
  ~BeastCall() override {
    if (Running()) connection_->Cancel();
  }
  void StopReading() override {
    if (Running()) connection_->StopReading();
  }
  void ResumeReading() override {
    if (Running()) connection_->ResumeReading();
  }
  bool SkipResponse() override { return Running() && connection_->SkipResponse(); }
  http::ConnectionUse connection_use() const override { return use_; }

 private:
  bool Running() const { return connection_->running_call() == call_; }

  const std::shared_ptr<HttpClientConnection> connection_;
  const uint64_t call_;
  const http::ConnectionUse use_;
};

absl::Status CheckRequest(const http::Request& request) {
  const bool valid_target =
      !request.target.empty() && std::all_of(request.target.begin(), request.target.end(),
                                             [](char c) { return c > ' ' && c != 0x7f; });
  const bool valid_method =
      !request.method.empty() && std::all_of(request.method.begin(), request.method.end(),
                                             [](char c) { return c >= 'A' && c <= 'Z'; });
  if (!valid_target || !valid_method) {
    return absl::InvalidArgumentError("malformed method or target");
  }
  return CheckHeaders(request.headers);
}

class BeastHttpClient : public http::HttpClient {
 public:
  BeastHttpClient(IoEnvironment* environment, const HttpClientOptions& options,
                  prometheus::Registry* metrics)
      : environment_(environment),
        calls_(
            prometheus::BuildCounter()
                .Name("posthatch_http_client_calls_total")
                .Help("HTTP calls started, by whether they use a new or a pooled (kept) connection")
                .Register(*metrics)),
        calls_new_(calls_.Add({{"connection", "new"}})),
        calls_pooled_(calls_.Add({{"connection", "kept"}})),
        idle_connections_(prometheus::BuildGauge()
                              .Name("posthatch_http_client_idle_connections")
                              .Help("Idle connections in the pool")
                              .Register(*metrics)
                              .Add({})),
        surplus_responses_(
            prometheus::BuildCounter()
                .Name("posthatch_http_client_surplus_responses_total")
                .Help("Times that a server sent what no call had asked for, such as a response for "
                      "the second time")
                .Register(*metrics)
                .Add({})),
        pool_(options, &idle_connections_, &surplus_responses_) {}

  std::unique_ptr<http::Call> Start(const std::string& endpoint, http::Request request,
                                    http::CallOptions options,
                                    http::CallObserver observer) override {
    auto address = ParseEndpoint(endpoint);
    absl::Status status = address.status();
    if (status.ok()) status = CheckRequest(request);
    std::shared_ptr<HttpClientConnection> connection;
    if (status.ok() && !options.fresh_connection) {
      connection = pool_.Take(endpoint, options.pooled_connections);
    }
    (connection == nullptr ? calls_new_ : calls_pooled_).Increment();
    if (connection == nullptr) {
      connection = std::make_shared<HttpClientConnection>(environment_, ++last_connection_,
                                                          endpoint, &pool_);
    }
    const uint64_t call = ++last_call_;
    if (status.ok()) {
      connection->Begin(call, *address, request, options, std::move(observer));
    } else {
      connection->FailUnsent(call, std::move(status), std::move(observer));
    }
    return std::make_unique<BeastCall>(std::move(connection), call);
  }

  bool HasPooledConnection(const std::string& endpoint,
                           const http::PooledConnectionRules& rules) const override {
    return pool_.Has(endpoint, rules);
  }

 private:
  IoEnvironment* const environment_;
  prometheus::Family<prometheus::Counter>& calls_;
  prometheus::Counter& calls_new_;
  prometheus::Counter& calls_pooled_;
  prometheus::Gauge& idle_connections_;
  prometheus::Counter& surplus_responses_;
  uint64_t last_call_ = 0;
  uint64_t last_connection_ = 0;
  IdleConnectionPool pool_;
};

}  // namespace

std::unique_ptr<http::HttpClient> MakeBeastHttpClient(IoEnvironment* environment,
                                                      const HttpClientOptions& options,
                                                      prometheus::Registry* metrics) {
  return std::make_unique<BeastHttpClient>(environment, options, metrics);
}

}  // namespace posthatch::net
