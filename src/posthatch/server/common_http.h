#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "posthatch/http/http.h"
#include "posthatch/server/process.h"
#include "prometheus/registry.h"

namespace posthatch::server {

// Changes to a running process that operators and fleet tests request over HTTP.
class ProcessControls {
 public:
  // `level` as in the setting log_level. Errors: InvalidArgument.
  virtual absl::Status SetLogLevel(std::string_view level) = 0;
  // Whether the process was started with fault injection; otherwise PUT /debug/faults is passed to
  // the process like any other path.
  virtual bool FaultInjectionEnabled() const = 0;
  // Replaces the injected faults; `json` as in ParseFaultRules. Errors: InvalidArgument.
  virtual absl::Status SetFaults(std::string_view json) = 0;

 protected:
  ~ProcessControls() = default;
};

struct CommonHttpOptions {
  Process* process = nullptr;
  prometheus::Registry* metrics = nullptr;
  // Null in the simulator: PUT /admin/v1/log-level and /debug/faults are then passed to the
  // process.
  ProcessControls* controls = nullptr;
  // SHA-256 of the token that the PUT endpoints require (NodeSettings::admin_token_sha256).
  std::string admin_token_sha256;
};

// Serves the endpoints common to all processes (GET /healthz, /readyz, /metrics, PUT
// /admin/v1/log-level and, with fault injection, PUT /debug/faults) and passes other requests to
// Process::HandleHttp. Owned by the process runner; outlives the HTTP servers that use it. Event
// loop thread only.
class CommonHttp {
 public:
  explicit CommonHttp(CommonHttpOptions options);

  // Handler of the HTTP server.
  void Handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  // Handler of a listener for readiness and administration: the common endpoints (not
  // PUT /debug/faults), /admin/v1/..., and readiness at any other path.
  void HandleReadiness(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  // Makes /readyz respond 503 from now on.
  void SetDraining() { draining_ = true; }

 private:
  http::Response Readiness() const;
  http::Response Metrics() const;
  http::Response SetLogLevel(const http::Request& request) const;
  http::Response SetFaults(const http::Request& request) const;
  bool Authorized(const http::Request& request) const;

  const CommonHttpOptions options_;
  bool draining_ = false;
};

// Whether `header`, the value of an Authorization field, is the bearer token whose SHA-256 is
// `token_sha256` (hexadecimal); always true if that is empty. Compares in constant time.
bool IsAuthorized(std::string_view header, std::string_view token_sha256);

// The error body of docs/API.md. `executed` is "no" or "unknown".
http::Response ErrorResponse(int status, std::string_view code, std::string_view message,
                             std::string_view executed);

}  // namespace posthatch::server
