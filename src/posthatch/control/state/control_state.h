#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/configuration_history.h"
#include "posthatch/control/state/delivery_records.h"
#include "posthatch/control/state/evacuation_set.h"
#include "posthatch/control/state/inventory_state.h"
#include "posthatch/control/state/isolation_registry.h"
#include "posthatch/control/state/model_revisions.h"
#include "posthatch/control/state/object_versions.h"
#include "posthatch/control/state/request_records.h"
#include "posthatch/control/state/section_deltas.h"
#include "posthatch/control/state/traffic_state.h"
#include "posthatch/control/state/worker_lease_table.h"
#include "posthatch/invalidation/object_source.h"

namespace posthatch::control {

// The replicated control state: the result of all commands of the log (control.proto, Command).
// Deterministic: equal commands at equal log indices give equal states and results on every
// controller, and time comes only from the commands. One per controller, on its event loop thread;
// outlives the log.
//
// Each part (configuration history, isolation, revisions, ...) is a class of its own that validates
// and applies its commands. This class dispatches to them, recognises resent requests, and keeps
// the sections that gateways receive (FleetState) and the object versions up to date.
class ControlState : public consensus::StateMachine, public invalidation::ObjectSource {
 public:
  using SectionListener = std::function<void()>;

  // consensus::StateMachine. `command` is a serialized Command; returns a serialized CommandResult.
  std::string Apply(uint64_t index, uint64_t term, const std::string& command) override;
  std::string TakeSnapshot() const override;
  // DataLoss if `snapshot` can't be parsed.
  absl::Status RestoreSnapshot(const std::string& snapshot) override;

  // invalidation::ObjectSource.
  std::vector<invalidation::RegisteredObject> Objects() const override {
    return objects_.Objects();
  }
  bool Find(const std::string& object, invalidation::ObjectVersion* version) const override {
    return objects_.Find(object, version);
  }
  void AddListener(Listener listener) override { objects_.AddListener(std::move(listener)); }

  // The sections on which gateways base their decisions, as of the last applied command.
  const FleetState& fleet() const { return fleet_; }
  const ConfigurationHistory& history() const { return history_; }
  const WorkerLeaseTable& worker_leases() const { return leases_; }
  const EvacuationSet& evacuations() const { return evacuations_; }
  // The traffic configuration in force, including the entries' sources.
  const TrafficConfiguration& traffic() const { return traffic_.newest(); }
  // Recent changes of the inventory and traffic sections, for messages to gateways.
  const SectionDeltas& deltas() const { return deltas_; }
  // Control time of the last delivery command, in ms (see DeliveryRecords).
  int64_t delivery_now_ms() const { return deliveries_.now_ms(); }
  // Called after a command that changed a section of fleet(), and after a restore.
  void SetSectionListener(SectionListener listener) { section_listener_ = std::move(listener); }

 private:
  // Returns the first result for a resent request.
  CommandResult ApplyCommand(uint64_t index, const Command& command);
  CommandResult Dispatch(uint64_t index, const Command& command);
  CommandResult ApplyConfiguration(uint64_t index, const Command& command);
  CommandResult ApplyTraffic(uint64_t index, const ChangeTraffic& change);
  CommandResult ApplyRevision(uint64_t index, const Command& command);
  CommandResult ApplyEvacuation(uint64_t index, const SetEvacuation& command);
  CommandResult ApplyInventory(uint64_t index, const SetInventory& command);
  CommandResult ApplyWorkerLeases(uint64_t index, const GrantWorkerLeases& command);

  // The Update functions bring the sections of fleet_ and the object versions up to date after a
  // change; `index` is the log index of the change.
  void UpdateIsolation(uint64_t index);
  void UpdateTrafficSection(uint64_t index, const ChangeTraffic& change);
  void UpdateTrafficObjects(uint64_t index);
  void UpdateInventoryObjects(const InventoryState::Change& change);
  void UpdateRevisionsSection(uint64_t index);
  int64_t DeliveryWindowMs() const;

  ConfigurationHistory history_;
  IsolationRegistry isolation_;
  ModelRevisions revisions_;
  EvacuationSet evacuations_;
  InventoryState inventory_;
  WorkerLeaseTable leases_;
  DeliveryRecords deliveries_;
  ObjectVersions objects_;
  RequestRecords requests_;
  TrafficState traffic_;
  SectionDeltas deltas_;  // not replicated
  FleetState fleet_;

  SectionListener section_listener_;
  bool sections_changed_ = false;  // whether the command being applied changed a section
};

}  // namespace posthatch::control
