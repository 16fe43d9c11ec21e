#include "posthatch/control/state/control_state.h"

#include <utility>

#include "absl/status/status.h"
#include "posthatch/control/state/fingerprint.h"

namespace posthatch::control {
namespace {

constexpr size_t kMaxRequestIdLength = 128;

// Commands whose answers are kept for resends. The others are safe by themselves: a delivery's
// commands by their attempt, the leader's own by what they say.
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

// Equal for a resend: everything but the id itself.
std::string ContentHash(const Command& command) {
  Command content = command;
  content.clear_request_id();
  return ToHex(FingerprintOf(SerializeDeterministically(content)));
}

CommandResult Reject(const std::string& error) {
  CommandResult result;
  result.set_code(CommandResult::INVALID);
  result.add_errors(error);
  return result;
}

}  // namespace

std::string ControlState::Apply(uint64_t index, uint64_t /*term*/, const std::string& command) {
  changed_objects_.clear();
  sections_changed_ = false;
  Command parsed;
  CommandResult result = parsed.ParseFromString(command) ? ApplyCommand(index, parsed)
                                                         : Reject("the command can't be read");
  NotifyListeners();
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
  requests_.Record(command.request_id(), hash, result);
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
      return ApplyObservation(command.observe_object());
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
    EnsureObject("model/" + model.name());
  }
  return result;
}

void ControlState::UpdateIsolation(uint64_t index) {
  std::vector<IsolationRegistry::TenantStatus> tenants =
      IsolationRegistry::EvaluateTenants(fleet_.configuration());
  for (const TrafficTenant& tenant : fleet_.traffic().tenants()) {
    tenants.push_back({tenant.name(), tenant.isolated()});
  }
  const std::vector<std::string> changed = isolation_.Update(index, tenants);
  FleetState next;
  isolation_.Save(next.mutable_isolation());
  for (const TenantIsolation& domain : next.isolation()) {
    if (objects_.RaiseEpoch("tenant/" + domain.tenant(), domain.generation())) {
      changed_objects_.push_back("tenant/" + domain.tenant());
    }
  }
  FleetState before;
  *before.mutable_isolation() = fleet_.isolation();
  if (changed.empty() && SerializeDeterministically(before) == SerializeDeterministically(next)) {
    return;
  }
  fleet_.mutable_isolation()->Swap(next.mutable_isolation());
  fleet_.set_isolation_index(index);
}

CommandResult ControlState::ApplyTraffic(uint64_t index, const ChangeTraffic& change) {
  bool changed = false;
  CommandResult result = traffic_.Apply(change, &changed);
  if (!changed) return result;
  *fleet_.mutable_traffic() = traffic_.newest();
  StripSources(fleet_.mutable_traffic());
  if (change.has_patch()) {
    TrafficPatch patch = change.patch();
    StripSources(patch.mutable_upsert());
    patch.mutable_upsert()->set_version(change.version());
    deltas_.RecordTrafficDelta(fleet_.traffic_index(), index, patch);
  } else {
    deltas_.ClearTraffic();
  }
  fleet_.set_traffic_index(index);
  sections_changed_ = true;
  UpdateIsolation(index);
  bool new_model = false;
  for (const TrafficService& service : fleet_.traffic().services()) {
    for (const std::string& model : service.engine().models()) {
      if (!revisions_.EnsureFirstRevision(model)) continue;
      new_model = true;
      if (objects_.RaiseEpoch("model/" + model, ModelRevisions::kFirstRevision)) {
        changed_objects_.push_back("model/" + model);
      }
    }
    if (service.has_store()) EnsureObject("store/" + service.name());
  }
  if (new_model) PublishRevisions(index);
  return result;
}

CommandResult ControlState::ApplyRevision(uint64_t index, const Command& command) {
  const SetModelRevision& order = command.set_model_revision();
  CommandResult result =
      order.revision() > 0 ? revisions_.SetNumberedRevision(command.request_id(), order)
                           : revisions_.Apply(command.request_id(), order, fleet_.configuration());
  if (result.code() != CommandResult::OK) return result;
  const std::string object = "model/" + order.model();
  if (objects_.RaiseEpoch(object, result.version())) changed_objects_.push_back(object);
  PublishRevisions(index);
  return result;
}

void ControlState::PublishRevisions(uint64_t index) {
  fleet_.clear_revisions();
  revisions_.Save(fleet_.mutable_revisions());
  fleet_.set_revisions_index(index);
  sections_changed_ = true;
}

CommandResult ControlState::ApplyEvacuation(uint64_t index, const SetEvacuation& order) {
  CommandResult result = evacuations_.Apply(order);
  if (result.code() != CommandResult::OK) return result;
  fleet_.clear_evacuations();
  evacuations_.Save(fleet_.mutable_evacuations());
  fleet_.set_evacuations_index(index);
  sections_changed_ = true;
  return result;
}

CommandResult ControlState::ApplyInventory(uint64_t index, const SetInventory& reading) {
  InventoryState::Change change;
  CommandResult result = inventory_.Apply(reading, &change);
  if (!change.changed) return result;
  for (const Backend& backend : change.appeared) {
    if (backend.kind() == BACKEND_KIND_WORKER) EnsureObject("worker/" + backend.id());
    if (backend.kind() == BACKEND_KIND_STORE) EnsureObject("store/" + backend.id());
    EnsureObject("drain/" + backend.id());
  }
  for (const std::string& backend_id : change.began_drain) {
    objects_.IncrementEpoch("drain/" + backend_id);
    changed_objects_.push_back("drain/" + backend_id);
  }
  deltas_.RecordInventoryDelta(fleet_.inventory_index(), index,
                               ComputeDelta(fleet_.inventory(), inventory_.inventory()));
  *fleet_.mutable_inventory() = inventory_.inventory();
  fleet_.set_inventory_index(index);
  sections_changed_ = true;
  return result;
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

CommandResult ControlState::ApplyObservation(const ObserveObject& observation) {
  CommandResult result;
  if (objects_.Observe(observation, &result)) changed_objects_.push_back(observation.object());
  return result;
}

void ControlState::EnsureObject(const std::string& object) {
  if (objects_.Ensure(object)) changed_objects_.push_back(object);
}

int64_t ControlState::DeliveryWindowMs() const {
  const uint32_t window = fleet_.configuration().routing().delivery_window_ms();
  return window == 0 ? DeliveryRecords::kDefaultWindowMs : window;
}

void ControlState::NotifyListeners() {
  for (const std::string& object : changed_objects_) {
    invalidation::ObjectVersion version;
    if (!objects_.Find(object, &version)) continue;
    for (const Listener& listener : object_listeners_) listener(object, version);
  }
  if (sections_changed_ && section_listener_) section_listener_();
}

std::string ControlState::TakeSnapshot() const {
  ControlSnapshot snapshot;
  *snapshot.mutable_fleet() = fleet_;
  deliveries_.Save(&snapshot);
  objects_.Save(snapshot.mutable_objects());
  requests_.Save(&snapshot);
  history_.Save(snapshot.mutable_history());
  traffic_.Save(snapshot.mutable_traffic());
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
  evacuations_.Restore(parsed.fleet().evacuations());
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
