#include "posthatch/simulation/sim_http_server.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::simulation {
namespace {

// Ports chosen for port 0: the default ephemeral range of Linux.
constexpr int kFirstEphemeralPort = 32768;
constexpr int kLastEphemeralPort = 60999;

class ServerHandle : public http::HttpServer {
 public:
  explicit ServerHandle(std::shared_ptr<SimHttpServer> server) : server_(std::move(server)) {}
  ~ServerHandle() override { server_->Shutdown(); }

  const std::string& endpoint() const override { return server_->endpoint(); }
  void DisableKeepAlive() override {}
  void Drain() override { server_->Drain(); }
  size_t open_connections() const override { return server_->open_connections(); }

 private:
  const std::shared_ptr<SimHttpServer> server_;
};

}  // namespace

SimHttpServer::SimHttpServer(WorldCore* core, HostExecutor* host, runtime::TimerService* timers,
                             const ResponseCopies* response_copies, std::string endpoint,
                             http::ServerLimits limits, http::Handler handler)
    : core_(core),
      host_(host),
      process_id_(host->process_id()),
      timers_(timers),
      response_copies_(response_copies),
      endpoint_(std::move(endpoint)),
      limits_(limits),
      handler_(std::move(handler)) {}

uint64_t SimHttpServer::Accept(const std::shared_ptr<HttpConnection>& connection) {
  if (draining_ || process_id_ != host_->process_id()) return 0;
  const uint64_t id = connection->id();
  const auto server_connection = std::make_shared<SimServerConnection>(this, connection);
  connections_[id] = server_connection;
  connection->OnAccepted(host_, server_connection);
  // A frozen process accepts the connection after its thaw, when it reads the first request.
  if (!host_->frozen()) server_connection->OnAccepted();
  if (connections_.size() > limits_.max_connections) server_connection->Close();
  return process_id_;
}

void SimHttpServer::Handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  // Copied: the handler may destroy the server that owns it.
  const http::Handler handler = handler_;
  if (handler) handler(std::move(request), std::move(writer));
}

void SimHttpServer::Drain() {
  if (draining_) return;
  draining_ = true;
  core_->network.RemoveServer(endpoint_, this);
  const auto connections = connections_;
  for (const auto& [id, connection] : connections) connection->CloseWhenIdle();
}

void SimHttpServer::Shutdown() {
  const auto self = shared_from_this();
  draining_ = true;
  core_->network.RemoveServer(endpoint_, this);
  const auto connections = connections_;
  for (const auto& [id, connection] : connections) connection->Close();
  const http::Handler released = std::move(handler_);
  handler_ = nullptr;
}

std::string SimHttpServerFactory::PickPort(const std::string& endpoint) const {
  const std::string ip = endpoint.substr(0, endpoint.rfind(':'));
  for (int port = kFirstEphemeralPort; port <= kLastEphemeralPort; ++port) {
    std::string candidate = absl::StrCat(ip, ":", port);
    if (core_->network.FindServer(candidate) == nullptr) return candidate;
  }
  return endpoint;
}

absl::StatusOr<std::unique_ptr<http::HttpServer>> SimHttpServerFactory::Listen(
    const std::string& endpoint, http::ServerLimits limits, http::Handler handler) {
  if (process_id_ != host_->process_id())
    return absl::FailedPreconditionError("the process has ended");
  const size_t colon = endpoint.rfind(':');
  if (colon == std::string::npos) return absl::InvalidArgumentError("endpoint without a port");
  const std::string bound = endpoint.substr(colon) == ":0" ? PickPort(endpoint) : endpoint;
  auto server = std::make_shared<SimHttpServer>(core_, host_, timers_, response_copies_, bound,
                                                limits, std::move(handler));
  if (!core_->network.AddServer(bound, host_, server.get())) {
    return absl::AlreadyExistsError(absl::StrCat("address in use: ", bound));
  }
  servers_[bound] = server;
  return std::make_unique<ServerHandle>(std::move(server));
}

void SimHttpServerFactory::Shutdown() {
  std::map<std::string, std::weak_ptr<SimHttpServer>> servers;
  servers.swap(servers_);
  for (const auto& [endpoint, weak] : servers) {
    if (const auto server = weak.lock()) server->Shutdown();
  }
}

}  // namespace posthatch::simulation
