#pragma once

#include <string>
#include <vector>

#include "posthatch/emulator/inventory_emulator.h"
#include "posthatch/emulator/traffic_mix.h"
#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/scenario.h"

// Names, addresses and traffic of a scenario, the same for real and simulated fleets.
namespace posthatch::fleettest {

// Identity and placement of a process to start.
struct PlannedProcess {
  std::string name;  // "gateway-1", "worker-3", "inventory"
  Role role = Role::kAny;
  uint32_t number = 1;  // within its role, from 1
  std::string zone;     // "z1"
  std::string region;   // "r1"
  std::string model;    // workers
  std::string service;  // application services
};

// Settings take up to three seed addresses.
inline constexpr size_t kMaxSeedAddresses = 3;

// Every process of the fleet in start order: inventory, back ends, controllers, gateways.
std::vector<PlannedProcess> PlanFleet(const Scenario& scenario);
// The process with this role and number, planned as by PlanFleet. Used for replacements.
PlannedProcess PlanProcess(const Scenario& scenario, Role role, uint32_t number);

// "<network>.<group>.<high>.<low>": one address per process. `network` is 127 for real loopback
// addresses and 10 in the simulator; each move of a process increments `move`.
std::string AddressOf(uint32_t network, const PlannedProcess& process, uint32_t move);
bool IsBackend(Role role);
std::map<std::string, std::string> LabelsOf(const PlannedProcess& process);
emulator::InventoryBackend InventoryEntry(const PlannedProcess& process,
                                          const std::string& endpoint);

// The traffic of the callers: operations, tenants and request rate.
emulator::TrafficMix PlanTraffic(const Scenario& scenario);

}  // namespace posthatch::fleettest
