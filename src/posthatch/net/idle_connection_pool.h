#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/net/beast_http_client.h"
#include "posthatch/net/http_client_connection.h"
#include "prometheus/counter.h"
#include "prometheus/gauge.h"

namespace posthatch::net {

// The idle connections of an HTTP client, keyed by endpoint. A connection is pooled for as long as
// its server keeps it open, at most `idle_timeout`. Owned by the client; the destructor closes the
// connections. Event loop thread only.
class IdleConnectionPool final : public HttpConnectionPool {
 public:
  // `idle_connections` is the gauge of pooled connections, `surplus_responses` counts the
  // connections whose server sent bytes that no request asked for; both outlive the pool.
  IdleConnectionPool(const HttpClientOptions& options, prometheus::Gauge* idle_connections,
                     prometheus::Counter* surplus_responses)
      : options_(options),
        idle_connections_(idle_connections),
        surplus_responses_(surplus_responses) {}
  ~IdleConnectionPool();
  IdleConnectionPool(const IdleConnectionPool&) = delete;
  IdleConnectionPool& operator=(const IdleConnectionPool&) = delete;

  // Removes and returns the most recently used connection to `endpoint` that `rules` allow, so that
  // surplus ones reach their idle timeout. Null if there is none.
  std::shared_ptr<HttpClientConnection> Take(const std::string& endpoint,
                                             const http::PooledConnectionRules& rules);
  // Whether Take would return a connection.
  bool Has(const std::string& endpoint, const http::PooledConnectionRules& rules) const;

  bool ReturnToPool(const std::shared_ptr<HttpClientConnection>& connection) override;
  void OnConnectionClosed(HttpClientConnection* connection) override;
  void OnSurplusBytes() override { surplus_responses_->Increment(); }

 private:
  using Connections = std::vector<std::shared_ptr<HttpClientConnection>>;

  // Position in `connections` of the one that Take would return; nullopt if there is none.
  static std::optional<size_t> Find(const Connections& connections,
                                    const http::PooledConnectionRules& rules);

  const HttpClientOptions options_;
  prometheus::Gauge* const idle_connections_;
  prometheus::Counter* const surplus_responses_;
  absl::flat_hash_map<std::string, Connections> connections_;
};

}  // namespace posthatch::net
