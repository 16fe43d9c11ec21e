#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/http/http.h"
#include "posthatch/routing/call_format.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// A caller's call that was admitted: its route, its tenant and the service that is to run it.
struct AdmittedCall {
  http::Request request;
  std::shared_ptr<http::ResponseWriter> writer;
  InboundCall call;
  control::TrafficRoute route;
  control::TrafficService service;
  std::string tenant;     // empty on public routes
  uint32_t priority = 0;  // 0 is the highest
  runtime::MonotonicTime received_at;

  // A prompt for a language model: placed by prefix cache, and announced to the other gateways.
  bool IsPrompt() const { return service.has_engine() && !call.model.empty(); }
};

}  // namespace posthatch::routing
