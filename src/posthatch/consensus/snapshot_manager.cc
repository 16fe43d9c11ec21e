#include "posthatch/consensus/snapshot_manager.h"

#include <utility>

namespace posthatch::consensus {

using runtime::Severity;

namespace {

constexpr runtime::Duration kRetryInterval = std::chrono::seconds(5);

}  // namespace

SnapshotManager::SnapshotManager(runtime::Runtime* runtime, const ReplicaOptions* options,
                                 RaftCore* core, storage::LogWriter* log_writer,
                                 StateMachine* state_machine, ReplicaMetrics* metrics, Owner* owner,
                                 uint64_t recovered_index)
    : runtime_(runtime),
      options_(options),
      core_(core),
      log_writer_(log_writer),
      state_machine_(state_machine),
      metrics_(metrics),
      owner_(owner),
      snapshot_writer_(runtime->file_system, options->log.directory),
      install_retry_timer_(runtime->timers),
      snapshot_index_(recovered_index) {
  snapshot_writer_.SetPrevious(recovered_index);
}

// Taking snapshots.

bool SnapshotManager::IsDue(uint64_t applied_index) const {
  if (applied_index - snapshot_index_ >= options_->snapshot_every_entries) return true;
  return applied_bytes_ >= options_->snapshot_every_bytes && applied_index > snapshot_index_;
}

void SnapshotManager::TakeIfDue() {
  const uint64_t index = core_->applied_index();
  if (!IsDue(index) || stopped_ || snapshot_writer_.busy() || installing_ != nullptr ||
      Now() < next_attempt_at_) {
    return;
  }
  auto snapshot = std::make_shared<storage::Snapshot>();
  snapshot->metadata.set_index(index);
  snapshot->metadata.set_term(core_->log().Term(index).value_or(0));
  snapshot->metadata.set_configuration(core_->ConfigurationAt(index).SerializeAsString());
  snapshot->data = state_machine_->TakeSnapshot();
  snapshot_index_ = index;
  applied_bytes_ = 0;
  snapshot_writer_.Write(*snapshot, [this, snapshot](const absl::Status& status) {
    OnSnapshotWritten(snapshot, status);
  });
}

void SnapshotManager::OnSnapshotWritten(const std::shared_ptr<const storage::Snapshot>& snapshot,
                                        const absl::Status& status) {
  if (stopped_) return;
  if (status.ok()) {
    metrics_->CountSnapshot();
    core_->OnSnapshotTaken(snapshot, {options_->retained_entries, options_->retained_bytes}, Now());
    log_writer_->RemovePrefix(core_->log().base_index());
  } else {
    // The replica does not fail: the log grows until a later attempt succeeds.
    runtime_->trace->Event(Severity::kWarning, "SnapshotFailed", {{"Error", status.ToString()}});
    snapshot_index_ = core_->log().base_index();
    next_attempt_at_ = Now() + kRetryInterval;
  }
  if (installing_ != nullptr) WriteInstalling();
}

// Installing snapshots.

void SnapshotManager::Install(std::shared_ptr<const storage::Snapshot> snapshot) {
  installing_ = std::move(snapshot);
  WriteInstalling();
}

void SnapshotManager::WriteInstalling() {
  if (snapshot_writer_.busy()) return;  // OnSnapshotWritten calls this again
  snapshot_writer_.Write(*installing_,
                         [this](const absl::Status& status) { OnInstallWritten(status); });
}

void SnapshotManager::OnInstallWritten(const absl::Status& status) {
  if (stopped_) return;
  if (absl::IsResourceExhausted(status)) {
    install_retry_timer_.Start(kRetryInterval, [this] { WriteInstalling(); });
    return;
  }
  if (!status.ok()) return owner_->OnSnapshotFailed(status);
  const std::shared_ptr<const storage::Snapshot> snapshot = std::exchange(installing_, nullptr);
  if (snapshot->metadata.index() > core_->applied_index()) {
    const absl::Status restored = state_machine_->RestoreSnapshot(snapshot->data);
    if (!restored.ok()) return owner_->OnSnapshotFailed(restored);
    snapshot_index_ = snapshot->metadata.index();
    applied_bytes_ = 0;
    runtime_->trace->Event(Severity::kInfo, "SnapshotInstalled", {{"Index", snapshot_index_}});
  }
  core_->OnSnapshotInstalled(snapshot, Now());
  owner_->OnSnapshotInstalled();
}

}  // namespace posthatch::consensus
