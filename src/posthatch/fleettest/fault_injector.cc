#include "posthatch/fleettest/fault_injector.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

#include "posthatch/fleettest/scenario_names.h"
#include "posthatch/fleettest/target_resolver.h"
#include "posthatch/util/string_view.h"

namespace posthatch::fleettest {

namespace {

constexpr runtime::Duration kRestartRetryInterval = std::chrono::milliseconds(250);
// After a lost disk the controller has to catch up before a random fault takes another disk.
constexpr runtime::Duration kDiskRepairTime = std::chrono::seconds(15);

// Faults during which no other fault may stop or start the process.
bool DisruptsProcess(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKill:
    case FaultKind::kStop:
    case FaultKind::kFreeze:
    case FaultKind::kDiskLoss:
    case FaultKind::kPowerLoss:
    case FaultKind::kReplace:
    case FaultKind::kMoveSeed:
      return true;
    default:
      return false;
  }
}

std::string BehaviourJson(const Fault& fault, double probability) {
  boost::json::object behaviour;
  const double milliseconds = runtime::ToMilliseconds(fault.amount);
  if (fault.kind == FaultKind::kEvents && fault.mode == "late") {
    behaviour["events_late_ms"] = probability > 0 ? static_cast<int64_t>(milliseconds) : 0;
  } else if (fault.kind == FaultKind::kEvents) {
    behaviour["events_" + fault.mode + "_share"] = probability;
  } else if (fault.mode == "late") {
    behaviour["answers_late_ms"] = static_cast<int64_t>(milliseconds);
    behaviour["answers_late_share"] = probability;
  } else {
    behaviour["answers_" + fault.mode + "_share"] = probability;
    if (fault.mode == "crossed") behaviour["answers_crossed_body_share"] = probability / 2;
  }
  return boost::json::serialize(behaviour);
}

std::string StatusMessage(const absl::Status& status) {
  return std::string(util::ToStd(status.message()));
}

}  // namespace

struct FaultInjector::ActiveFault {
  Fault fault;
  ProcessInfo process;
  std::vector<std::pair<std::string, std::string>> links;
  bool ending = false;
};

FaultInjector::FaultInjector(Environment environment) : environment_(std::move(environment)) {}

FaultInjector::~FaultInjector() = default;

void FaultInjector::Start(const std::vector<Fault>& faults) { Schedule(faults, false); }

void FaultInjector::StartChaos(const std::vector<Fault>& faults) { Schedule(faults, true); }

void FaultInjector::Schedule(const std::vector<Fault>& faults, bool chaos) {
  runtime::Runtime* runtime = environment_.fleet->runtime();
  started_ = runtime->clock->Now();
  for (const Fault& fault : faults) {
    timers_.push_back(std::make_unique<runtime::Timer>(runtime->timers));
    timers_.back()->Start(fault.at, [this, fault, chaos] { Begin(fault, chaos); });
  }
}

void FaultInjector::Begin(const Fault& fault, bool chaos) {
  if (!environment_.fleet->Supports(fault.kind)) {
    return AddOutcome(fault, fault.target.name,
                      "not applicable: not supported by this kind of fleet");
  }
  const std::vector<ProcessInfo> targets =
      ResolveTarget(fault.target, environment_.fleet->processes(), environment_.leader(),
                    environment_.fleet->runtime()->random);
  if (targets.empty()) AddOutcome(fault, "", "skipped: no process matches the target");
  for (const ProcessInfo& process : targets) BeginAt(fault, process, chaos);
}

void FaultInjector::BeginAt(const Fault& fault, const ProcessInfo& process, bool chaos) {
  const std::string skip = SkipReason(fault, process, chaos);
  if (!skip.empty()) return AddOutcome(fault, process.name, "skipped: " + skip);
  auto active = std::make_shared<ActiveFault>();
  active->fault = fault;
  active->process = process;
  const absl::Status status = Apply(fault, process, active.get());
  if (absl::IsUnimplemented(status)) {
    return AddOutcome(fault, process.name, "not applicable: " + StatusMessage(status));
  }
  if (!status.ok()) return AddOutcome(fault, process.name, "failed: " + StatusMessage(status));
  AddOutcome(fault, process.name, "injected");
  RecordFault(*active, false);
  if (DisruptsProcess(fault.kind)) busy_.insert(process.name);
  if (fault.kind == FaultKind::kDiskLoss) {
    disk_was_lost_ = true;
    last_disk_loss_ = environment_.fleet->runtime()->clock->Now() + fault.duration;
  }
  active_.push_back(active);
  timers_.push_back(std::make_unique<runtime::Timer>(environment_.fleet->runtime()->timers));
  timers_.back()->Start(fault.duration, [this, active] { End(active); });
}

