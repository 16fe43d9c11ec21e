#include "posthatch/consensus/raft_replica.h"

#include "absl/strings/str_cat.h"

namespace posthatch::consensus {

using runtime::Severity;

namespace {

// Checks of time-outs per heartbeat interval.
constexpr int kTicksPerHeartbeat = 4;
// Heartbeat intervals by which a tick must be late to be traced.
constexpr int kReportedTickDelayInHeartbeats = 2;

BootstrapOptions MakeBootstrapOptions(const ReplicaOptions& options) {
  BootstrapOptions bootstrap;
  bootstrap.expect = options.bootstrap_expect;
  bootstrap.bootstrap_voters = options.bootstrap_voters;
  bootstrap.target_voters = options.raft.target_voters;
  bootstrap.peers = options.peers;
  return bootstrap;
}

}  // namespace

RaftReplica::RaftReplica(runtime::Runtime* runtime, ReplicaOptions options,
                         StateMachine* state_machine)
    : runtime_(runtime),
      options_(std::move(options)),
      state_machine_(state_machine),
      pending_requests_(&metrics_),
      disk_health_(options_.slow_sync_threshold, options_.slow_sync_min_duration),
      tick_timer_(runtime->timers),
      flush_timer_(runtime->timers) {}

RaftReplica::~RaftReplica() {
  if (core_ == nullptr) return;
  runtime_->transport->SetReceiver(runtime::SERVICE_CONSENSUS, [](const runtime::Envelope&) {});
}

// Startup.

absl::Status RaftReplica::Start() {
  absl::StatusOr<storage::RecoveredDirectory> directory =
      storage::RecoverDirectory(runtime_->file_system, options_.log.directory);
  if (!directory.ok()) return directory.status();
  log_writer_ = std::make_unique<storage::LogWriter>(
      runtime_->file_system, runtime_->clock, runtime_->timers, options_.log, directory->log);
  RecoveredState recovered = MakeRecoveredState(&*directory);
  if (absl::Status status = RestoreSnapshot(&*directory, &recovered); !status.ok()) return status;
  const storage::HardState hard_state = recovered.hard_state;
  CreateComponents(std::move(recovered));
  log_writer_->Open([this](const absl::Status& status) {
    if (!status.ok()) Fail(status);
  });
  storage::LogBatch first;
  first.hard_state = hard_state;
  log_writer_->Append(std::move(first), [this](const absl::Status& status) {
    status.ok() ? Activate() : Fail(status);
  });
  return absl::OkStatus();
}

// The replica id is chosen at random once per data directory; each start raises the boot count.
RecoveredState RaftReplica::MakeRecoveredState(storage::RecoveredDirectory* directory) {
  RecoveredState recovered;
  recovered.hard_state = directory->log.hard_state;
  while (recovered.hard_state.replica_id() == 0) {
    recovered.hard_state.set_replica_id((*runtime_->random)());
  }
  recovered.hard_state.set_boot_count(recovered.hard_state.boot_count() + 1);
  recovered.base_index = directory->log.base_index;
  recovered.base_term = directory->log.base_term;
  recovered.entries = std::move(directory->log.entries);
  recovered.endpoint = runtime_->transport->endpoint();
  return recovered;
}

absl::Status RaftReplica::RestoreSnapshot(storage::RecoveredDirectory* directory,
                                          RecoveredState* recovered) {
  if (!directory->snapshot.has_value()) return absl::OkStatus();
  recovered->snapshot = std::make_shared<const storage::Snapshot>(*std::move(directory->snapshot));
  return state_machine_->RestoreSnapshot(recovered->snapshot->data);
}

void RaftReplica::CreateComponents(RecoveredState recovered) {
  const uint64_t snapshot_index =
      recovered.snapshot == nullptr ? 0 : recovered.snapshot->metadata.index();
  core_ = std::make_unique<RaftCore>(options_.raft, runtime_->random, std::move(recovered), Now());
  bootstrap_ =
      std::make_unique<Bootstrap>(core_.get(), runtime_->random, MakeBootstrapOptions(options_));
  metrics_.Register(runtime_->metrics);
  snapshots_ = std::make_unique<SnapshotManager>(
      runtime_, &options_, core_.get(), log_writer_.get(), state_machine_, &metrics_,
      static_cast<SnapshotManager::Owner*>(this), snapshot_index);
  leadership_transfer_ = std::make_unique<LeadershipTransfer>(
      runtime_, core_.get(), 2 * options_.raft.election_timeout_max);
  log_writer_->SetSyncObserver([this](runtime::Duration sync_duration) {
    disk_health_.OnSync(sync_duration, Now());
    metrics_.ObserveSync(sync_duration);
  });
  runtime_->trace->Event(Severity::kInfo, "ReplicaRecovered",
                         {{"Replica", core_->replica_id()},
                          {"Term", core_->term()},
                          {"Snapshot", snapshot_index},
                          {"LastIndex", core_->log().last_index()}});
}

// Called when the recovered state, the replica id and the boot count are durable.
void RaftReplica::Activate() {
  active_ = true;
  runtime_->transport->SetReceiver(
      runtime::SERVICE_CONSENSUS,
      [this](const runtime::Envelope& envelope) { OnEnvelope(envelope); });
  Tick();
}

// Event handling.

void RaftReplica::OnEnvelope(const runtime::Envelope& envelope) {
  RaftMessage message;
  if (!active_ || !message.ParseFromString(envelope.payload())) return;
  if (message.from_endpoint().empty()) message.set_from_endpoint(envelope.from_endpoint());
  if (message.has_hello()) {
    bootstrap_->OnHello(message, Now());
  } else {
    core_->Step(message, Now());
  }
  Flush();
}

void RaftReplica::Tick() {
  ObserveTickDelay();
  const runtime::Duration interval = options_.raft.heartbeat_interval / kTicksPerHeartbeat;
  tick_due_at_ = Now() + interval;
  tick_timer_.Start(interval, [this] { Tick(); });
  core_->Tick(Now());
  bootstrap_->Tick(Now());
  CheckDiskHealth();
  leadership_transfer_->Tick();
  Flush();
  metrics_.SetTerm(core_->term());
  metrics_.SetLogBytes(core_->log().bytes());
}

void RaftReplica::ObserveTickDelay() {
  if (!tick_due_at_.has_value()) return;
  const runtime::Duration delay = Now() - *tick_due_at_;
  metrics_.ObserveTickDelay(delay);
  if (delay < kReportedTickDelayInHeartbeats * options_.raft.heartbeat_interval) return;
  runtime_->trace->Event(
      Severity::kWarning, "ReplicaTickDelayed",
      {{"delay_ms", runtime::ToMilliseconds(delay)}, {"leader", core_->IsLeader()}});
}

void RaftReplica::CheckDiskHealth() {
  const runtime::MonotonicTime now = Now();
  disk_health_.Update(log_writer_->InFlightTime(), now);
  const auto p95_us = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(disk_health_.p95()).count());
  core_->SetSyncP95(p95_us);
  if (core_->IsLeader() && disk_health_.IsSlow(now))
    leadership_transfer_->TransferFromSlowDisk(p95_us);
}

