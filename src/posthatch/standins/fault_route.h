#pragma once

#include <memory>
#include <string>

#include "posthatch/asio/asio_runtime.h"
#include "posthatch/http/http.h"

namespace posthatch::standins {

// Servers that also answer PUT /debug/faults (asio/fault_injection.h), before the stand-in's own
// routes, if the process was started with --enable-fault-injection. Event loop thread only.
class FaultRoute : public http::HttpServerFactory {
 public:
  explicit FaultRoute(asio::AsioRuntime* asio_runtime) : asio_runtime_(asio_runtime) {}

  absl::StatusOr<std::unique_ptr<http::HttpServer>> Listen(const std::string& endpoint,
                                                           http::ServerLimits limits,
                                                           http::Handler handler) override;

 private:
  void SetFaults(const http::Request& request, http::ResponseWriter* writer);

  asio::AsioRuntime* const asio_runtime_;
};

}  // namespace posthatch::standins