std::string FaultInjector::SkipReason(const Fault& fault, const ProcessInfo& process,
                                      bool chaos) const {
  if (DisruptsProcess(fault.kind) && busy_.count(process.name) > 0) {
    return "another fault is active at the process";
  }
  if (chaos && fault.kind == FaultKind::kDiskLoss && disk_was_lost_ &&
      environment_.fleet->runtime()->clock->Now() < last_disk_loss_ + kDiskRepairTime) {
    return "the last lost disk may not be repaired yet";
  }
  return "";
}

absl::Status FaultInjector::Apply(const Fault& fault, const ProcessInfo& process,
                                  ActiveFault* active) {
  Fleet* fleet = environment_.fleet;
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kMoveSeed:
      return fleet->Kill(process.name);
    case FaultKind::kStop:
      return fleet->Stop(process.name);
    case FaultKind::kFreeze:
      return fleet->Freeze(process.name);
    case FaultKind::kDiskLoss: {
      absl::Status killed = fleet->Kill(process.name);
      return killed.ok() ? fleet->ClearDisk(process.name) : killed;
    }
    case FaultKind::kPowerLoss:
      return fleet->PowerOff(process.name);
    case FaultKind::kSlowDisk:
      return fleet->SetDiskDelay(process.name, fault.amount);
    case FaultKind::kClockJump:
      return fleet->JumpClock(process.name, fault.amount);
    case FaultKind::kPartition:
    case FaultKind::kSlowLink:
      return ApplyLinks(fault, process, active);
    case FaultKind::kEvents:
    case FaultKind::kResponses:
      SetBehaviour(process, BehaviourJson(fault, fault.probability));
      return absl::OkStatus();
    case FaultKind::kLostAck:
      environment_.operators_client->SetDropProbability(process.http_endpoint, fault.probability);
      return absl::OkStatus();
    case FaultKind::kReplace:
      return ApplyReplace(process);
  }
  return absl::InternalError("unknown kind");
}

