#include "posthatch/fleettest/operation_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "posthatch/emulator/traffic_mix.h"
#include "posthatch/fleettest/scenario_names.h"
#include "posthatch/fleettest/target_resolver.h"
#include "posthatch/util/string_view.h"

namespace posthatch::fleettest {

namespace {

// A tenant without keys. Configuration changes without effect on traffic set its label.
constexpr const char* kLabelledTenant = "rehearsal-notes";
constexpr const char* kIsolatedLabel = "isolated";

// The version in the body of GET /admin/v1/configuration; 0 if it names none.
uint64_t VersionIn(const std::string& body) {
  boost::system::error_code error;
  const boost::json::value document = boost::json::parse(body, error);
  if (error || !document.is_object()) return 0;
  const boost::json::value* version = document.get_object().if_contains("version");
  if (version == nullptr) return 0;
  const uint64_t number = version->to_number<uint64_t>(error);
  return error ? 0 : number;
}

control::ConfigurationPatch LabelPatch(const std::string& label) {
  control::ConfigurationPatch patch;
  control::Tenant* tenant = patch.mutable_upsert()->add_tenants();
  tenant->set_name(kLabelledTenant);
  (*tenant->mutable_labels())["note"] = label;
  return patch;
}

}  // namespace

control::ConfigurationPatch InitialPatch(const control::Configuration& configuration) {
  control::ConfigurationPatch patch;
  *patch.mutable_upsert() = configuration;
  return patch;
}

std::string InitialDetail(const emulator::TrafficMix& mix) {
  std::string detail;
  for (const emulator::TenantTraffic& tenant : mix.tenants) {
    detail += fmt::format("accept={} ", tenant.key_id);
    if (tenant.isolated) detail += fmt::format("isolate={} ", tenant.name);
  }
  return detail;
}

OperationRunner::OperationRunner(Environment environment) : environment_(std::move(environment)) {}

void OperationRunner::Start(const std::vector<Operation>& operations) {
  runtime::Runtime* runtime = environment_.fleet->runtime();
  started_ = runtime->clock->Now();
  for (const Operation& operation : operations) {
    for (uint32_t repetition = 0; repetition < operation.repeat; ++repetition) {
      timers_.push_back(std::make_unique<runtime::Timer>(runtime->timers));
      timers_.back()->Start(operation.at + operation.every * repetition,
                            [this, operation] { Execute(operation); });
    }
  }
}

void OperationRunner::Execute(const Operation& operation) {
  switch (operation.kind) {
    case OperationKind::kConfigurationChange:
      return ChangeConfiguration();
    case OperationKind::kRacingChange:
      return StartRacingChange();
    case OperationKind::kKeyRotation:
      if (!std::exchange(rotating_, true)) environment_.rotating_operator->Start();
      return AddOutcome(operation.kind, "", "rotation started");
    case OperationKind::kEvacuate:
    case OperationKind::kLift:
      // The evacuation is named after its zone, by which the checks find it.
      return environment_.first_operator->Evacuate(operation.zone, operation.zone,
                                                   operation.kind == OperationKind::kLift,
                                                   ReportOutcome(operation, operation.zone));
    case OperationKind::kDrainMark:
      return SetDrainMark(operation);
    case OperationKind::kModelRevision:
      return ChangeModelRevision(operation.model.empty() ? environment_.first_model
                                                         : operation.model);
    case OperationKind::kIsolationChange:
      return ChangeIsolation(operation);
  }
}

void OperationRunner::ChangeConfiguration() {
  Operation operation;
  const std::string label = fmt::format("change-{}", ++changes_);
  environment_.first_operator->PatchConfiguration(LabelPatch(label), 0, "",
                                                  ReportOutcome(operation, label));
}

// Reads the newest version, which both operators then send as the expected version.
void OperationRunner::StartRacingChange() {
  std::vector<std::string> nodes;
  for (const ProcessInfo& process : environment_.fleet->processes()) {
    if (process.role == Role::kGateway) nodes.push_back(process.http_endpoint);
  }
  const std::string& node = nodes[environment_.fleet->runtime()->random->Uniform(nodes.size())];
  environment_.control->Get(
      node, "/admin/v1/configuration", [this](const absl::Status& status, const std::string& body) {
        const uint64_t version = status.ok() ? VersionIn(body) : 0;
        if (version > 0) return SendRacingChanges(version);
        AddOutcome(OperationKind::kRacingChange, "", "skipped: the newest version isn't known");
      });
}

void OperationRunner::SendRacingChanges(uint64_t version) {
  Operation operation;
  operation.kind = OperationKind::kRacingChange;
  const std::string label = fmt::format("race-{}", ++changes_);
  environment_.first_operator->PatchConfiguration(LabelPatch(label + "-first"), version, "",
                                                  ReportOutcome(operation, label + "-first"));
  environment_.second_operator->PatchConfiguration(LabelPatch(label + "-second"), version, "",
                                                   ReportOutcome(operation, label + "-second"));
}

void OperationRunner::SetDrainMark(const Operation& operation) {
  Target target;
  target.role = operation.backend == "random" ? Role::kWorker : Role::kAny;
  target.name = operation.backend;
  const auto backends = ResolveTarget(target, environment_.fleet->processes(), "",
                                      environment_.fleet->runtime()->random);
  if (backends.empty()) {
    return AddOutcome(operation.kind, operation.backend, "skipped: no such back end");
  }
  const std::string& name = backends.front().name;
  environment_.inventory->SetDraining(
      name, operation.draining,
      [this, name, operation](const absl::Status& status, const std::string& /*body*/) {
        AddOutcome(
            operation.kind, name,
            status.ok() ? "marked" : "failed: " + std::string(util::ToStd(status.message())));
      });
}

void OperationRunner::ChangeModelRevision(const std::string& model) {
  Operation operation;
  operation.kind = OperationKind::kModelRevision;
  environment_.first_operator->SetModelRevision(model, fmt::format("weights-{}", ++revisions_),
                                                ReportOutcome(operation, model));
}

void OperationRunner::ChangeIsolation(const Operation& operation) {
  control::ConfigurationPatch patch;
  auto* tenants = environment_.configuration.mutable_tenants();
  const auto found = std::find_if(tenants->begin(), tenants->end(), [&](const auto& tenant) {
    return operation.tenant.empty() || tenant.name() == operation.tenant;
  });
  if (found == tenants->end()) {
    return AddOutcome(operation.kind, operation.tenant, "skipped: no such tenant");
  }
  (*found->mutable_labels())[kIsolatedLabel] = operation.isolated ? "yes" : "no";
  *patch.mutable_upsert()->add_tenants() = *found;
  const std::string detail =
      fmt::format("{}={}", operation.isolated ? "isolate" : "share", found->name());
  environment_.first_operator->PatchConfiguration(patch, 0, detail,
                                                  ReportOutcome(operation, detail));
}

emulator::OperatorEmulator::ChangeDone OperationRunner::ReportOutcome(const Operation& operation,
                                                                      const std::string& target) {
  return [this, kind = operation.kind, target](const emulator::ChangeOutcome& outcome) {
    if (outcome.acknowledged) {
      AddOutcome(kind, target, fmt::format("acknowledged as {}", outcome.version));
    } else {
      AddOutcome(kind, target, outcome.refused ? "refused: " + outcome.code : "no response");
    }
  };
}

void OperationRunner::AddOutcome(OperationKind kind, const std::string& target,
                                 const std::string& result) {
  const runtime::Duration since = environment_.fleet->runtime()->clock->Now() - started_;
  outcomes_.push_back({std::string(ToName(kOperationKindNames, kind)), target,
                       std::chrono::duration<double>(since).count(), result});
}

}  // namespace posthatch::fleettest
