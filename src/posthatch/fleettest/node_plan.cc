#include "posthatch/fleettest/node_plan.h"

#include <algorithm>
#include <utility>

namespace posthatch::fleettest {

namespace {

runtime::Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<runtime::Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

server::NodeSettings PlanNode(const PlannedProcess& process, const FleetAddresses& addresses,
                              const std::string& internal_endpoint,
                              const std::string& http_endpoint) {
  server::NodeSettings node;
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

server::GatewaySettings PlanGateway(const PlannedProcess& process, const FleetAddresses& addresses,
                                    const std::string& internal_endpoint,
                                    const std::string& http_endpoint, bool round_robin) {
  server::GatewaySettings settings;
  settings.node = PlanNode(process, addresses, internal_endpoint, http_endpoint);
  if (round_robin) settings.routing_mode = gateway::RoutingMode::kRoundRobin;
  return settings;
}

server::ControllerSettings PlanController(const Scenario& scenario, const PlannedProcess& process,
                                          const FleetAddresses& addresses,
                                          const std::string& internal_endpoint,
                                          const std::string& http_endpoint) {
  server::ControllerSettings settings;
  settings.node = PlanNode(process, addresses, internal_endpoint, http_endpoint);
  settings.bootstrap_expect = scenario.fleet.controllers;
  settings.target_voters = scenario.fleet.controllers;
  return settings;
}

emulator::WorkerSettings PlanWorker(const Scenario& scenario, const PlannedProcess& process,
                                    const FleetAddresses& addresses, const std::string& endpoint) {
  emulator::WorkerSettings settings;
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

emulator::StoreSettings PlanStore(const PlannedProcess& process, const std::string& endpoint) {
  emulator::StoreSettings settings;
  settings.id = process.name;
  settings.zone = process.zone;
  settings.listen = endpoint;
  return settings;
}

emulator::ServiceSettings PlanService(const PlannedProcess& process, const std::string& endpoint) {
  emulator::ServiceSettings settings;
  settings.id = process.name;
  settings.zone = process.zone;
  settings.listen = endpoint;
  settings.service = process.service;
  return settings;
}

emulator::InventorySettings PlanInventory(const Scenario& scenario, const std::string& endpoint,
                                          std::vector<emulator::InventoryBackend> backends) {
  emulator::InventorySettings settings;
  settings.listen = endpoint;
  settings.backends = std::move(backends);
  settings.lateness = scenario.inventory.lateness;
  settings.reads_per_second = scenario.inventory.rate_cap;
  return settings;
}

}  // namespace posthatch::fleettest
