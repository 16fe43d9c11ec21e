#pragma once

#include <functional>
#include <memory>
#include <string>

#include "posthatch/gateway/fleet_lookup.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/invalidation/object_trust.h"
#include "posthatch/routing/call_format.h"
#include "posthatch/routing/in_flight_prefills.h"
#include "posthatch/routing/placer.h"
#include "posthatch/routing/prefix_stores.h"
#include "posthatch/routing/retry_budget.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/routing/traffic_metrics.h"
#include "posthatch/routing/worker_pool.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

class TrafficRequest;

// What requests in progress work with. Owned by TrafficGateway and outlives every request.
struct TrafficContext {
  runtime::Runtime* runtime = nullptr;
  const CallFormat* format = nullptr;
  RoutingSwitches switches;
  WorkerPool* pool = nullptr;
  Placer* placer = nullptr;
  PrefixStores* stores = nullptr;
  // Null: nothing is told of prompts that are being read.
  InFlightPrefills* in_flight_prefills = nullptr;
  LoadReporter* load_reporter = nullptr;
  RetryBudget* retry_budget = nullptr;
  TrafficMetrics* metrics = nullptr;
  const gateway::FleetLookup* lookup = nullptr;
  index::PrefixLocator* locator = nullptr;
  const invalidation::ObjectTrust* trust = nullptr;
  // Takes an ended request out of the set of running ones, not from within its own call.
  std::function<void(TrafficRequest*)> retire;
  // Destroys a call later, not from within one of its callbacks.
  std::function<void(std::unique_ptr<http::Call>)> destroy_later;
};

}  // namespace posthatch::routing
