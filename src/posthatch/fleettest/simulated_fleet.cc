#include "posthatch/fleettest/simulated_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "posthatch/emulator/worker_emulator.h"
#include "posthatch/fleettest/scenario_names.h"
#include "posthatch/server/common_http.h"

namespace posthatch::fleettest {

namespace {

constexpr uint32_t kNetwork = 10;
constexpr const char* kCallers = "callers";
constexpr const char* kCallersAddress = "10.99.0.1";
constexpr runtime::Duration kDefaultDiskDelay = std::chrono::milliseconds(1);

// An emulator with the history recorder that it writes to.
template <typename Emulator>
struct RecordedEmulator {
  std::unique_ptr<MemoryHistoryRecorder> recorder;
  std::unique_ptr<Emulator> emulator;
};

}  // namespace

// A posthatch process with its HTTP server, as main.cc assembles it.
class SimulatedFleet::Node {
 public:
  Node(runtime::Runtime* runtime, std::unique_ptr<server::Process> process,
       runtime::Duration drain_deadline)
      : process_(std::move(process)),
        common_http_(OptionsFor(runtime, process_.get())),
        drain_deadline_(drain_deadline),
        drain_timer_(runtime->timers) {}

  absl::Status Start(runtime::Runtime* runtime, const std::string& endpoint,
                     const http::ServerLimits& limits) {
    auto server = runtime->http_servers->Listen(
        endpoint, limits, [this](http::Request request, std::shared_ptr<http::ResponseWriter> out) {
          common_http_.Handle(std::move(request), std::move(out));
        });
    if (!server.ok()) return server.status();
    server_ = *std::move(server);
    return process_->Start();
  }

  // Calls `ended` when the process has drained, at the latest after the drain deadline.
  void Drain(const std::function<void()>& ended) {
    common_http_.SetDraining();
    server_->Drain();
    drain_timer_.Start(drain_deadline_, ended);
    process_->Drain(ended);
  }

 private:
  static server::CommonHttpOptions OptionsFor(runtime::Runtime* runtime, server::Process* process) {
    server::CommonHttpOptions options;
    options.process = process;
    options.metrics = runtime->metrics;
    return options;
  }

