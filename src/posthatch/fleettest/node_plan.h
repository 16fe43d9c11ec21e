#pragma once

#include <string>
#include <vector>

#include "posthatch/emulator/inventory_emulator.h"
#include "posthatch/emulator/service_emulator.h"
#include "posthatch/emulator/store_emulator.h"
#include "posthatch/emulator/worker_settings.h"
#include "posthatch/fleettest/fleet_plan.h"
#include "posthatch/server/settings/node_settings.h"

// Settings of each process, for real and simulated fleets alike.
namespace posthatch::fleettest {

// Endpoints that other processes need in their settings.
struct FleetAddresses {
  std::vector<std::string> seeds;  // internal endpoints, at most three
  std::string inventory;           // HTTP
  std::string store;               // HTTP; empty without a store
};

server::GatewaySettings PlanGateway(const PlannedProcess& process, const FleetAddresses& addresses,
                                    const std::string& internal_endpoint,
                                    const std::string& http_endpoint, bool round_robin);
server::ControllerSettings PlanController(const Scenario& scenario, const PlannedProcess& process,
                                          const FleetAddresses& addresses,
                                          const std::string& internal_endpoint,
                                          const std::string& http_endpoint);
emulator::WorkerSettings PlanWorker(const Scenario& scenario, const PlannedProcess& process,
                                    const FleetAddresses& addresses, const std::string& endpoint);
emulator::StoreSettings PlanStore(const PlannedProcess& process, const std::string& endpoint);
emulator::ServiceSettings PlanService(const PlannedProcess& process, const std::string& endpoint);
emulator::InventorySettings PlanInventory(const Scenario& scenario, const std::string& endpoint,
                                          std::vector<emulator::InventoryBackend> backends);

}  // namespace posthatch::fleettest
