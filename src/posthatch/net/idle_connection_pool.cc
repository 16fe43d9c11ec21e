#include "posthatch/net/idle_connection_pool.h"

#include <algorithm>
#include <utility>

namespace posthatch::net {

IdleConnectionPool::~IdleConnectionPool() {
  for (auto& [endpoint, connections] : connections_) {
    for (const auto& connection : connections) connection->CloseIdle();
  }
}

std::optional<size_t> IdleConnectionPool::Find(const Connections& connections,
                                               const http::PooledConnectionRules& rules) {
  const runtime::MonotonicTime now = BootNow();
  for (size_t i = connections.size(); i > 0; --i) {
    const HttpClientConnection& connection = *connections[i - 1];
    // Those before it have been idle for longer.
    if (!connection.IdleWithin(rules.max_idle_fraction, now)) return std::nullopt;
    const bool excluded = std::find(rules.excluded.begin(), rules.excluded.end(),
                                    connection.id()) != rules.excluded.end();
    if (!excluded) return i - 1;
  }
  return std::nullopt;
}

bool IdleConnectionPool::Has(const std::string& endpoint,
                             const http::PooledConnectionRules& rules) const {
  const auto found = connections_.find(endpoint);
  return found != connections_.end() && Find(found->second, rules).has_value();
}

std::shared_ptr<HttpClientConnection> IdleConnectionPool::Take(
    const std::string& endpoint, const http::PooledConnectionRules& rules) {
  const auto found = connections_.find(endpoint);
  if (found == connections_.end()) return nullptr;
  const std::optional<size_t> position = Find(found->second, rules);
  if (!position.has_value()) return nullptr;
  const auto entry = found->second.begin() + static_cast<ptrdiff_t>(*position);
  std::shared_ptr<HttpClientConnection> connection = std::move(*entry);
  found->second.erase(entry);
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