// Flushes at the end of the current event loop iteration, so that requests made in one iteration
// are batched.
void RaftReplica::ScheduleFlush() {
  if (!flush_timer_.running()) {
    flush_timer_.Start(runtime::Duration::zero(), [this] { Flush(); });
  }
}

void RaftReplica::Flush() {
  if (!active_) return;
  do {
    Ready ready = core_->TakeReady(Now());
    Persist(&ready);
    SendAll(ready.messages);
    SendAll(bootstrap_->TakeMessages());
    if (ready.install != nullptr) snapshots_->Install(std::move(ready.install));
    Apply(ready.committed);
    pending_requests_.OnReadsConfirmed(ready.reads);
    CheckLeadership();
    snapshots_->TakeIfDue();
  } while (active_ && core_->HasReady(Now()));
}

void RaftReplica::Persist(Ready* ready) {
  if (ready->persist_id == 0) return;
  storage::LogBatch batch{std::move(ready->reset), std::move(ready->entries),
                          std::move(ready->hard_state)};
  log_writer_->Append(std::move(batch),
                      [this, persist_id = ready->persist_id](const absl::Status& status) {
                        if (!active_) return;
                        if (!status.ok()) return Fail(status);
                        core_->OnPersisted(persist_id, Now());
                        Flush();
                      });
}

void RaftReplica::SendAll(const std::vector<OutgoingMessage>& messages) {
  for (const OutgoingMessage& outgoing : messages) {
    runtime_->transport->Send(outgoing.endpoint, runtime::SERVICE_CONSENSUS,
                              outgoing.message.SerializeAsString(), runtime::Delivery::kStream);
  }
}

void RaftReplica::Apply(const std::vector<storage::LogEntry>& entries) {
  for (const storage::LogEntry& entry : entries) {
    std::string result;
    if (entry.type() == storage::LogEntry::COMMAND) {
      result = state_machine_->Apply(entry.index(), entry.term(), entry.data());
    }
    snapshots_->OnApplied(entry.data().size());
    metrics_.CountAppliedEntry();
    pending_requests_.OnApplied(entry, std::move(result), Now());
  }
}

