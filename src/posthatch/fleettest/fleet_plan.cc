#include "posthatch/fleettest/fleet_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "posthatch/fleettest/scenario_names.h"

namespace posthatch::fleettest {

namespace {

constexpr uint32_t kAddressesPerBlock = 250;
constexpr uint32_t kMoveStride = 60;  // address blocks per move, beyond those of other processes
constexpr double kLargeTenantShare = 4;
constexpr std::string_view kService = "frontdesk";

emulator::OperationTraffic ModelCall(emulator::OperationKind kind, double share, bool stream,
                                     const std::string& model) {
  emulator::OperationTraffic traffic;
  traffic.kind = kind;
  traffic.share = share;
  traffic.stream = stream;
  traffic.model = model;
  return traffic;
}

emulator::OperationTraffic ServiceCall(double share, const std::string& operation,
                                       bool non_idempotent) {
  emulator::OperationTraffic traffic;
  traffic.kind = emulator::OperationKind::kService;
  traffic.share = share;
  traffic.service = kService;
  traffic.operation = operation;
  traffic.non_repeatable = non_idempotent;
  return traffic;
}

// The operations of [traffic.shares]. Model calls are distributed evenly over the models.
std::vector<emulator::OperationTraffic> OperationsOf(const Scenario& scenario,
                                                     const TrafficShares& shares) {
  std::vector<emulator::OperationTraffic> operations;
  const auto models = static_cast<double>(scenario.models.size());
  for (const std::string& model : scenario.models) {
    using Kind = emulator::OperationKind;
    operations.push_back(ModelCall(Kind::kCompletions, shares.completions / models, false, model));
    operations.push_back(ModelCall(Kind::kCompletions, shares.streams / models, true, model));
    operations.push_back(ModelCall(Kind::kChat, shares.chat / models, true, model));
  }
  operations.push_back(ServiceCall(shares.placements, "placement", true));
  operations.push_back(ServiceCall(shares.questions, "question", false));
  operations.erase(std::remove_if(operations.begin(), operations.end(),
                                  [](const auto& operation) { return operation.share <= 0; }),
                   operations.end());
  return operations;
}

std::vector<emulator::TenantTraffic> TenantsOf(const TenantSizes& sizes) {
  std::vector<emulator::TenantTraffic> tenants;
  tenants.reserve(sizes.count);
  for (uint32_t number = 1; number <= sizes.count; ++number) {
    emulator::TenantTraffic tenant;
    tenant.name = fmt::format("tenant-{}", number);
    tenant.key = fmt::format("key-of-{}", tenant.name);
    tenant.key_id = fmt::format("{}/1", tenant.name);
    tenant.share = number <= sizes.large ? kLargeTenantShare : 1;
    tenant.isolated = number + sizes.isolated > sizes.count;
    tenants.push_back(std::move(tenant));
  }
  return tenants;
}

constexpr TrafficShares kMixedShares = {
    .completions = 0.2, .streams = 0.3, .chat = 0.15, .placements = 0.2, .questions = 0.15};

// Names of the services that the traffic calls, in a fixed order.
std::vector<std::string> ServicesOf(const Scenario& scenario) {
  std::set<std::string> names;
  for (const emulator::OperationTraffic& operation : PlanTraffic(scenario).operations) {
    if (!operation.service.empty()) names.insert(operation.service);
  }
  return {names.begin(), names.end()};
}

uint32_t CountOf(const FleetSizes& fleet, Role role) {
  switch (role) {
    case Role::kGateway:
      return fleet.gateways;
    case Role::kController:
      return fleet.controllers;
    case Role::kWorker:
      return fleet.workers;
    case Role::kStore:
      return fleet.stores;
    case Role::kService:
      return fleet.services;
    case Role::kInventory:
      return 1;
    case Role::kAny:
      break;
  }
  return 0;
}

constexpr Role kStartOrder[] = {Role::kInventory, Role::kStore,      Role::kService,
                                Role::kWorker,    Role::kController, Role::kGateway};

}  // namespace

PlannedProcess PlanProcess(const Scenario& scenario, Role role, uint32_t number) {
  PlannedProcess process;
  process.role = role;
  process.number = number;
  process.name = role == Role::kInventory ? "inventory"
                                          : fmt::format("{}-{}", ToName(kRoleNames, role), number);
  const uint32_t zone = (number - 1) % scenario.fleet.zones;
  process.zone = fmt::format("z{}", zone + 1);
  process.region = fmt::format("r{}", zone % scenario.fleet.regions + 1);
  if (role == Role::kWorker) process.model = scenario.models[(number - 1) % scenario.models.size()];
  if (role == Role::kService) {
    const std::vector<std::string> services = ServicesOf(scenario);
    if (!services.empty()) process.service = services[(number - 1) % services.size()];
  }
  return process;
}

std::vector<PlannedProcess> PlanFleet(const Scenario& scenario) {
  std::vector<PlannedProcess> processes;
  for (const Role role : kStartOrder) {
    for (uint32_t number = 1; number <= CountOf(scenario.fleet, role); ++number) {
      processes.push_back(PlanProcess(scenario, role, number));
    }
  }
  return processes;
}

std::string AddressOf(uint32_t network, const PlannedProcess& process, uint32_t move) {
  const uint32_t index = process.number - 1;
  return fmt::format("{}.{}.{}.{}", network, static_cast<uint32_t>(process.role) + 1,
                     index / kAddressesPerBlock + move * kMoveStride,
                     index % kAddressesPerBlock + 1);
}

bool IsBackend(Role role) {
  return role == Role::kWorker || role == Role::kStore || role == Role::kService;
}

std::map<std::string, std::string> LabelsOf(const PlannedProcess& process) {
  if (!IsBackend(process.role)) return {};
  // A single label: protobuf serializes maps with several entries in an unspecified order, and the
  // trace of a simulated seed must be deterministic.
  return {{"pool", process.number % 2 == 0 ? "even" : "odd"}};
}

emulator::InventoryBackend InventoryEntry(const PlannedProcess& process,
                                          const std::string& endpoint) {
  emulator::InventoryBackend backend;
  backend.id = process.name;
  backend.kind = ToName(kRoleNames, process.role);
  backend.endpoint = endpoint;
  backend.zone = process.zone;
  backend.model = process.model;
  backend.service = process.service;
  backend.labels = LabelsOf(process);
  return backend;
}

emulator::TrafficMix PlanTraffic(const Scenario& scenario) {
  emulator::TrafficMix mix;
  const std::string& preset = scenario.traffic.preset;
  if (preset == "mixed" || preset == "shares") {
    mix.operations =
        OperationsOf(scenario, preset == "mixed" ? kMixedShares : scenario.traffic.shares);
  } else if (const auto found = emulator::FindMix(preset); found.ok()) {
    mix = *found;
    for (emulator::OperationTraffic& operation : mix.operations) {
      if (!operation.model.empty()) operation.model = scenario.models.front();
    }
  }
  mix.name = preset;
  mix.requests_per_second = scenario.traffic.requests_per_second;
  mix.tenants = TenantsOf(scenario.tenants);
  mix.repeated_share = scenario.traffic.resend_probability;
  return mix;
}

}  // namespace posthatch::fleettest
