#include "posthatch/fleettest/scenario_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "posthatch/emulator/caller_load.h"
#include "posthatch/emulator/key_probe.h"
#include "posthatch/emulator/operator_emulator.h"
#include "posthatch/fleettest/fault_injector.h"
#include "posthatch/fleettest/fleet_plan.h"
#include "posthatch/fleettest/inventory_publisher.h"
#include "posthatch/fleettest/leader_watch.h"
#include "posthatch/fleettest/operation_runner.h"
#include "posthatch/fleettest/readiness_watch.h"
#include "posthatch/fleettest/response_dropping_client.h"
#include "posthatch/fleettest/target_resolver.h"

namespace posthatch::fleettest {

namespace {

constexpr runtime::Duration kRunStep = std::chrono::milliseconds(100);
constexpr runtime::Duration kProgressInterval = std::chrono::seconds(1);
constexpr runtime::Duration kReadyLimit = std::chrono::seconds(60);
constexpr runtime::Duration kConfigurationLimit = std::chrono::seconds(30);
constexpr runtime::Duration kLoadEndLimit = std::chrono::seconds(60);
constexpr runtime::Duration kProbeDrainTime =
    std::chrono::seconds(6);  // longer than the probes' time-out
constexpr runtime::Duration kFinalReadLimit = std::chrono::seconds(20);
constexpr runtime::Duration kReadInterval = std::chrono::seconds(2);
constexpr runtime::Duration kRotationInterval = std::chrono::seconds(3);
constexpr const char* kProbeTenant = "key-probe";

std::vector<std::string> EndpointsOf(const std::vector<ProcessInfo>& processes,
                                     const std::vector<Role>& roles) {
  std::vector<std::string> endpoints;
  for (const ProcessInfo& process : processes) {
    if (std::find(roles.begin(), roles.end(), process.role) != roles.end()) {
      endpoints.push_back(process.http_endpoint);
    }
  }
  return endpoints;
}

emulator::OperatorOptions OperatorNamed(const std::string& name, runtime::Duration rotation,
                                        runtime::Duration reads) {
  emulator::OperatorOptions options;
  options.name = name;
  options.probe_tenant = kProbeTenant;
  options.rotation_interval = rotation;
  options.read_interval = reads;
  return options;
}

}  // namespace

class ScenarioRun::Impl {
 public:
  Impl(const Scenario* scenario, Fleet* fleet, ScenarioRunOptions options)
      : scenario_(*scenario), fleet_(fleet), options_(std::move(options)) {}

  void Run(ScenarioReport* report);

 private:
  std::string Prepare();
  std::string WaitUntilReady(const std::function<bool(Role)>& includes_role);
  std::string ApplyConfiguration();
  std::string DriveLoad();
  std::string EndLoad();
  void ReadFinalState();
  void CreateLoadAndOperators();
  void OnProcessesChanged();
  // Runs the fleet until `condition` holds; false after `limit` or an interruption.
  bool RunUntil(const std::function<bool()>& condition, runtime::Duration limit);
  bool Interrupted() const { return options_.interrupted && options_.interrupted(); }
  void ReportProgress(runtime::Duration elapsed);

