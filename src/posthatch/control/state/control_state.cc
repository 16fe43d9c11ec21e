#include "posthatch/control/state/control_state.h"

#include <utility>

#include "absl/status/status.h"
#include "posthatch/control/state/fingerprint.h"
#include "posthatch/control/state/inventory_delta.h"

namespace posthatch::control {
namespace {

constexpr size_t kMaxRequestIdLength = 128;

// Names of objects with a version (see invalidation.proto).
std::string ModelObject(const std::string& model) { return "model/" + model; }
std::string TenantObject(const std::string& tenant) { return "tenant/" + tenant; }
std::string WorkerObject(const std::string& backend_id) { return "worker/" + backend_id; }
std::string StoreObject(const std::string& name) { return "store/" + name; }
std::string DrainObject(const std::string& backend_id) { return "drain/" + backend_id; }

// Whether a resend of `command` is recognised by its request id. Other commands are idempotent by
// themselves: delivery commands by their attempt, the leader's own commands by their content.
bool IsDeduplicated(const Command& command) {
  switch (command.command_case()) {
    case Command::kChangeConfiguration:
    case Command::kSetModelRevision:
    case Command::kSetEvacuation:
    case Command::kObserveObject:
      return true;
    default:
      return false;
  }
}

// Hash of everything but the request id and the expected version of an evacuation, which a proposer
// renews after a conflict: equal for a resend.
std::string ContentHash(const Command& command) {
  Command content = command;
  content.clear_request_id();
  if (content.has_set_evacuation()) content.mutable_set_evacuation()->clear_expected_version();
  return ToHex(FingerprintOf(SerializeDeterministically(content)));
}

// Whether the command had no effect and its proposer may send it again under the same request id,
// with another expected version.
bool MayBeProposedAgain(const Command& command, const CommandResult& result) {
  return command.has_set_evacuation() && result.code() == CommandResult::VERSION_CONFLICT;
}

CommandResult Reject(const std::string& error) {
  CommandResult result;
  result.set_code(CommandResult::INVALID);
  result.add_errors(error);
  return result;
}

}  // namespace

std::string ControlState::Apply(uint64_t index, uint64_t /*term*/, const std::string& command) {
  sections_changed_ = false;
  Command parsed;
  const CommandResult result = parsed.ParseFromString(command)
                                   ? ApplyCommand(index, parsed)
                                   : Reject("the command can't be read");
  objects_.NotifyListeners();
  if (sections_changed_ && section_listener_) section_listener_();
  return SerializeDeterministically(result);
}

CommandResult ControlState::ApplyCommand(uint64_t index, const Command& command) {
  if (!IsDeduplicated(command)) {
    CommandResult result = Dispatch(index, command);
    result.set_log_index(index);
    return result;
  }
  if (command.request_id().empty() || command.request_id().size() > kMaxRequestIdLength) {
    return Reject("request_id: 1 to 128 characters");
  }
  const std::string hash = ContentHash(command);
  CommandResult result;
  if (requests_.Find(command.request_id(), hash, &result)) return result;
  result = Dispatch(index, command);
  result.set_log_index(index);
  if (!MayBeProposedAgain(command, result)) {
    requests_.Record(command.request_id(), hash, result);
  }
  return result;
}

CommandResult ControlState::Dispatch(uint64_t index, const Command& command) {
  switch (command.command_case()) {
    case Command::kChangeConfiguration:
      return ApplyConfiguration(index, command);
    case Command::kSetModelRevision:
      return ApplyRevision(index, command);
    case Command::kSetEvacuation:
      return ApplyEvacuation(index, command.set_evacuation());
    case Command::kSetInventory:
      return ApplyInventory(index, command.set_inventory());
    case Command::kGrantWorkerLeases:
      return ApplyWorkerLeases(index, command.grant_worker_leases());
    case Command::kDeliveryBegin:
      return deliveries_.Begin(command.delivery_begin(), DeliveryWindowMs());
    case Command::kDeliveryFinish:
      return deliveries_.Finish(command.delivery_finish(), DeliveryWindowMs());
    case Command::kObserveObject:
      return objects_.Observe(command.observe_object());
    case Command::kChangeTraffic:
      return ApplyTraffic(index, command.change_traffic());
    case Command::COMMAND_NOT_SET:
      break;
  }
  return Reject("the command is empty or unknown");
}

CommandResult ControlState::ApplyConfiguration(uint64_t index, const Command& command) {
  CommandResult result =
      history_.Apply(index, command.request_id(), command.change_configuration());
  if (result.code() != CommandResult::OK) return result;
  const ConfigurationVersion& newest = *history_.newest();
  fleet_.set_configuration_version(newest.version());
  fleet_.set_configuration_index(index);
  *fleet_.mutable_configuration() = newest.configuration();
  sections_changed_ = true;
  UpdateIsolation(index);
  for (const Model& model : newest.configuration().models()) {
    objects_.Ensure(ModelObject(model.name()));
  }
  return result;
}

void ControlState::UpdateIsolation(uint64_t index) {
  std::vector<IsolationRegistry::TenantStatus> tenants =
      IsolationRegistry::EvaluateTenants(fleet_.configuration());
  for (const TrafficTenant& tenant : fleet_.traffic().tenants()) {
    tenants.push_back({tenant.name(), tenant.isolated()});
  }
  const std::vector<std::string> changed_domains = isolation_.Update(index, tenants);
  FleetState next;
  isolation_.Save(next.mutable_isolation());
  for (const TenantIsolation& domain : next.isolation()) {
    objects_.RaiseEpoch(TenantObject(domain.tenant()), domain.generation());
  }
  FleetState previous;
  *previous.mutable_isolation() = fleet_.isolation();
  const bool same_section =
      SerializeDeterministically(previous) == SerializeDeterministically(next);
  if (changed_domains.empty() && same_section) return;
  fleet_.mutable_isolation()->Swap(next.mutable_isolation());
  fleet_.set_isolation_index(index);
}

CommandResult ControlState::ApplyTraffic(uint64_t index, const ChangeTraffic& change) {
  bool changed = false;
  CommandResult result = traffic_.Apply(change, &changed);
  if (!changed) return result;
  UpdateTrafficSection(index, change);
  UpdateIsolation(index);
  UpdateTrafficObjects(index);
  return result;
}

void ControlState::UpdateTrafficSection(uint64_t index, const ChangeTraffic& change) {
  *fleet_.mutable_traffic() = traffic_.newest();
  StripSources(fleet_.mutable_traffic());
  if (change.has_patch()) {
    TrafficPatch patch = change.patch();
    StripSources(patch.mutable_upsert());
    patch.mutable_upsert()->set_version(change.version());
    deltas_.RecordTrafficDelta(fleet_.traffic_index(), patch);
  } else {
    deltas_.ClearTraffic();
  }
  fleet_.set_traffic_index(index);
  sections_changed_ = true;
}

void ControlState::UpdateTrafficObjects(uint64_t index) {
  bool any_new_model = false;
  for (const TrafficService& service : fleet_.traffic().services()) {
    for (const std::string& model : service.engine().models()) {
      if (!revisions_.EnsureFirstRevision(model)) continue;
      any_new_model = true;
      objects_.RaiseEpoch(ModelObject(model), ModelRevisions::kFirstRevision);
    }
    if (service.has_store()) objects_.Ensure(StoreObject(service.name()));
  }
  if (any_new_model) UpdateRevisionsSection(index);
}

CommandResult ControlState::ApplyRevision(uint64_t index, const Command& command) {
  const SetModelRevision& change = command.set_model_revision();
  CommandResult result =
      change.revision() > 0
          ? revisions_.SetNumberedRevision(command.request_id(), change)
          : revisions_.Apply(command.request_id(), change, fleet_.configuration());
  if (result.code() != CommandResult::OK) return result;
  objects_.RaiseEpoch(ModelObject(change.model()), result.version());
  UpdateRevisionsSection(index);
  return result;
}

void ControlState::UpdateRevisionsSection(uint64_t index) {
  fleet_.clear_revisions();
  revisions_.Save(fleet_.mutable_revisions());
  fleet_.set_revisions_index(index);
  sections_changed_ = true;
}

CommandResult ControlState::ApplyEvacuation(uint64_t index, const SetEvacuation& command) {
  CommandResult result = evacuations_.Apply(index, command);
  if (result.code() != CommandResult::OK) return result;
  fleet_.clear_evacuations();
  evacuations_.Save(fleet_.mutable_evacuations());
  fleet_.set_evacuations_index(index);
  sections_changed_ = true;
  return result;
}

CommandResult ControlState::ApplyInventory(uint64_t index, const SetInventory& command) {
  InventoryState::Change change;
  CommandResult result = inventory_.Apply(command, &change);
  if (!command.revision_ages().empty()) {
    *fleet_.mutable_revision_ages() = command.revision_ages();
    sections_changed_ = true;
  }
  if (!change.changed) return result;
  UpdateInventoryObjects(change);
  deltas_.RecordInventoryDelta(fleet_.inventory_index(),
                               ComputeDelta(fleet_.inventory(), inventory_.inventory()));
  *fleet_.mutable_inventory() = inventory_.inventory();
  fleet_.set_inventory_index(index);
  sections_changed_ = true;
  return result;
}

void ControlState::UpdateInventoryObjects(const InventoryState::Change& change) {
  for (const Backend& backend : change.added) {
    if (backend.kind() == BACKEND_KIND_WORKER) objects_.Ensure(WorkerObject(backend.id()));
    if (backend.kind() == BACKEND_KIND_STORE) objects_.Ensure(StoreObject(backend.id()));
    objects_.Ensure(DrainObject(backend.id()));
  }
  for (const std::string& backend_id : change.drain_started) {
    objects_.IncrementEpoch(DrainObject(backend_id));
  }
}

CommandResult ControlState::ApplyWorkerLeases(uint64_t index, const GrantWorkerLeases& command) {
  bool changed = false;
  CommandResult result = leases_.Apply(index, command, &changed);
  if (!changed) return result;
  fleet_.clear_leases();
  leases_.Save(fleet_.mutable_leases());
  fleet_.set_leases_index(index);
  sections_changed_ = true;
  return result;
}

int64_t ControlState::DeliveryWindowMs() const {
  const uint32_t window_ms = fleet_.configuration().routing().delivery_window_ms();
  return window_ms == 0 ? DeliveryRecords::kDefaultWindowMs : window_ms;
}

std::string ControlState::TakeSnapshot() const {
  ControlSnapshot snapshot;
  *snapshot.mutable_fleet() = fleet_;
  deliveries_.Save(&snapshot);
  objects_.Save(snapshot.mutable_objects());
  requests_.Save(&snapshot);
  history_.Save(snapshot.mutable_history());
  traffic_.Save(snapshot.mutable_traffic());
  evacuations_.SaveVersions(&snapshot);
  return SerializeDeterministically(snapshot);
}

absl::Status ControlState::RestoreSnapshot(const std::string& snapshot) {
  ControlSnapshot parsed;
  if (!parsed.ParseFromString(snapshot)) {
    return absl::DataLossError("the snapshot of the control state can't be read");
  }
  history_.Restore(parsed.history());
  isolation_.Restore(parsed.fleet().isolation());
  revisions_.Restore(parsed.fleet().revisions());
  evacuations_.Restore(parsed);
  inventory_.Restore(parsed.fleet().inventory());
  leases_.Restore(parsed.fleet().leases());
  deliveries_.Restore(parsed);
  objects_.Restore(parsed.objects());
  requests_.Restore(parsed);
  traffic_.Restore(parsed.traffic());
  deltas_.Clear();
  fleet_ = std::move(*parsed.mutable_fleet());
  if (section_listener_) section_listener_();
  return absl::OkStatus();
}

}  // namespace posthatch::control
