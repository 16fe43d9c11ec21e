#include "posthatch/fleettest/real_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <utility>

#include "posthatch/fleettest/free_port.h"
#include "posthatch/fleettest/process_settings.h"
#include "posthatch/fleettest/scenario_names.h"

namespace posthatch::fleettest {

namespace {

namespace json = boost::json;
namespace fs = std::filesystem;

constexpr uint32_t kNetwork = 127;
constexpr runtime::Duration kFaultRetryInterval = std::chrono::milliseconds(300);
constexpr int kMaxFaultAttempts = 20;
constexpr size_t kOutputTail = 600;

bool IsNode(Role role) { return role == Role::kGateway || role == Role::kController; }

std::string IpOf(const std::string& endpoint) { return endpoint.substr(0, endpoint.rfind(':')); }

}  // namespace

struct RealFleet::Member {
  PlannedProcess plan;
  uint32_t moves = 0;
  std::string internal_endpoint;  // posthatch processes
  std::string http_endpoint;
  std::string folder;
  std::unique_ptr<ChildProcess> child;
  bool expected_down = false;
  runtime::Duration disk_delay{};

  std::string data_folder() const { return folder + "/data"; }
  std::string settings_file() const { return folder + "/settings.toml"; }
  std::string output_file() const { return folder + "/output.log"; }
  std::string history_file() const { return folder + "/history.jsonl"; }
};

RealFleet::RealFleet(const Scenario* scenario, RealFleetOptions options)
    : scenario_(*scenario), options_(std::move(options)) {}

RealFleet::~RealFleet() = default;

absl::Status RealFleet::Start() {
  net::AsioRuntimeOptions runtime_options;
  runtime_options.node_id = "rehearsal";
  runtime_options.log_file = options_.run_folder + "/rehearsal.log";
  auto runtime = net::AsioRuntime::Create(runtime_options);
  if (!runtime.ok()) return runtime.status();
  asio_runtime_ = *std::move(runtime);
  runtime_ = *asio_runtime_->runtime();
  random_ = std::make_unique<runtime::Random>(options_.seed);
  runtime_.random = random_.get();
  recorder_ = std::make_unique<MemoryHistoryRecorder>(runtime_.clock, "callers", &events_);
  control_ = std::make_unique<ProcessControlClient>(&runtime_);
  for (const PlannedProcess& plan : PlanFleet(scenario_)) {
    absl::Status added = AddMember(plan);
    if (!added.ok()) return added;
  }
  for (const std::unique_ptr<Member>& member : members_) {
    absl::Status launched = Launch(member.get());
    if (!launched.ok()) return launched;
  }
  return absl::OkStatus();
}

absl::Status RealFleet::AddMember(const PlannedProcess& plan) {
  auto member = std::make_unique<Member>();
  member->plan = plan;
  member->folder = options_.run_folder + "/" + plan.name;
  std::error_code error;
  fs::create_directories(member->data_folder(), error);
  if (error) return absl::InternalError(member->folder + ": " + error.message());
  absl::Status assigned = AssignAddress(member.get(), 0);
  if (!assigned.ok()) return assigned;
  newest_number_[plan.role] = std::max(newest_number_[plan.role], plan.number);
  histories_.push_back(member->history_file());
  members_.push_back(std::move(member));
  return absl::OkStatus();
}

absl::Status RealFleet::AssignAddress(Member* member, uint32_t move) {
  member->moves = move;
  const std::string address = AddressOf(kNetwork, member->plan, move);
  const auto http_port = FindFreePort(address);
  if (!http_port.ok()) return http_port.status();
  member->http_endpoint = fmt::format("{}:{}", address, *http_port);
  if (!IsNode(member->plan.role)) return absl::OkStatus();
  const auto internal_port = FindFreePort(address);
  if (!internal_port.ok()) return internal_port.status();
  member->internal_endpoint = fmt::format("{}:{}", address, *internal_port);
  return absl::OkStatus();
}

std::string RealFleet::SettingsOf(const Member& member) const {
  const PlannedProcess& plan = member.plan;
  const FleetAddresses addresses = Addresses();
  switch (plan.role) {
    case Role::kGateway:
      return GatewayToml(PlanGateway(plan, addresses, member.internal_endpoint,
                                     member.http_endpoint, options_.round_robin));
    case Role::kController:
      return ControllerToml(PlanController(scenario_, plan, addresses, member.internal_endpoint,
                                           member.http_endpoint),
                            member.data_folder());
    case Role::kWorker:
      return WorkerToml(PlanWorker(scenario_, plan, addresses, member.http_endpoint),
                        member.history_file());
    case Role::kStore:
      return StoreToml(PlanStore(plan, member.http_endpoint), member.history_file());
    case Role::kService:
      return ServiceToml(PlanService(plan, member.http_endpoint), member.history_file());
    default:
      return InventoryToml(PlanInventory(scenario_, member.http_endpoint, Backends()),
                           member.history_file());
  }
}

absl::Status RealFleet::Launch(Member* member) {
  absl::Status written = WriteTextFile(member->settings_file(), SettingsOf(*member));
  if (!written.ok()) return written;
  const bool node = IsNode(member->plan.role);
  std::vector<std::string> arguments = {node ? options_.posthatchd : options_.posthatch_emulator,
                                        std::string(ToName(kRoleNames, member->plan.role)),
                                        "--config", member->settings_file(),
                                        "--enable-fault-injection"};
  auto child = ChildProcess::Start(arguments, member->output_file());
  if (!child.ok()) return child.status();
  member->child = *std::move(child);
  member->expected_down = false;
  return absl::OkStatus();
}

void RealFleet::RunFor(runtime::Duration duration) {
  asio_runtime_->RunUntil([] { return false; }, duration);
}

FleetAddresses RealFleet::Addresses() const {
  FleetAddresses addresses;
  for (const std::unique_ptr<Member>& member : members_) {
    if (member->plan.role == Role::kInventory) addresses.inventory = member->http_endpoint;
    if (member->plan.role == Role::kStore && addresses.store.empty()) {
      addresses.store = member->http_endpoint;
    }
    if (member->plan.role == Role::kController && addresses.seeds.size() < kMaxSeedAddresses) {
      addresses.seeds.push_back(member->internal_endpoint);
    }
  }
  return addresses;
}

std::vector<emulator::InventoryBackend> RealFleet::Backends() const {
  std::vector<emulator::InventoryBackend> backends;
  for (const std::unique_ptr<Member>& member : members_) {
    if (!IsBackend(member->plan.role)) continue;
    backends.push_back(InventoryEntry(member->plan, member->http_endpoint));
  }
  return backends;
}

ProcessInfo RealFleet::MakeProcessInfo(const Member& member) const {
  return {member.plan.name, member.plan.role, member.plan.zone, LabelsOf(member.plan),
          member.http_endpoint};
}

std::vector<ProcessInfo> RealFleet::processes() const {
  std::vector<ProcessInfo> infos;
  infos.reserve(members_.size());
  for (const std::unique_ptr<Member>& member : members_) infos.push_back(MakeProcessInfo(*member));
  return infos;
}

std::string RealFleet::Failure() {
  for (const std::unique_ptr<Member>& member : members_) {
    if (member->expected_down || member->child == nullptr || member->child->running()) continue;
    return fmt::format("{} ended by itself with {}: {}", member->plan.name, member->child->end(),
                       TailOfFile(member->output_file(), kOutputTail));
  }
  return "";
}

RealFleet::Member* RealFleet::Find(const std::string& name) const {
  for (const std::unique_ptr<Member>& member : members_) {
    if (member->plan.name == name) return member.get();
  }
  return nullptr;
}

// Fault injection.

absl::Status RealFleet::Kill(const std::string& name) {
  Member* member = Find(name);
  if (member == nullptr) return absl::NotFoundError("no process " + name);
  if (!member->child->running()) return absl::FailedPreconditionError("it is down");
  member->expected_down = true;
  member->child->Kill();
  return absl::OkStatus();
}

absl::Status RealFleet::Stop(const std::string& name) {
  Member* member = Find(name);
  if (member == nullptr) return absl::NotFoundError("no process " + name);
  member->expected_down = true;
  return member->child->Signal(SIGTERM);
}

absl::Status RealFleet::Restart(const std::string& name) {
  Member* member = Find(name);
  if (member == nullptr) return absl::NotFoundError("no process " + name);
  if (member->child->running()) return absl::UnavailableError("it is still running");
  absl::Status launched = Launch(member);
  if (launched.ok()) SendFaults(name, kMaxFaultAttempts);
  return launched;
}

absl::Status RealFleet::Freeze(const std::string& name) {
  Member* member = Find(name);
  return member == nullptr ? absl::NotFoundError("no process " + name)
                           : member->child->Signal(SIGSTOP);
}

absl::Status RealFleet::Thaw(const std::string& name) {
  Member* member = Find(name);
  return member == nullptr ? absl::NotFoundError("no process " + name)
                           : member->child->Signal(SIGCONT);
}

absl::Status RealFleet::PowerOff(const std::string& /*name*/) {
  return absl::UnimplementedError("the operating system keeps what a real process wrote");
}

absl::Status RealFleet::JumpClock(const std::string& /*name*/, runtime::Duration /*delta*/) {
  return absl::UnimplementedError("real processes share the machine's clock");
}

absl::Status RealFleet::ClearDisk(const std::string& name) {
  Member* member = Find(name);
  if (member == nullptr) return absl::NotFoundError("no process " + name);
  if (member->child->running()) return absl::FailedPreconditionError("it is running");
  std::error_code error;
  fs::remove_all(member->data_folder(), error);
  fs::create_directories(member->data_folder(), error);
  return error ? absl::InternalError(error.message()) : absl::OkStatus();
}

absl::Status RealFleet::SetDiskDelay(const std::string& name, runtime::Duration per_sync) {
  Member* member = Find(name);
  if (member == nullptr) return absl::NotFoundError("no process " + name);
  if (!IsNode(member->plan.role)) return absl::UnimplementedError("back ends have no disk");
  member->disk_delay = per_sync;
  SendFaults(name, kMaxFaultAttempts);
  return absl::OkStatus();
}

absl::Status RealFleet::SetLink(const std::string& from, const std::string& to, LinkState state) {
  const Member* sender = Find(from);
  const Member* receiver = Find(to);
  if (sender == nullptr || receiver == nullptr) return absl::OkStatus();  // replaced meanwhile
  links_[{from, to}] = state;
  for (const Member* member : {sender, receiver}) SendFaults(member->plan.name, kMaxFaultAttempts);
  return absl::OkStatus();
}

std::string RealFleet::FaultsJson(const Member& member) const {
  json::array drop_to;
  json::array drop_from;
  json::array delay_to;
  for (const auto& [link, state] : links_) {
    const bool outgoing = link.first == member.plan.name;
    if (!outgoing && link.second != member.plan.name) continue;
    const Member* peer = Find(outgoing ? link.second : link.first);
    if (peer == nullptr) continue;
    const std::string address = IpOf(peer->http_endpoint);
    if (state.partitioned) (outgoing ? drop_to : drop_from).push_back(json::string(address));
    if (outgoing && state.extra_delay > runtime::Duration{}) {
      delay_to.push_back(
          json::object{{"endpoint", address},
                       {"ms", static_cast<int64_t>(runtime::ToMilliseconds(state.extra_delay))}});
    }
  }
  return json::serialize(json::object{
      {"drop_to", std::move(drop_to)},
      {"drop_from", std::move(drop_from)},
      {"delay_to", std::move(delay_to)},
      {"disk_sync_delay_ms", static_cast<int64_t>(runtime::ToMilliseconds(member.disk_delay))}});
}

void RealFleet::SendFaults(const std::string& name, int attempts_left) {
  const Member* member = Find(name);
  if (member == nullptr || attempts_left == 0) return;
  control_->Put(
      member->http_endpoint, "/debug/faults", FaultsJson(*member),
      [this, name, attempts_left](const absl::Status& status, const std::string& /*body*/) {
        if (status.ok()) return;
        timers_.push_back(std::make_unique<runtime::Timer>(runtime_.timers));
        timers_.back()->Start(kFaultRetryInterval,
                              [this, name, attempts_left] { SendFaults(name, attempts_left - 1); });
      });
}

absl::StatusOr<ProcessInfo> RealFleet::Replace(const std::string& name) {
  const auto found = std::find_if(members_.begin(), members_.end(),
                                  [&](const auto& member) { return member->plan.name == name; });
  if (found == members_.end()) return absl::NotFoundError("no process " + name);
  const PlannedProcess old = (*found)->plan;
  (*found)->child->Kill();
  members_.erase(found);
  PlannedProcess plan = PlanProcess(scenario_, old.role, ++newest_number_[old.role]);
  plan.zone = old.zone;
  plan.region = old.region;
  plan.model = old.model;
  plan.service = old.service;
  absl::Status status = AddMember(plan);
  if (status.ok()) status = Launch(members_.back().get());
  if (!status.ok()) return status;
  return MakeProcessInfo(*members_.back());
}

absl::StatusOr<ProcessInfo> RealFleet::Move(const std::string& name) {
  Member* member = Find(name);
  if (member == nullptr) return absl::NotFoundError("no process " + name);
  if (member->child->running()) return absl::UnavailableError("it is still running");
  absl::Status status = AssignAddress(member, member->moves + 1);
  if (status.ok()) status = Launch(member);
  if (!status.ok()) return status;
  SendFaults(name, kMaxFaultAttempts);
  return MakeProcessInfo(*member);
}

absl::StatusOr<std::vector<HistoryEvent>> RealFleet::TakeHistory() {
  std::vector<HistoryEvent> events = events_;
  for (const std::string& file : histories_) {
    if (!fs::exists(file)) continue;
    absl::StatusOr<LoadedHistory> loaded = LoadHistory(file);
    if (!loaded.ok()) return loaded.status();
    std::move(loaded->events.begin(), loaded->events.end(), std::back_inserter(events));
  }
  return events;
}

}  // namespace posthatch::fleettest
