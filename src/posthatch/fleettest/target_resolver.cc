#include "posthatch/fleettest/target_resolver.h"

#include <algorithm>
#include <iterator>

namespace posthatch::fleettest {

namespace {

bool IsSelector(const std::string& name) {
  return name.empty() || name == "random" || name == "all" || name == "leader";
}

bool HasLabel(const ProcessInfo& process, const std::string& label) {
  const size_t equals = label.find('=');
  const auto found = process.labels.find(label.substr(0, equals));
  return found != process.labels.end() && found->second == label.substr(equals + 1);
}

bool Matches(const Target& target, const ProcessInfo& process) {
  if (target.role != Role::kAny && target.role != process.role) return false;
  // The inventory is part of the test harness and selected only by its name or role.
  if (target.role == Role::kAny && target.name != process.name &&
      process.role == Role::kInventory) {
    return false;
  }
  if (!target.zone.empty() && target.zone != process.zone) return false;
  if (!target.label.empty() && !HasLabel(process, target.label)) return false;
  return IsSelector(target.name) || target.name == process.name;
}

template <typename Value>
Value PickRandom(const std::vector<Value>& values, runtime::Random* random) {
  return values[random->Uniform(values.size())];
}

std::vector<Role> RolesFor(FaultKind kind) {
  switch (kind) {
    case FaultKind::kDiskLoss:
    case FaultKind::kPowerLoss:
    case FaultKind::kSlowDisk:
    case FaultKind::kMoveSeed:
      return {Role::kController};
    case FaultKind::kEvents:
      return {Role::kWorker};
    case FaultKind::kResponses:
      return {Role::kWorker, Role::kService};
    case FaultKind::kLostAck:
    case FaultKind::kStop:
    case FaultKind::kClockJump:
      return {Role::kGateway, Role::kController};
    default:
      return {Role::kGateway, Role::kController, Role::kWorker};
  }
}

std::string ModeFor(FaultKind kind, runtime::Random* random) {
  if (kind == FaultKind::kEvents) {
    return PickRandom<std::string>({"late", "lost", "reordered", "doubled"}, random);
  }
  if (kind == FaultKind::kResponses) {
    return PickRandom<std::string>({"late", "twice", "crossed"}, random);
  }
  return "";
}

runtime::Duration AmountFor(FaultKind kind, runtime::Random* random) {
  using std::chrono::milliseconds;
  switch (kind) {
    case FaultKind::kClockJump:
      return random->Between(std::chrono::hours(-1), std::chrono::hours(1));
    case FaultKind::kSlowDisk:
    case FaultKind::kSlowLink:
      return random->Between(milliseconds(50), milliseconds(500));
    default:
      return std::chrono::seconds(1);
  }
}

constexpr double kChaosProbability = 0.3;

}  // namespace

std::vector<ProcessInfo> ResolveTarget(const Target& target,
                                       const std::vector<ProcessInfo>& processes,
                                       const std::string& leader, runtime::Random* random) {
  std::vector<ProcessInfo> matching;
  std::copy_if(processes.begin(), processes.end(), std::back_inserter(matching),
               [&](const ProcessInfo& process) { return Matches(target, process); });
  if (target.name == "leader") {
    for (const ProcessInfo& process : matching) {
      if (process.name == leader) return {process};
    }
  }
  if (target.name != "random" && target.name != "leader") return matching;
  std::vector<ProcessInfo> picked;
  while (picked.size() < target.count && !matching.empty()) {
    const size_t index = random->Uniform(matching.size());
    picked.push_back(matching[index]);
    matching.erase(matching.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return picked;
}

Target ChaosTarget(FaultKind kind, runtime::Random* random) {
  Target target;
  target.role = PickRandom(RolesFor(kind), random);
  target.name = "random";
  return target;
}

std::vector<Fault> DrawChaos(const Chaos& chaos, runtime::Random* random) {
  std::vector<Fault> faults;
  runtime::Duration at = chaos.from;
  while (true) {
    // Intervals are between half and one and a half times the mean.
    at += random->Between(chaos.every / 2, chaos.every * 3 / 2);
    if (at >= chaos.until) return faults;
    Fault fault;
    fault.kind = PickRandom(chaos.kinds, random);
    fault.at = at;
    fault.duration = random->Between(chaos.shortest, chaos.longest);
    fault.target = ChaosTarget(fault.kind, random);
    fault.one_way = fault.kind == FaultKind::kPartition && random->Chance(kChaosProbability);
    fault.mode = ModeFor(fault.kind, random);
    fault.amount = AmountFor(fault.kind, random);
    fault.probability = kChaosProbability;
    faults.push_back(std::move(fault));
  }
}

}  // namespace posthatch::fleettest
