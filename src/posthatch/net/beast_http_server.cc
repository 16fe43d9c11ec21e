#include "posthatch/net/beast_http_server.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/net/endpoint.h"
#include "posthatch/net/http_server_connection.h"
#include "posthatch/net/tcp_listener.h"
#include "prometheus/counter.h"
#include "prometheus/gauge.h"

namespace posthatch::net {
namespace {

// Metric families of all servers of one process.
struct ServerMetrics {
  explicit ServerMetrics(prometheus::Registry* registry)
      : responses(
            prometheus::BuildCounter()
                .Name("posthatch_http_server_answers_total")
                .Help("Responses ended, by first digit of the status; 0: aborted by the server")
                .Register(*registry)),
        connections(prometheus::BuildGauge()
                        .Name("posthatch_http_server_connections")
                        .Help("Open client connections")
                        .Register(*registry)
                        .Add({})),
        refused_connections(
            prometheus::BuildCounter()
                .Name("posthatch_http_server_refused_connections_total")
                .Help("Connections closed on accept because max_connections were open")
                .Register(*registry)
                .Add({})) {
    for (int digit = 0; digit < 6; ++digit) {
      by_status_class.push_back(&responses.Add({{"status", std::to_string(digit)}}));
    }
  }

  prometheus::Family<prometheus::Counter>& responses;
  std::vector<prometheus::Counter*> by_status_class;
  prometheus::Gauge& connections;
  prometheus::Counter& refused_connections;
};

class BeastHttpServer : public http::HttpServer, private HttpConnectionOwner {
 public:
  BeastHttpServer(IoEnvironment* environment, const http::ServerLimits& limits,
                  http::Handler handler, ServerMetrics* metrics, uint64_t* last_connection_id)
      : metrics_(metrics),
        last_connection_id_(last_connection_id),
        context_(std::make_shared<HttpServerContext>()),
        listener_(environment) {
    context_->environment = environment;
    context_->limits = limits;
    context_->handler = std::make_shared<const http::Handler>(std::move(handler));
    context_->owner = this;
  }

  ~BeastHttpServer() override {
    context_->owner = nullptr;
    listener_.Close();
    const auto connections = std::move(connections_);
    for (const auto& [key, connection] : connections) connection->Close();
    metrics_->connections.Decrement(static_cast<double>(connections.size()));
  }

  absl::Status Listen(const TcpEndpoint& endpoint) {
    absl::Status status =
        listener_.Listen(endpoint, [this](TcpSocket socket, std::string remote_endpoint) {
          Accept(std::move(socket), std::move(remote_endpoint));
        });
    if (status.ok()) endpoint_ = FormatEndpoint(listener_.endpoint());
    return status;
  }

  const std::string& endpoint() const override { return endpoint_; }
  size_t open_connections() const override { return connections_.size(); }

  void DisableKeepAlive() override { context_->draining = true; }

  void Drain() override {
    context_->draining = true;
    listener_.Close();
    std::vector<std::shared_ptr<HttpServerConnection>> connections;
    for (const auto& [key, connection] : connections_) connections.push_back(connection);
    for (const auto& connection : connections) connection->Drain();
  }

 private:
  void Accept(TcpSocket socket, std::string remote_endpoint) {
    if (connections_.size() >= context_->limits.max_connections) {
      metrics_->refused_connections.Increment();
      return;  // destroying `socket` closes it
    }
    const auto connection = std::make_shared<HttpServerConnection>(
        context_, std::move(socket), std::move(remote_endpoint), ++*last_connection_id_);
    connections_.emplace(connection.get(), connection);
    metrics_->connections.Increment();
    connection->Start();
  }

  void OnConnectionClosed(HttpServerConnection* connection) override {
    if (connections_.erase(connection) > 0) metrics_->connections.Decrement();
  }

  void OnResponseEnded(int status) override {
    metrics_->by_status_class[static_cast<size_t>(status / 100)]->Increment();
  }

  ServerMetrics* const metrics_;
  uint64_t* const last_connection_id_;
  const std::shared_ptr<HttpServerContext> context_;
  TcpListener listener_;
  std::string endpoint_;
  absl::flat_hash_map<HttpServerConnection*, std::shared_ptr<HttpServerConnection>> connections_;
};

class BeastHttpServerFactory : public http::HttpServerFactory {
 public:
  BeastHttpServerFactory(IoEnvironment* environment, prometheus::Registry* metrics)
      : environment_(environment), metrics_(metrics) {}

  absl::StatusOr<std::unique_ptr<http::HttpServer>> Listen(const std::string& endpoint,
                                                           http::ServerLimits limits,
                                                           http::Handler handler) override {
    const auto address = ParseEndpoint(endpoint);
    if (!address.ok()) return address.status();
    auto server = std::make_unique<BeastHttpServer>(environment_, limits, std::move(handler),
                                                    &metrics_, &last_connection_id_);
    absl::Status status = server->Listen(*address);
    if (!status.ok()) return status;
    return server;
  }

 private:
  IoEnvironment* const environment_;
  ServerMetrics metrics_;
  uint64_t last_connection_id_ = 0;
};

}  // namespace

std::unique_ptr<http::HttpServerFactory> MakeBeastHttpServerFactory(IoEnvironment* environment,
                                                                    prometheus::Registry* metrics) {
  return std::make_unique<BeastHttpServerFactory>(environment, metrics);
}

}  // namespace posthatch::net
