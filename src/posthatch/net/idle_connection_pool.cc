#include "posthatch/net/idle_connection_pool.h"

#include <algorithm>
#include <utility>

namespace posthatch::net {

IdleConnectionPool::~IdleConnectionPool() {
  for (auto& [endpoint, connections] : connections_) {
    for (const auto& connection : connections) connection->CloseIdle();
  }
}

bool IdleConnectionPool::Has(const std::string& endpoint, double max_idle_fraction) const {
  const auto found = connections_.find(endpoint);
  return found != connections_.end() && !found->second.empty() &&
         found->second.back()->IdleWithin(max_idle_fraction, BootNow());
}

std::shared_ptr<HttpClientConnection> IdleConnectionPool::Take(const std::string& endpoint,
                                                               double max_idle_fraction) {
  if (!Has(endpoint, max_idle_fraction)) return nullptr;
  const auto found = connections_.find(endpoint);
  std::shared_ptr<HttpClientConnection> connection = std::move(found->second.back());
  found->second.pop_back();
  if (found->second.empty()) connections_.erase(found);
  idle_connections_->Decrement();
  return connection;
}

bool IdleConnectionPool::ReturnToPool(const std::shared_ptr<HttpClientConnection>& connection) {
  auto& connections = connections_[connection->endpoint()];
  if (connections.size() >= options_.max_idle_per_endpoint) return false;
  const runtime::Duration advertised = connection->keep_alive_timeout();
  const runtime::Duration idle_lifetime =
      advertised > runtime::Duration::zero() ? advertised : options_.default_keep_alive_timeout;
  connection->MarkIdle(BootNow(), idle_lifetime);
  connection->SetIdleDeadline(std::min(options_.idle_timeout, idle_lifetime));
  connections.push_back(connection);
  idle_connections_->Increment();
  return true;
}

void IdleConnectionPool::OnConnectionClosed(HttpClientConnection* connection) {
  const auto found = connections_.find(connection->endpoint());
  if (found == connections_.end()) return;
  auto& connections = found->second;
  const auto entry =
      std::find_if(connections.begin(), connections.end(),
                   [connection](const auto& pooled) { return pooled.get() == connection; });
  if (entry == connections.end()) return;
  idle_connections_->Decrement();
  connections.erase(entry);
  if (connections.empty()) connections_.erase(found);
}

}  // namespace posthatch::net
