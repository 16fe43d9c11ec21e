#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/simulation/http_connection.h"
#include "posthatch/simulation/sim_server_connection.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::simulation {

// One listening endpoint of one process of a host. Owned by the handle that Listen returned; the
// factory refers to it weakly. Either closes it.
class SimHttpServer : public std::enable_shared_from_this<SimHttpServer> {
 public:
  SimHttpServer(WorldCore* core, HostExecutor* host, runtime::TimerService* timers,
                const ResponseCopies* response_copies, std::string endpoint,
                http::ServerLimits limits, http::Handler handler);

  // Accepts like the kernel, also while the process is frozen. Returns the id of the accepting
  // process, or 0 to refuse.
  uint64_t Accept(const std::shared_ptr<HttpConnection>& connection);
  void Drain();
  // Closes all connections and stops listening; idempotent.
  void Shutdown();
  const std::string& endpoint() const { return endpoint_; }
  size_t open_connections() const { return connections_.size(); }

  // Handle and the methods below are called by SimServerConnection.
  void Handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  void Remove(uint64_t connection_id) { connections_.erase(connection_id); }
  const http::ServerLimits& limits() const { return limits_; }
  const ResponseCopies& response_copies() const { return *response_copies_; }
  bool draining() const { return draining_; }
  runtime::TimerService* timers() const { return timers_; }
  WorldCore* core() const { return core_; }

 private:
  WorldCore* const core_;
  HostExecutor* const host_;
  const uint64_t process_id_;
  runtime::TimerService* const timers_;
  const ResponseCopies* const response_copies_;
  const std::string endpoint_;
  const http::ServerLimits limits_;
  http::Handler handler_;
  bool draining_ = false;
  std::map<uint64_t, std::shared_ptr<SimServerConnection>> connections_;
};

// Creates the HTTP servers of one process of a host. Owned by the host's runtime; remains after the
// end of its process, and Listen then fails.
class SimHttpServerFactory : public http::HttpServerFactory {
 public:
  SimHttpServerFactory(WorldCore* core, HostExecutor* host, runtime::TimerService* timers,
                       const ResponseCopies* response_copies)
      : core_(core),
        host_(host),
        process_id_(host->process_id()),
        timers_(timers),
        response_copies_(response_copies) {}

  // Errors: AlreadyExists if the endpoint is in use, InvalidArgument without a port. Port 0 picks a
  // free one.
  absl::StatusOr<std::unique_ptr<http::HttpServer>> Listen(const std::string& endpoint,
                                                           http::ServerLimits limits,
                                                           http::Handler handler) override;
  void Shutdown();

 private:
  std::string PickPort(const std::string& endpoint) const;

  WorldCore* const core_;
  HostExecutor* const host_;
  const uint64_t process_id_;
  runtime::TimerService* const timers_;
  const ResponseCopies* const response_copies_;
  std::map<std::string, std::weak_ptr<SimHttpServer>> servers_;
};

}  // namespace posthatch::simulation