  std::unique_ptr<server::Process> process_;
  server::CommonHttp common_http_;
  std::unique_ptr<http::HttpServer> server_;
  const runtime::Duration drain_deadline_;
  runtime::Timer drain_timer_;
};

SimulatedFleet::SimulatedFleet(const Scenario* scenario, uint64_t seed,
                               server::ProcessFactory* factory, bool round_robin)
    : scenario_(*scenario), factory_(factory), round_robin_(round_robin), world_(seed) {}

SimulatedFleet::~SimulatedFleet() = default;

absl::Status SimulatedFleet::Start() {
  simulation::SimHost* callers = world_.AddHost(kCallers, "outside", kCallersAddress);
  callers->SetBoot([this](runtime::Runtime* runtime) -> std::shared_ptr<void> {
    callers_runtime_ = runtime;
    return std::make_shared<int>(0);
  });
  callers->Start();
  callers_recorder_ =
      std::make_unique<MemoryHistoryRecorder>(callers_runtime_->clock, kCallers, &events_);
  processes_ = PlanFleet(scenario_);
  for (const PlannedProcess& process : processes_) {
    newest_number_[process.role] = std::max(newest_number_[process.role], process.number);
    AddProcess(process);
  }
  // Started only after all hosts were added: settings contain the addresses of other hosts.
  for (const PlannedProcess& process : processes_) world_.FindHost(process.name)->Start();
  return failure_.empty() ? absl::OkStatus() : absl::InternalError(failure_);
}

simulation::SimHost* SimulatedFleet::AddProcess(const PlannedProcess& process) {
  simulation::SimHost* host =
      world_.AddHost(process.name, process.zone, AddressOf(kNetwork, process, 0));
  host->SetBoot(
      [this, process, host](runtime::Runtime* runtime) { return Boot(process, host, runtime); });
  return host;
}

std::shared_ptr<void> SimulatedFleet::Boot(const PlannedProcess& process, simulation::SimHost* host,
                                           runtime::Runtime* runtime) {
  const bool node = process.role == Role::kGateway || process.role == Role::kController;
  return node ? BootNode(process, host, runtime)
              : BootBackend(process, runtime, host->http_endpoint());
}

template <typename Emulator, typename Settings>
std::shared_ptr<void> SimulatedFleet::BootEmulator(const PlannedProcess& process,
                                                   runtime::Runtime* runtime,
                                                   const Settings& settings) {
  auto recorded = std::make_shared<RecordedEmulator<Emulator>>();
  recorded->recorder =
      std::make_unique<MemoryHistoryRecorder>(runtime->clock, process.name, &events_);
  recorded->emulator = std::make_unique<Emulator>(runtime, settings, recorded->recorder.get());
  const absl::Status status = recorded->emulator->Start();
  if (!status.ok()) failure_ = process.name + ": " + status.ToString();
  return recorded;
}

std::shared_ptr<void> SimulatedFleet::BootBackend(const PlannedProcess& process,
                                                  runtime::Runtime* runtime,
                                                  const std::string& endpoint) {
  switch (process.role) {
    case Role::kWorker:
      return BootEmulator<emulator::WorkerEmulator>(
          process, runtime, PlanWorker(scenario_, process, Addresses(), endpoint));
    case Role::kStore:
      return BootEmulator<emulator::StoreEmulator>(process, runtime, PlanStore(process, endpoint));
    case Role::kService:
      return BootEmulator<emulator::ServiceEmulator>(process, runtime,
                                                     PlanService(process, endpoint));
    default:
      break;
  }
  std::vector<emulator::InventoryBackend> backends;
  for (const PlannedProcess& backend : processes_) {
    if (!IsBackend(backend.role)) continue;
    backends.push_back(InventoryEntry(backend, world_.FindHost(backend.name)->http_endpoint()));
  }
  return BootEmulator<emulator::InventoryEmulator>(
      process, runtime, PlanInventory(scenario_, endpoint, std::move(backends)));
}

std::shared_ptr<void> SimulatedFleet::BootNode(const PlannedProcess& process,
                                               simulation::SimHost* host,
                                               runtime::Runtime* runtime) {
  std::shared_ptr<Node> node;
  http::ServerLimits limits;
  const FleetAddresses addresses = Addresses();
  if (process.role == Role::kGateway) {
    const server::GatewaySettings settings = PlanGateway(
        process, addresses, host->internal_endpoint(), host->http_endpoint(), round_robin_);
    limits = settings.limits;
    node = std::make_shared<Node>(runtime, factory_->MakeGateway(runtime, settings),
                                  settings.node.drain_deadline);
  } else {
    const server::ControllerSettings settings = PlanController(
        scenario_, process, addresses, host->internal_endpoint(), host->http_endpoint());
    limits = settings.limits;
    node = std::make_shared<Node>(runtime, factory_->MakeController(runtime, settings),
                                  settings.node.drain_deadline);
  }
  const absl::Status status = node->Start(runtime, host->http_endpoint(), limits);
  if (!status.ok()) failure_ = process.name + ": " + status.ToString();
  nodes_[process.name] = node;
  return node;
}

FleetAddresses SimulatedFleet::Addresses() const {
  FleetAddresses addresses;
  for (const PlannedProcess& process : processes_) {
    const simulation::SimHost* host = world_.FindHost(process.name);
    if (process.role == Role::kInventory) addresses.inventory = host->http_endpoint();
    if (process.role == Role::kStore && addresses.store.empty()) {
      addresses.store = host->http_endpoint();
    }
    if (process.role == Role::kController && addresses.seeds.size() < kMaxSeedAddresses) {
      addresses.seeds.push_back(host->internal_endpoint());
    }
  }
  return addresses;
}

ProcessInfo SimulatedFleet::MakeProcessInfo(const PlannedProcess& process) const {
  return {process.name, process.role, process.zone, LabelsOf(process),
          world_.FindHost(process.name)->http_endpoint()};
}

std::vector<ProcessInfo> SimulatedFleet::processes() const {
  std::vector<ProcessInfo> infos;
  infos.reserve(processes_.size());
  for (const PlannedProcess& process : processes_) infos.push_back(MakeProcessInfo(process));
  return infos;
}

// Fault injection.

absl::StatusOr<simulation::SimHost*> SimulatedFleet::FindHostInState(const std::string& name,
                                                                     bool running) const {
  simulation::SimHost* host = world_.FindHost(name);
  if (host == nullptr) return absl::NotFoundError("no process " + name);
  if (host->running() != running) {
    return absl::FailedPreconditionError(running ? "it is down" : "it is running");
  }
  return host;
}

absl::Status SimulatedFleet::Kill(const std::string& name) {
  const auto host = FindHostInState(name, true);
  if (!host.ok()) return host.status();
  (*host)->Crash();
  return absl::OkStatus();
}

absl::Status SimulatedFleet::Stop(const std::string& name) {
  const auto host = FindHostInState(name, true);
  if (!host.ok()) return host.status();
  const std::shared_ptr<Node> node = nodes_[name].lock();
  if (node == nullptr) {
    (*host)->Crash();
    return absl::OkStatus();
  }
  const std::weak_ptr<Node> draining = node;
  node->Drain([host = *host, draining] {
    // Skipped if the process was killed or restarted in the meantime.
    if (!draining.expired() && host->running()) host->Crash();
  });
  return absl::OkStatus();
}

absl::Status SimulatedFleet::Restart(const std::string& name) {
  simulation::SimHost* host = world_.FindHost(name);
  if (host == nullptr) return absl::NotFoundError("no process " + name);
  if (host->running()) return absl::UnavailableError("it is still running");
  host->Start();
  return absl::OkStatus();
}

absl::Status SimulatedFleet::Freeze(const std::string& name) {
  const auto host = FindHostInState(name, true);
  if (!host.ok()) return host.status();
  (*host)->Freeze();
  return absl::OkStatus();
}

absl::Status SimulatedFleet::Thaw(const std::string& name) {
  const auto host = FindHostInState(name, true);
  if (!host.ok()) return host.status();
  (*host)->Thaw();
  return absl::OkStatus();
}

absl::Status SimulatedFleet::PowerOff(const std::string& name) {
  const auto host = FindHostInState(name, true);
  if (!host.ok()) return host.status();
  (*host)->PowerLoss();
  return absl::OkStatus();
}

absl::Status SimulatedFleet::ClearDisk(const std::string& name) {
  const auto host = FindHostInState(name, false);
  if (!host.ok()) return host.status();
  (*host)->LoseDisk();
  return absl::OkStatus();
}

absl::Status SimulatedFleet::SetDiskDelay(const std::string& name, runtime::Duration per_sync) {
  simulation::SimHost* host = world_.FindHost(name);
  if (host == nullptr) return absl::NotFoundError("no process " + name);
  host->SetDiskDelay(std::max(per_sync, kDefaultDiskDelay));
  return absl::OkStatus();
}

absl::Status SimulatedFleet::JumpClock(const std::string& name, runtime::Duration delta) {
  const auto host = FindHostInState(name, true);
  if (!host.ok()) return host.status();
  (*host)->JumpWallClock(delta);
  return absl::OkStatus();
}

absl::Status SimulatedFleet::SetLink(const std::string& from, const std::string& to,
                                     LinkState state) {
  if (state.partitioned) {
    world_.Partition(from, to);
  } else {
    world_.Heal(from, to);
  }
  world_.SlowLink(from, to, state.extra_delay);
  return absl::OkStatus();
}

absl::StatusOr<ProcessInfo> SimulatedFleet::Replace(const std::string& name) {
  const auto found = std::find_if(processes_.begin(), processes_.end(),
                                  [&](const auto& process) { return process.name == name; });
  if (found == processes_.end()) return absl::NotFoundError("no process " + name);
  simulation::SimHost* old_host = world_.FindHost(name);
  if (old_host->running()) old_host->Crash();
  PlannedProcess process = PlanProcess(scenario_, found->role, ++newest_number_[found->role]);
  process.zone = found->zone;
  process.region = found->region;
  process.model = found->model;
  process.service = found->service;
  *found = process;
  AddProcess(process)->Start();
  return MakeProcessInfo(process);
}

absl::StatusOr<ProcessInfo> SimulatedFleet::Move(const std::string& /*name*/) {
  return absl::UnimplementedError("a simulated disk is bound to its address");
}

absl::StatusOr<std::vector<HistoryEvent>> SimulatedFleet::TakeHistory() { return events_; }

}  // namespace posthatch::fleettest
