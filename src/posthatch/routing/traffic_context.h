#pragma once

#include <memory>

#include "posthatch/gateway/fleet_lookup.h"
#include "posthatch/http/http.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/invalidation/object_trust.h"
#include "posthatch/routing/call_format.h"
#include "posthatch/routing/in_flight_prefills.h"
#include "posthatch/routing/load_reporter.h"
#include "posthatch/routing/placer.h"
#include "posthatch/routing/prefix_stores.h"
#include "posthatch/routing/retry_budget.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/routing/traffic_metrics.h"
#include "posthatch/routing/worker_pool.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

class TrafficRequest;

// Interface from a request to its owner. Event loop thread only.
class TrafficRequestOwner {
 public:
  virtual ~TrafficRequestOwner() = default;
  // Removes an ended request from the set of running ones. The request is destroyed in a later turn
  // of the event loop, not from within its own call.
  virtual void Retire(TrafficRequest* request) = 0;
  // Destroys a call in a later turn of the event loop, not from within one of its callbacks.
  virtual void DestroyLater(std::unique_ptr<http::Call> call) = 0;
};

// Dependencies of the running requests. Owned by TrafficGateway and outlives every request.
struct TrafficContext {
  runtime::Runtime* runtime = nullptr;
  const CallFormat* format = nullptr;
  RoutingSwitches switches;
  WorkerPool* pool = nullptr;
  Placer* placer = nullptr;
  PrefixStores* stores = nullptr;
  // Null: prefills are neither announced nor looked up (RoutingSwitches::announcements).
  InFlightPrefills* in_flight_prefills = nullptr;
  LoadReporter* load_reporter = nullptr;
  RetryBudget* retry_budget = nullptr;
  TrafficMetrics* metrics = nullptr;
  const gateway::FleetLookup* lookup = nullptr;
  index::PrefixLocator* locator = nullptr;
  const invalidation::ObjectTrust* trust = nullptr;
  TrafficRequestOwner* owner = nullptr;
};

}  // namespace posthatch::routing
