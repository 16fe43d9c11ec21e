#pragma once

#include <functional>
#include <memory>
#include <string>

#include "posthatch/channels/object_trust.h"
#include "posthatch/gateway/fleet_lookup.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/traffic/call_format.h"
#include "posthatch/traffic/in_flight_prefills.h"
#include "posthatch/traffic/placer.h"
#include "posthatch/traffic/prefix_stores.h"
#include "posthatch/traffic/retry_budget.h"
#include "posthatch/traffic/routing_switches.h"
#include "posthatch/traffic/traffic_metrics.h"
#include "posthatch/traffic/worker_pool.h"

namespace posthatch::traffic {

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
  const channels::ObjectTrust* trust = nullptr;
  // Takes an ended request out of the set of running ones, not from within its own call.
  std::function<void(TrafficRequest*)> retire;
  // Destroys a call later, not from within one of its callbacks.
  std::function<void(std::unique_ptr<http::Call>)> destroy_later;
};

}  // namespace posthatch::traffic