absl::Status FaultInjector::ApplyLinks(const Fault& fault, const ProcessInfo& process,
                                       ActiveFault* active) {
  const std::vector<ProcessInfo> all = environment_.fleet->processes();
  const std::string leader = environment_.leader();
  runtime::Random* random = environment_.fleet->runtime()->random;
  const bool all_peers = fault.peer.role == Role::kAny && fault.peer.name.empty() &&
                         fault.peer.zone.empty() && fault.peer.label.empty();
  // Processes partitioned by the same fault remain connected to each other.
  const std::vector<ProcessInfo> targets = ResolveTarget(fault.target, all, leader, random);
  for (const ProcessInfo& peer : all_peers ? all : ResolveTarget(fault.peer, all, leader, random)) {
    const bool picked = fault.target.name == "random" || fault.target.name == "leader";
    const bool same_side =
        !picked && std::any_of(targets.begin(), targets.end(), [&](const auto& target_process) {
          return target_process.name == peer.name;
        });
    if (peer.name == process.name || (all_peers && same_side)) continue;
    active->links.emplace_back(process.name, peer.name);
    if (!fault.one_way) active->links.emplace_back(peer.name, process.name);
  }
  for (const auto& [from, to] : active->links) {
    absl::Status status =
        ChangeLink(from, to, fault.kind == FaultKind::kPartition, fault.amount, +1);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

absl::Status FaultInjector::ChangeLink(const std::string& from, const std::string& to,
                                       bool partitioned, runtime::Duration delay, int change) {
  LinkCounts& link = links_[{from, to}];
  if (partitioned) {
    link.partitions += change;
  } else if (change > 0) {
    link.delays.insert(delay);
  } else if (const auto found = link.delays.find(delay); found != link.delays.end()) {
    link.delays.erase(found);
  }
  LinkState state;
  state.partitioned = link.partitions > 0;
  if (!link.delays.empty()) state.extra_delay = *link.delays.rbegin();
  return environment_.fleet->SetLink(from, to, state);
}

absl::Status FaultInjector::ApplyReplace(const ProcessInfo& process) {
  const absl::StatusOr<ProcessInfo> replacement = environment_.fleet->Replace(process.name);
  if (replacement.ok()) environment_.on_processes_changed();
  return replacement.status();
}

void FaultInjector::SetBehaviour(const ProcessInfo& process, const std::string& json) {
  environment_.control->Put(
      process.http_endpoint, "/debug/behaviour", json,
      [this, name = process.name](const absl::Status& status, const std::string& /*body*/) {
        if (status.ok()) return;
        Fault fault;
        fault.kind = FaultKind::kResponses;
        AddOutcome(fault, name, "failed: " + StatusMessage(status));
      });
}

void FaultInjector::End(const std::shared_ptr<ActiveFault>& active) {
  if (active->ending) return;
  active->ending = true;
  Fleet* fleet = environment_.fleet;
  const std::string& name = active->process.name;
  absl::Status status;
  switch (active->fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kStop:
    case FaultKind::kDiskLoss:
    case FaultKind::kPowerLoss:
    case FaultKind::kMoveSeed:
      return RestartWithRetries(active);
    case FaultKind::kFreeze:
      status = fleet->Thaw(name);
      break;
    case FaultKind::kSlowDisk:
      status = fleet->SetDiskDelay(name, runtime::Duration{});
      break;
    case FaultKind::kPartition:
    case FaultKind::kSlowLink:
      for (const auto& [from, to] : active->links) {
        status.Update(ChangeLink(from, to, active->fault.kind == FaultKind::kPartition,
                                 active->fault.amount, -1));
      }
      break;
    case FaultKind::kEvents:
    case FaultKind::kResponses:
      SetBehaviour(active->process, BehaviourJson(active->fault, 0));
      break;
    case FaultKind::kLostAck:
      environment_.operators_client->SetDropProbability(active->process.http_endpoint, 0);
      break;
    case FaultKind::kClockJump:
    case FaultKind::kReplace:
      break;
  }
  if (!status.ok()) AddOutcome(active->fault, name, "failed to end: " + StatusMessage(status));
  Finish(active);
}

void FaultInjector::RestartWithRetries(const std::shared_ptr<ActiveFault>& active) {
  Fleet* fleet = environment_.fleet;
  const std::string& name = active->process.name;
  const bool moves = active->fault.kind == FaultKind::kMoveSeed;
  const absl::Status status = moves ? fleet->Move(name).status() : fleet->Restart(name);
  if (status.ok()) {
    if (moves) environment_.on_processes_changed();
    return Finish(active);
  }
  if (!absl::IsUnavailable(status)) {
    AddOutcome(active->fault, name, "failed to restart: " + StatusMessage(status));
    return Finish(active);
  }
  // The process is still draining.
  timers_.push_back(std::make_unique<runtime::Timer>(fleet->runtime()->timers));
  timers_.back()->Start(kRestartRetryInterval, [this, active] { RestartWithRetries(active); });
}

void FaultInjector::Finish(const std::shared_ptr<ActiveFault>& active) {
  RecordFault(*active, true);
  if (DisruptsProcess(active->fault.kind)) busy_.erase(active->process.name);
  active_.erase(std::remove(active_.begin(), active_.end(), active), active_.end());
}

void FaultInjector::EndAll() {
  const std::vector<std::shared_ptr<ActiveFault>> remaining = active_;
  for (const auto& active : remaining) End(active);
}

void FaultInjector::RecordFault(const ActiveFault& active, bool ended) const {
  HistoryEvent event;
  FaultInjected* fault = event.mutable_fault_injected();
  fault->set_kind(std::string(ToName(kFaultKindNames, active.fault.kind)));
  fault->set_target(active.process.name);
  fault->set_ended(ended);
  environment_.fleet->recorder()->Record(std::move(event));
}

void FaultInjector::AddOutcome(const Fault& fault, const std::string& target,
                               const std::string& result) {
  const runtime::Duration since = environment_.fleet->runtime()->clock->Now() - started_;
  outcomes_.push_back({std::string(ToName(kFaultKindNames, fault.kind)), target,
                       std::chrono::duration<double>(since).count(), result});
}

}  // namespace posthatch::fleettest
