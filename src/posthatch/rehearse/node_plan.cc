#include "posthatch/rehearse/node_plan.h"

#include <algorithm>
#include <utility>

namespace posthatch::rehearse {

namespace {

runtime::Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<runtime::Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

daemon::NodeSettings PlanNode(const PlannedProcess& process, const FleetAddresses& addresses,
                              const std::string& internal_endpoint,
                              const std::string& http_endpoint) {
  daemon::NodeSettings node;
  node.node_id = process.name;
  node.zone = process.zone;
  node.region = process.region;
  node.internal_endpoint = internal_endpoint;
  node.http_endpoint = http_endpoint;
  node.inventory_endpoint = addresses.inventory;
  std::copy_if(addresses.seeds.begin(), addresses.seeds.end(), std::back_inserter(node.seeds),
               [&](const std::string& seed) { return seed != internal_endpoint; });
  return node;
}

}  // namespace

daemon::GatewaySettings PlanGateway(const PlannedProcess& process, const FleetAddresses& addresses,
                                    const std::string& internal_endpoint,
                                    const std::string& http_endpoint, bool round_robin) {
  daemon::GatewaySettings settings;
  settings.node = PlanNode(process, addresses, internal_endpoint, http_endpoint);
  if (round_robin) settings.routing_mode = "round_robin";
  return settings;
}

daemon::ControllerSettings PlanController(const Scenario& scenario, const PlannedProcess& process,
                                          const FleetAddresses& addresses,
                                          const std::string& internal_endpoint,
                                          const std::string& http_endpoint) {
  daemon::ControllerSettings settings;
  settings.node = PlanNode(process, addresses, internal_endpoint, http_endpoint);
  settings.bootstrap_expect = scenario.fleet.controllers;
  settings.target_voters = scenario.fleet.controllers;
  return settings;
}

standins::WorkerSettings PlanWorker(const Scenario& scenario, const PlannedProcess& process,
                                    const FleetAddresses& addresses, const std::string& endpoint) {
  standins::WorkerSettings settings;
  settings.id = process.name;
  settings.zone = process.zone;
  settings.listen = endpoint;
  settings.model = process.model;
  settings.block_tokens = scenario.worker.block_tokens;
  settings.cache_blocks = scenario.worker.cache_blocks;
  settings.max_running = scenario.worker.slots;
  settings.store_endpoint = addresses.store;
  settings.timing.prefill_per_block = FromMilliseconds(scenario.worker.prefill_ms_per_block);
  settings.timing.decode_per_token = FromMilliseconds(scenario.worker.decode_ms_per_piece);
  return settings;
}

standins::StoreSettings PlanStore(const PlannedProcess& process, const std::string& endpoint) {
  standins::StoreSettings settings;
  settings.id = process.name;
  settings.zone = process.zone;
  settings.listen = endpoint;
  return settings;
}

standins::ServiceSettings PlanService(const PlannedProcess& process, const std::string& endpoint) {
  standins::ServiceSettings settings;
  settings.id = process.name;
  settings.zone = process.zone;
  settings.listen = endpoint;
  settings.service = process.service;
  return settings;
}

standins::InventorySettings PlanInventory(const Scenario& scenario, const std::string& endpoint,
                                          std::vector<standins::InventoryBackend> backends) {
  standins::InventorySettings settings;
  settings.listen = endpoint;
  settings.backends = std::move(backends);
  settings.lateness = scenario.inventory.lateness;
  settings.reads_per_second = scenario.inventory.rate_cap;
  return settings;
}

}  // namespace posthatch::rehearse
