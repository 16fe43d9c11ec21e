#pragma once

#include <cstdint>
#include <functional>
#include <string>
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

// The replicated control state: what the log's commands (control.proto, Command) add up to. Equal
// commands at equal log indices give equal states and answers on every controller; time comes only
// from the commands. One per controller, on its event loop thread; must outlive the log.
class ControlState : public consensus::StateMachine, public invalidation::ObjectSource {
 public:
  using SectionListener = std::function<void()>;

  // consensus::StateMachine. The answer is a serialized CommandResult.
  std::string Apply(uint64_t index, uint64_t term, const std::string& command) override;
  std::string TakeSnapshot() const override;
  absl::Status RestoreSnapshot(const std::string& snapshot) override;

  // invalidation::ObjectSource.
  std::vector<invalidation::RegisteredObject> Objects() const override { return objects_.All(); }
  bool Find(const std::string& object, invalidation::ObjectVersion* version) const override {
    return objects_.Find(object, version);
  }
  void AddListener(Listener listener) override { object_listeners_.push_back(std::move(listener)); }

  // What the gateways decide by, as of the last applied command.
  const FleetState& fleet() const { return fleet_; }
  const ConfigurationHistory& history() const { return history_; }
  const WorkerLeaseTable& worker_leases() const { return leases_; }
  // The traffic configuration in force, with the entries as the operators wrote them.
  const TrafficConfiguration& traffic() const { return traffic_.newest(); }
  // What changed last, for messages to gateways.
  const SectionDeltas& deltas() const { return deltas_; }
  // Control time of the last delivery command (see DeliveryRecords).
  int64_t delivery_now_ms() const { return deliveries_.now_ms(); }
  // Called after a command that changed a section of fleet(), or a restore.
  void SetSectionListener(SectionListener listener) { section_listener_ = std::move(listener); }

 private:
  CommandResult ApplyCommand(uint64_t index, const Command& command);
  CommandResult Dispatch(uint64_t index, const Command& command);
  CommandResult ApplyConfiguration(uint64_t index, const Command& command);
  CommandResult ApplyTraffic(uint64_t index, const ChangeTraffic& change);
  CommandResult ApplyRevision(uint64_t index, const Command& command);
  CommandResult ApplyEvacuation(uint64_t index, const SetEvacuation& order);
  CommandResult ApplyInventory(uint64_t index, const SetInventory& reading);
  CommandResult ApplyWorkerLeases(uint64_t index, const GrantWorkerLeases& command);
  CommandResult ApplyObservation(const ObserveObject& observation);

  void EnsureObject(const std::string& object);
  void UpdateIsolation(uint64_t index);
  // Puts the newest model revisions into the section that gateways get.
  void PublishRevisions(uint64_t index);
  int64_t DeliveryWindowMs() const;
  // Tells the listeners what the last command changed.
  void NotifyListeners();

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
  SectionDeltas deltas_;
  FleetState fleet_;

  std::vector<Listener> object_listeners_;
  SectionListener section_listener_;
  // Collected while a command is applied.
  std::vector<std::string> changed_objects_;
  bool sections_changed_ = false;
};

}  // namespace posthatch::control
