#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/http/http.h"

namespace posthatch::server {

// One posthatch process (gateway or controller) as main.cc drives it: assembled from a
// `runtime::Runtime`, which outlives it, and checked settings. The constructor does nothing that
// can fail. Destroying the process stops it at once. All calls are on the event loop thread.
class Process {
 public:
  virtual ~Process() = default;

  // Reads the data folder, joins the fleet and starts the process's own work. Called once, before
  // the event loop runs; on an error nothing is left running and the program ends.
  virtual absl::Status Start() = 0;

  // Whether the process can serve: what `GET /readyz` answers. Must be cheap.
  virtual bool Ready() const = 0;

  // Stops taking new work, lets running work end, leaves the fleet, and then runs `done` (once,
  // also from within this call). Whoever calls it bounds the wait by `drain_deadline`.
  virtual void Drain(std::function<void()> done) = 0;

  // The seeds have moved: internal endpoints of up to three processes.
  virtual void OnSeedsChanged(const std::vector<std::string>& /*seeds*/) {}

  // Answers a request that is none of the common endpoints (see common_http.h), which are
  // answered before it. Goes on being called while draining.
  virtual void HandleHttp(http::Request request, std::shared_ptr<http::ResponseWriter> writer) = 0;

  // Answers an operator's request under /admin/v1/ at the listener for readiness, where the process
  // has one; HandleHttp takes callers' requests only then.
  virtual void HandleAdmin(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
    HandleHttp(std::move(request), std::move(writer));
  }
};

}  // namespace posthatch::server
