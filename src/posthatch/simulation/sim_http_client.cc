#include "posthatch/simulation/sim_http_client.h"

#include <algorithm>
#include <utility>

#include "posthatch/simulation/sim_call.h"

namespace posthatch::simulation {
namespace {

class CallHandle : public http::Call {
 public:
  explicit CallHandle(std::shared_ptr<SimCall> call) : call_(std::move(call)) {}
  ~CallHandle() override {
    if (call_ != nullptr) call_->Cancel();
  }
  void StopReading() override {
    if (call_ != nullptr) call_->StopReading();
  }
  void ResumeReading() override {
    if (call_ != nullptr) call_->ResumeReading();
  }
  bool SkipResponse() override { return call_ != nullptr && call_->SkipResponse(); }
  http::ConnectionUse connection_use() const override {
    return call_ == nullptr ? http::ConnectionUse() : call_->connection_use();
  }

 private:
  const std::shared_ptr<SimCall> call_;  // null if the client's process had ended
};

bool IsExcluded(const http::PooledConnectionRules& rules, const HttpConnection& connection) {
  return std::find(rules.excluded.begin(), rules.excluded.end(), connection.id()) !=
         rules.excluded.end();
}

}  // namespace

std::unique_ptr<http::Call> SimHttpClient::Start(const std::string& endpoint, http::Request request,
                                                 http::CallOptions options,
                                                 http::CallObserver observer) {
  if (process_id_ != host_->process_id()) return std::make_unique<CallHandle>(nullptr);
  auto call =
      std::make_shared<SimCall>(this, endpoint, std::move(request), options, std::move(observer));
  call->Begin();
  return std::make_unique<CallHandle>(std::move(call));
}

bool SimHttpClient::HasPooledConnection(const std::string& endpoint,
                                        const http::PooledConnectionRules& rules) const {
  const auto idle = idle_.find(endpoint);
  return idle != idle_.end() &&
         std::any_of(idle->second.begin(), idle->second.end(), [&rules](const auto& connection) {
           return connection->client_open() && !IsExcluded(rules, *connection);
         });
}

std::shared_ptr<HttpConnection> SimHttpClient::TakeIdle(const std::string& endpoint,
                                                        const http::PooledConnectionRules& rules) {
  std::vector<std::shared_ptr<HttpConnection>>& idle = idle_[endpoint];
  for (size_t i = idle.size(); i > 0; --i) {
    std::shared_ptr<HttpConnection> connection = idle[i - 1];
    if (connection->client_open() && IsExcluded(rules, *connection)) continue;
    idle.erase(idle.begin() + static_cast<ptrdiff_t>(i - 1));
    if (connection->client_open()) return connection;
    connections_.erase(connection->id());
  }
  return nullptr;
}

std::shared_ptr<HttpConnection> SimHttpClient::NewConnection(const std::string& endpoint) {
  auto connection = std::make_shared<HttpConnection>(core_, host_, endpoint);
  if (connections_.size() >= sweep_threshold_) {
    std::erase_if(connections_, [](const auto& entry) { return entry.second.expired(); });
    sweep_threshold_ = std::max(kMinSweepThreshold, connections_.size() * 2);
  }
  connections_[connection->id()] = connection;
  return connection;
}

void SimHttpClient::ReturnToPool(const std::string& endpoint,
                                 std::shared_ptr<HttpConnection> connection) {
  if (process_id_ != host_->process_id()) return;
  std::vector<std::shared_ptr<HttpConnection>>& idle = idle_[endpoint];
  if (idle.size() >= kMaxIdlePerEndpoint) {
    connection->CloseClient();
    return;
  }
  idle.push_back(std::move(connection));
}

void SimHttpClient::Shutdown() {
  absl::btree_map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle;
  idle.swap(idle_);
  std::map<uint64_t, std::weak_ptr<HttpConnection>> connections;
  connections.swap(connections_);
  for (const auto& [id, weak] : connections) {
    if (const auto connection = weak.lock()) connection->CloseClient();
  }
}

}  // namespace posthatch::simulation
