#pragma once

#include <string>
#include <vector>

#include "posthatch/daemon/node_settings.h"
#include "posthatch/rehearse/fleet_plan.h"
#include "posthatch/standins/inventory_standin.h"
#include "posthatch/standins/service_standin.h"
#include "posthatch/standins/store_standin.h"
#include "posthatch/standins/worker_settings.h"

// The settings of each process, alike for real and simulated fleets.
namespace posthatch::rehearse {

// Where the processes that others need to know are.
struct FleetAddresses {
  std::vector<std::string> seeds;  // internal endpoints, at most three
  std::string inventory;           // HTTP
  std::string store;               // HTTP; empty without a store
};

daemon::GatewaySettings PlanGateway(const PlannedProcess& process, const FleetAddresses& addresses,
                                    const std::string& internal_endpoint,
                                    const std::string& http_endpoint, bool round_robin);
daemon::ControllerSettings PlanController(const Scenario& scenario, const PlannedProcess& process,
                                          const FleetAddresses& addresses,
                                          const std::string& internal_endpoint,
                                          const std::string& http_endpoint);
standins::WorkerSettings PlanWorker(const Scenario& scenario, const PlannedProcess& process,
                                    const FleetAddresses& addresses, const std::string& endpoint);
standins::StoreSettings PlanStore(const PlannedProcess& process, const std::string& endpoint);
standins::ServiceSettings PlanService(const PlannedProcess& process, const std::string& endpoint);
standins::InventorySettings PlanInventory(const Scenario& scenario, const std::string& endpoint,
                                          std::vector<standins::InventoryBackend> backends);

}  // namespace posthatch::rehearse
