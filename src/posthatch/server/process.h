#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/http/http.h"

namespace posthatch::server {

// One posthatch process (gateway or controller) as the process runner drives it: built from a
// `runtime::Runtime`, which outlives it, and validated settings. The constructor does nothing that
// can fail. Destroying the process stops it immediately. All calls are on the event loop thread.
class Process {
 public:
  virtual ~Process() = default;

  // Reads the data folder, joins the fleet and starts the process's work. Called once, before the
  // event loop runs; after an error nothing is running and the program ends.
  virtual absl::Status Start() = 0;

  // Whether the process can serve, as `GET /readyz` reports. Must be cheap.
  virtual bool Ready() const = 0;

  // Stops accepting work, waits for work in progress, leaves the fleet, and then runs `done` (once,
  // possibly within this call). The caller limits the wait to `drain_deadline`.
  virtual void Drain(std::function<void()> done) = 0;

  // Called when the settings file has new seeds: internal endpoints of up to three processes.
  virtual void OnSeedsChanged(const std::vector<std::string>& /*seeds*/) {}

  // Handles a request that is not for a common endpoint (common_http.h). Also called while
  // draining.
  virtual void HandleHttp(http::Request request, std::shared_ptr<http::ResponseWriter> writer) = 0;

  // Handles an operator's request under /admin/v1/ from the readiness listener. In a process that
  // has this listener, HandleHttp receives only callers' requests.
  virtual void HandleAdmin(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
    HandleHttp(std::move(request), std::move(writer));
  }
};

}  // namespace posthatch::server
