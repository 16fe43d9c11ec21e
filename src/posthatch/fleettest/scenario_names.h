#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "posthatch/fleettest/scenario.h"

// Names in scenario files of the enumerators of scenario.h.
namespace posthatch::fleettest {

template <typename Value, size_t kSize>
using NameTable = std::array<std::pair<std::string_view, Value>, kSize>;

inline constexpr NameTable<FaultKind, 14> kFaultKindNames = {{
    {"kill", FaultKind::kKill},
    {"stop", FaultKind::kStop},
    {"freeze", FaultKind::kFreeze},
    {"disk_loss", FaultKind::kDiskLoss},
    {"power_loss", FaultKind::kPowerLoss},
    {"slow_disk", FaultKind::kSlowDisk},
    {"clock_jump", FaultKind::kClockJump},
    {"cut", FaultKind::kPartition},
    {"slow_link", FaultKind::kSlowLink},
    {"events", FaultKind::kEvents},
    {"answers", FaultKind::kResponses},
    {"lost_ack", FaultKind::kLostAck},
    {"replace", FaultKind::kReplace},
    {"move_seed", FaultKind::kMoveSeed},
}};

inline constexpr NameTable<OperationKind, 8> kOperationKindNames = {{
    {"configuration_change", OperationKind::kConfigurationChange},
    {"racing_change", OperationKind::kRacingChange},
    {"key_rotation", OperationKind::kKeyRotation},
    {"evacuate", OperationKind::kEvacuate},
    {"lift", OperationKind::kLift},
    {"drain_mark", OperationKind::kDrainMark},
    {"model_revision", OperationKind::kModelRevision},
    {"isolation_change", OperationKind::kIsolationChange},
}};

inline constexpr NameTable<Role, 7> kRoleNames = {{
    {"any", Role::kAny},
    {"gateway", Role::kGateway},
    {"controller", Role::kController},
    {"worker", Role::kWorker},
    {"store", Role::kStore},
    {"service", Role::kService},
    {"inventory", Role::kInventory},
}};

template <typename Value, size_t kSize>
std::optional<Value> FromName(const NameTable<Value, kSize>& table, std::string_view name) {
  for (const auto& [entry_name, value] : table) {
    if (entry_name == name) return value;
  }
  return std::nullopt;
}

template <typename Value, size_t kSize>
std::string_view ToName(const NameTable<Value, kSize>& table, Value wanted) {
  for (const auto& [entry_name, value] : table) {
    if (value == wanted) return entry_name;
  }
  return "unknown";
}

template <typename Value, size_t kSize>
std::string AllowedNames(const NameTable<Value, kSize>& table) {
  std::string joined;
  for (const auto& [entry_name, value] : table) {
    if (!joined.empty()) joined += ", ";
    joined += entry_name;
  }
  return joined;
}

}  // namespace posthatch::fleettest
