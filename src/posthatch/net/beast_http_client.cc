#include "posthatch/net/beast_http_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/net/endpoint.h"
#include "posthatch/net/http_client_connection.h"
#include "prometheus/counter.h"
#include "prometheus/gauge.h"

namespace posthatch::net {
namespace {

class BeastHttpClient;

// Handle of a running call.
class BeastCall : public http::Call {
 public:
  explicit BeastCall(std::shared_ptr<HttpClientConnection> connection, uint64_t call)
      : connection_(std::move(connection)), call_(call) {}
  ~BeastCall() override {
    if (Running()) connection_->Cancel();
  }
  void StopReading() override {
    if (Running()) connection_->StopReading();
  }
  void ResumeReading() override {
    if (Running()) connection_->ResumeReading();
  }

 private:
  bool Running() const { return connection_->running_call() == call_; }

  const std::shared_ptr<HttpClientConnection> connection_;
  const uint64_t call_;
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

class BeastHttpClient : public http::HttpClient, public HttpConnectionPool {
 public:
  BeastHttpClient(IoEnvironment* environment, const HttpClientOptions& options,
                  prometheus::Registry* metrics)
      : environment_(environment),
        options_(options),
        calls_(prometheus::BuildCounter()
                   .Name("posthatch_http_client_calls_total")
                   .Help("HTTP calls started, by whether they went out on a new or kept connection")
                   .Register(*metrics)),
        calls_new_(calls_.Add({{"connection", "new"}})),
        calls_pooled_(calls_.Add({{"connection", "kept"}})),
        idle_(prometheus::BuildGauge()
                  .Name("posthatch_http_client_idle_connections")
                  .Help("Kept connections that wait for a call")
                  .Register(*metrics)
                  .Add({})) {}

  ~BeastHttpClient() override {
    for (auto& [endpoint, connections] : pools_) {
      for (const auto& connection : connections) connection->CloseIdle();
    }
  }

  std::unique_ptr<http::Call> Start(const std::string& endpoint, http::Request request,
                                    http::CallOptions options,
                                    http::CallObserver observer) override {
    auto address = ParseEndpoint(endpoint);
    absl::Status status = address.status();
    if (status.ok()) status = CheckRequest(request);
    std::shared_ptr<HttpClientConnection> connection;
    if (status.ok() && !options.fresh_connection) {
      connection = TakeIdle(endpoint, options.max_idle_fraction);
    }
    (connection == nullptr ? calls_new_ : calls_pooled_).Increment();
    if (connection == nullptr) {
      connection = std::make_shared<HttpClientConnection>(environment_, endpoint, this);
    }
    const uint64_t call = ++last_call_;
    if (status.ok()) {
      connection->Begin(call, *address, request, options, std::move(observer));
    } else {
      connection->FailUnsent(call, std::move(status), std::move(observer));
    }
    return std::make_unique<BeastCall>(std::move(connection), call);
  }

  bool HasPooledConnection(const std::string& endpoint, double share) const override {
    const auto pool = pools_.find(endpoint);
    return pool != pools_.end() && !pool->second.empty() &&
           pool->second.back()->IdleWithin(share, BootNow());
  }

  bool ReturnToPool(const std::shared_ptr<HttpClientConnection>& connection) override {
    auto& connections = pools_[connection->endpoint()];
    if (connections.size() >= options_.max_idle_per_endpoint) return false;
    const runtime::Duration keep_alive_timeout = connection->keep_alive_timeout();
    const runtime::Duration idle_lifetime = keep_alive_timeout > runtime::Duration::zero()
                                                ? keep_alive_timeout
                                                : options_.default_keep_alive_timeout;
    connection->MarkIdle(BootNow(), idle_lifetime);
    connection->SetIdleDeadline(std::min(options_.idle_timeout, idle_lifetime));
    connections.push_back(connection);
    idle_.Increment();
    return true;
  }

  void Forget(HttpClientConnection* connection) override {
    const auto pool = pools_.find(connection->endpoint());
    if (pool == pools_.end()) return;
    auto& connections = pool->second;
    const auto found =
        std::find_if(connections.begin(), connections.end(),
                     [connection](const auto& pooled) { return pooled.get() == connection; });
    if (found == connections.end()) return;
    idle_.Decrement();
    connections.erase(found);
    if (connections.empty()) pools_.erase(pool);
  }

 private:
  // The connection used last, so that superfluous ones run into their idle timeout.
  std::shared_ptr<HttpClientConnection> TakeIdle(const std::string& endpoint, double share) {
    const auto pool = pools_.find(endpoint);
    if (pool == pools_.end() || pool->second.empty()) return nullptr;
    // The others have been idle for longer.
    if (!pool->second.back()->IdleWithin(share, BootNow())) return nullptr;
    std::shared_ptr<HttpClientConnection> connection = std::move(pool->second.back());
    pool->second.pop_back();
    if (pool->second.empty()) pools_.erase(pool);
    idle_.Decrement();
    return connection;
  }

  IoEnvironment* const environment_;
  const HttpClientOptions options_;
  prometheus::Family<prometheus::Counter>& calls_;
  prometheus::Counter& calls_new_;
  prometheus::Counter& calls_pooled_;
  prometheus::Gauge& idle_;
  uint64_t last_call_ = 0;
  absl::flat_hash_map<std::string, std::vector<std::shared_ptr<HttpClientConnection>>> pools_;
};

}  // namespace

std::unique_ptr<http::HttpClient> MakeBeastHttpClient(IoEnvironment* environment,
                                                      const HttpClientOptions& options,
                                                      prometheus::Registry* metrics) {
  return std::make_unique<BeastHttpClient>(environment, options, metrics);
}

}  // namespace posthatch::net