  const Scenario& scenario_;
  Fleet* const fleet_;
  const ScenarioRunOptions options_;
  emulator::TrafficMix mix_;
  control::Configuration configuration_;
  std::unique_ptr<ResponseDroppingClient> operators_client_;
  runtime::Runtime operators_runtime_;
  std::unique_ptr<ProcessControlClient> control_;
  std::unique_ptr<InventoryPublisher> inventory_;
  std::unique_ptr<LeaderWatch> leader_watch_;
  std::unique_ptr<emulator::OperatorEmulator> first_operator_;
  std::unique_ptr<emulator::OperatorEmulator> second_operator_;
  std::unique_ptr<emulator::OperatorEmulator> rotating_operator_;
  std::unique_ptr<emulator::CallerLoad> load_;
  std::unique_ptr<emulator::KeyProbe> probe_;
  std::unique_ptr<FaultInjector> faults_;
  std::unique_ptr<OperationRunner> operations_;
};

void ScenarioRun::Impl::Run(ScenarioReport* report) {
  report->scenario = scenario_.name;
  report->duration_s = std::chrono::duration<double>(scenario_.duration).count();
  report->failure = Prepare();
  if (report->failure.empty()) report->failure = DriveLoad();
  if (load_ != nullptr) {
    const std::string unfinished = EndLoad();
    if (report->failure.empty()) report->failure = unfinished;
    if (report->failure.empty()) ReadFinalState();
    report->faults = faults_->outcomes();
    report->operations = operations_->outcomes();
  }
  absl::StatusOr<std::vector<HistoryEvent>> events = fleet_->TakeHistory();
  if (!events.ok()) {
    if (report->failure.empty()) report->failure = events.status().ToString();
    return;
  }
  report->trace_hash = fleet_->trace_hash();
  report->behaviour_hash = fleet_->behaviour_hash();
  if (options_.keep_history != nullptr) *options_.keep_history = *events;
  const RecordedHistory history(*std::move(events));
  ExamineHistory(scenario_, history, report);
}

std::string ScenarioRun::Impl::Prepare() {
  mix_ = PlanTraffic(scenario_);
  configuration_ = emulator::ConfigurationFor(mix_, scenario_.worker.block_tokens);
  const absl::Status started = fleet_->Start();
  if (!started.ok()) return "the fleet did not start: " + started.ToString();
  CreateLoadAndOperators();
  inventory_->Publish(fleet_->processes());
  // Gateways become ready only after the first configuration.
  std::string failure = WaitUntilReady([](Role role) { return role != Role::kGateway; });
  if (failure.empty()) failure = ApplyConfiguration();
  if (failure.empty()) failure = WaitUntilReady([](Role role) { return role == Role::kGateway; });
  return failure;
}

std::string ScenarioRun::Impl::WaitUntilReady(const std::function<bool(Role)>& includes_role) {
  std::vector<ProcessInfo> awaited;
  for (const ProcessInfo& process : fleet_->processes()) {
    if (includes_role(process.role)) awaited.push_back(process);
  }
  ReadinessWatch readiness(control_.get(), fleet_->runtime());
  readiness.Start(awaited);
  if (RunUntil([&] { return readiness.AllReady(); }, kReadyLimit)) return "";
  const std::string failure = fleet_->Failure();
  return failure.empty() ? "not ready in time: " + readiness.NotReady() : failure;
}

void ScenarioRun::Impl::CreateLoadAndOperators() {
  runtime::Runtime* runtime = fleet_->runtime();
  control_ = std::make_unique<ProcessControlClient>(runtime);
  inventory_ = std::make_unique<InventoryPublisher>(control_.get(), &scenario_);
  leader_watch_ = std::make_unique<LeaderWatch>(control_.get(), runtime, fleet_);
  operators_client_ =
      std::make_unique<ResponseDroppingClient>(runtime->http_client, runtime->random);
  operators_runtime_ = *runtime;
  operators_runtime_.http_client = operators_client_.get();
  const auto make_operator = [&](const std::string& name, runtime::Duration rotation,
                                 runtime::Duration reads) {
    return std::make_unique<emulator::OperatorEmulator>(
        &operators_runtime_, OperatorNamed(name, rotation, reads), fleet_->recorder());
  };
  first_operator_ = make_operator("operator-1", {}, kReadInterval);
  second_operator_ = make_operator("operator-2", {}, {});
  rotating_operator_ = make_operator("operator-3", kRotationInterval, {});
  emulator::CallerLoadOptions load;
  load.mix = mix_;
  load_ = std::make_unique<emulator::CallerLoad>(runtime, load, fleet_->recorder());
  emulator::KeyProbeOptions probe;
  probe.tenant = kProbeTenant;
  probe.model = scenario_.models.front();
  probe.newest_generation = [this] { return rotating_operator_->newest_generation(); };
  probe_ = std::make_unique<emulator::KeyProbe>(runtime, probe, fleet_->recorder());
  faults_ = std::make_unique<FaultInjector>(FaultInjector::Environment{
      fleet_, control_.get(), operators_client_.get(), [this] { return leader_watch_->leader(); },
      [this] { OnProcessesChanged(); }});
  operations_ = std::make_unique<OperationRunner>(OperationRunner::Environment{
      fleet_, control_.get(), inventory_.get(), first_operator_.get(), second_operator_.get(),
      rotating_operator_.get(), configuration_, scenario_.models.front()});
  OnProcessesChanged();
}

void ScenarioRun::Impl::OnProcessesChanged() {
  const std::vector<ProcessInfo> processes = fleet_->processes();
  const std::vector<std::string> gateways = EndpointsOf(processes, {Role::kGateway});
  const std::vector<std::string> nodes =
      EndpointsOf(processes, {Role::kGateway, Role::kController});
  load_->SetGateways(gateways);
  probe_->SetGateways(gateways);
  for (const auto& client : {&first_operator_, &second_operator_, &rotating_operator_}) {
    (*client)->SetNodes(nodes);
  }
  inventory_->Publish(processes);
}

std::string ScenarioRun::Impl::ApplyConfiguration() {
  bool done = false;
  emulator::ChangeOutcome outcome;
  first_operator_->PatchConfiguration(InitialPatch(configuration_), 0, InitialDetail(mix_),
                                      [&](const emulator::ChangeOutcome& result) {
                                        outcome = result;
                                        done = true;
                                      });
  if (!RunUntil([&] { return done; }, kConfigurationLimit)) {
    return "the configuration was not acknowledged in time";
  }
  if (!outcome.acknowledged) return "the configuration was rejected: " + outcome.code;
  return "";
}

std::string ScenarioRun::Impl::DriveLoad() {
  first_operator_->Start();
  load_->Start();
  probe_->Start();
  faults_->Start(scenario_.faults);
  if (scenario_.chaos) {
    faults_->StartChaos(DrawChaos(*scenario_.chaos, fleet_->runtime()->random));
  }
  operations_->Start(scenario_.operations);
  for (runtime::Duration elapsed{}; elapsed < scenario_.duration; elapsed += kProgressInterval) {
    fleet_->RunFor(std::min(kProgressInterval, scenario_.duration - elapsed));
    ReportProgress(elapsed + kProgressInterval);
    if (Interrupted()) return "interrupted";
    if (std::string failure = fleet_->Failure(); !failure.empty()) return failure;
  }
  return "";
}

void ScenarioRun::Impl::ReportProgress(runtime::Duration elapsed) {
  if (!options_.on_progress) return;
  const emulator::CallerLoadCounts counts = load_->counts();
  options_.on_progress(fmt::format(
      "{:>4.0f} s  sent {}  completed {}  refused {}  unknown {}  in flight {}  faults {}",
      std::chrono::duration<double>(elapsed).count(), counts.sent, counts.completed, counts.refused,
      counts.unknown, counts.in_flight, faults_->outcomes().size()));
}

std::string ScenarioRun::Impl::EndLoad() {
  operations_->Stop();
  faults_->EndAll();
  probe_->SetGateways({});
  int pending = 0;
  const auto ended = [&pending] { --pending; };
  pending = 4;
  load_->Stop(ended);
  first_operator_->Stop(ended);
  second_operator_->Stop(ended);
  rotating_operator_->Stop(ended);
  const bool ended_in_time = RunUntil([&] { return pending == 0; }, kLoadEndLimit);
  // Waits for the probes in flight: they would be cancelled in a nondeterministic order, which
  // would give one seed different traces.
  fleet_->RunFor(kProbeDrainTime);
  probe_->Stop();
  if (ended_in_time) return "";
  // Destroyed so that no callback accesses `pending` after this function returns.
  load_.reset();
  first_operator_.reset();
  second_operator_.reset();
  rotating_operator_.reset();
  return "calls or changes did not end in time";
}

// Reads each node's final state, which must contain every acknowledged change.
void ScenarioRun::Impl::ReadFinalState() {
  auto reader = std::make_unique<emulator::OperatorEmulator>(
      fleet_->runtime(), OperatorNamed("final-reader", {}, {}), fleet_->recorder());
  size_t pending = 0;
  for (const std::string& node :
       EndpointsOf(fleet_->processes(), {Role::kGateway, Role::kController})) {
    ++pending;
    reader->ReadState(node, [&pending](bool) { --pending; });
  }
  RunUntil([&] { return pending == 0; }, kFinalReadLimit);
}

bool ScenarioRun::Impl::RunUntil(const std::function<bool()>& condition, runtime::Duration limit) {
  for (runtime::Duration waited{}; waited < limit; waited += kRunStep) {
    if (condition()) return true;
    if (Interrupted() || !fleet_->Failure().empty()) return false;
    fleet_->RunFor(kRunStep);
  }
  return condition();
}

ScenarioRun::ScenarioRun(const Scenario* scenario, Fleet* fleet, ScenarioRunOptions options)
    : impl_(std::make_unique<Impl>(scenario, fleet, std::move(options))) {}

ScenarioRun::~ScenarioRun() = default;

void ScenarioRun::Run(ScenarioReport* report) { impl_->Run(report); }

}  // namespace posthatch::fleettest
