#pragma once

#include <memory>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/net/asio_runtime.h"

namespace posthatch::emulator {

// Creates servers that also handle PUT /debug/faults (net/fault_injection.h), ahead of the
// emulator's routes, if the process was started with --enable-fault-injection. Event loop thread
// only.
class FaultRoute : public http::HttpServerFactory {
 public:
  explicit FaultRoute(net::AsioRuntime* asio_runtime) : asio_runtime_(asio_runtime) {}

  absl::StatusOr<std::unique_ptr<http::HttpServer>> Listen(const std::string& endpoint,
                                                           http::ServerLimits limits,
                                                           http::Handler handler) override;

 private:
  void SetFaults(const http::Request& request, http::ResponseWriter* writer);

  net::AsioRuntime* const asio_runtime_;
};

}  // namespace posthatch::emulator