// Requests and state.

void RaftReplica::Propose(std::string command, ProposeDone done) {
  if (!active_) return done(absl::FailedPreconditionError("not leader"));
  if (log_writer_->disk_full()) return done(absl::ResourceExhaustedError("disk full"));
  const absl::StatusOr<uint64_t> index = core_->Propose(std::move(command), Now());
  if (!index.ok()) return done(index.status());
  pending_requests_.AddProposal(*index, core_->term(), Now(), std::move(done));
  ScheduleFlush();
}

void RaftReplica::ReadBarrier(ReadDone done) {
  if (!active_) return done(absl::FailedPreconditionError("not leader"));
  const absl::StatusOr<uint64_t> read_id = core_->RequestRead(Now());
  if (!read_id.ok()) return done(read_id.status());
  pending_requests_.AddRead(*read_id, core_->term(), std::move(done));
  ScheduleFlush();
}

void RaftReplica::TransferLeadership(ReadDone done) {
  if (!active_) return done(absl::FailedPreconditionError("not leader"));
  if (leadership_transfer_->Request(std::move(done))) ScheduleFlush();
}

bool RaftReplica::IsLeader() const { return active_ && core_->IsLeaderReady(); }
uint64_t RaftReplica::term() const { return core_ == nullptr ? 0 : core_->term(); }
uint64_t RaftReplica::applied_index() const {
  return core_ == nullptr ? 0 : core_->applied_index();
}
ReplicaRole RaftReplica::role() const {
  return core_ == nullptr ? ReplicaRole::kUnbootstrapped : core_->role();
}
std::string RaftReplica::leader_endpoint() const {
  return core_ == nullptr ? std::string() : core_->LeaderEndpoint();
}
bool RaftReplica::HasQuorumNow() const { return active_ && core_->HasQuorum(Now()); }

void RaftReplica::SetLeadershipListener(LeadershipListener listener) {
  leadership_listener_ = std::move(listener);
}

ReplicaStatus RaftReplica::Status() const {
  ReplicaStatus status;
  if (core_ != nullptr) {
    status = StatusOf(*core_, Now());
    status.snapshot_index = snapshots_->snapshot_index();
    status.log_segments = log_writer_->segment_count();
    status.disk_sync_p95 = disk_health_.p95();
    status.disk_full = log_writer_->disk_full();
  }
  status.failure = failure_;
  return status;
}

// Leadership changes.

// Notifies the listener of leadership won or lost, and fails the pending requests of an ended term.
void RaftReplica::CheckLeadership() {
  const bool same_leadership = core_->IsLeader() && core_->term() == pending_requests_.term();
  if (!same_leadership) {
    pending_requests_.FailAll(
        absl::AbortedError("leadership lost; the command may still be committed"));
  }
  if (announced_leader_ && (!core_->IsLeader() || core_->term() != announced_term_)) {
    AnnounceLeadershipLost();
  }
  if (!announced_leader_ && core_->IsLeaderReady()) AnnounceLeadershipWon();
}

void RaftReplica::AnnounceLeadershipLost() {
  announced_leader_ = false;
  metrics_.SetIsLeader(false);
  runtime_->trace->Event(Severity::kInfo, "LeadershipLost", {{"Term", announced_term_}});
  if (leadership_listener_) leadership_listener_(false, announced_term_);
}

void RaftReplica::AnnounceLeadershipWon() {
  announced_leader_ = true;
  announced_term_ = core_->term();
  metrics_.SetIsLeader(true);
  metrics_.CountElectionWon();
  runtime_->trace->Event(Severity::kInfo, "LeadershipWon",
                         {{"Term", announced_term_}, {"Replica", core_->replica_id()}});
  if (leadership_listener_) leadership_listener_(true, announced_term_);
}

// Stops the replica permanently: it no longer sends, votes or acknowledges.
void RaftReplica::Fail(const absl::Status& status) {
  if (!failure_.ok()) return;
  failure_ = status;
  active_ = false;
  snapshots_->Stop();
  tick_timer_.Cancel();
  runtime_->trace->Event(Severity::kError, "ReplicaFailed", {{"Error", status.ToString()}});
  pending_requests_.FailAll(
      absl::AbortedError(absl::StrCat("replica failed: ", status.ToString())));
  if (std::exchange(announced_leader_, false) && leadership_listener_) {
    leadership_listener_(false, announced_term_);
  }
  if (failure_listener_) failure_listener_(status);
}

}  // namespace posthatch::consensus
