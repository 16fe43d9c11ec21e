#include "posthatch/consensus/raft_replica.h"

#include <prometheus/registry.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/consensus/cluster_configuration.h"

namespace posthatch::consensus {

using runtime::MonotonicTime;
using runtime::Severity;

namespace {

// Of a heartbeat interval: how often time-outs are looked at.
constexpr int kTicksPerHeartbeat = 4;
constexpr runtime::Duration kSnapshotRetryInterval = std::chrono::seconds(5);
constexpr runtime::Duration kSlowDiskTransferInterval = std::chrono::seconds(10);

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
      snapshot_writer_(runtime->file_system, options_.log.directory),
      disk_health_(options_.slow_sync_threshold, options_.slow_sync_min_duration),
      tick_timer_(runtime->timers),
      flush_timer_(runtime->timers),
      install_retry_timer_(runtime->timers) {}

RaftReplica::~RaftReplica() {
  if (core_ == nullptr) return;
  runtime_->transport->SetReceiver(runtime::SERVICE_CONSENSUS, [](const runtime::Envelope&) {});
}

// ---------------------------------------------------------------------------------- start

absl::Status RaftReplica::Start() {
  absl::StatusOr<storage::RecoveredDirectory> directory =
      storage::RecoverDirectory(runtime_->file_system, options_.log.directory);
  if (!directory.ok()) return directory.status();
  log_writer_ = std::make_unique<storage::LogWriter>(
      runtime_->file_system, runtime_->clock, runtime_->timers, options_.log, directory->log);
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
  if (directory->snapshot.has_value()) {
    auto snapshot = std::make_shared<const storage::Snapshot>(*std::move(directory->snapshot));
    if (absl::Status status = state_machine_->RestoreSnapshot(snapshot->data); !status.ok()) {
      return status;
    }
    snapshot_index_ = snapshot->metadata.index();
    snapshot_writer_.SetPrevious(snapshot_index_);
    recovered.snapshot = std::move(snapshot);
  }
  const storage::HardState hard_state = recovered.hard_state;
  core_ = std::make_unique<RaftCore>(options_.raft, runtime_->random, std::move(recovered), Now());
  bootstrap_ =
      std::make_unique<Bootstrap>(core_.get(), runtime_->random, MakeBootstrapOptions(options_));
  RegisterMetrics();
  log_writer_->SetSyncObserver([this](runtime::Duration sync_duration) {
    disk_health_.OnSync(sync_duration, Now());
    if (sync_seconds_ != nullptr)
      sync_seconds_->Observe(runtime::ToMilliseconds(sync_duration) / 1000);
  });
  runtime_->trace->Event(Severity::kInfo, "ReplicaRecovered",
                         {{"Replica", core_->replica_id()},
                          {"Term", core_->term()},
                          {"Snapshot", snapshot_index_},
                          {"LastIndex", core_->log().last_index()}});
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

// Everything recovered, the identity and the count of this start are durable.
void RaftReplica::Activate() {
  active_ = true;
  runtime_->transport->SetReceiver(
      runtime::SERVICE_CONSENSUS,
      [this](const runtime::Envelope& envelope) { OnEnvelope(envelope); });
  Tick();
}

void RaftReplica::RegisterMetrics() {
  if (runtime_->metrics == nullptr) return;
  prometheus::Registry& registry = *runtime_->metrics;
  const auto counter = [&registry](const char* name, const char* help) {
    return &prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
  };
  const auto gauge = [&registry](const char* name, const char* help) {
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
  };
  const auto histogram = [&registry](const char* name, const char* help) {
    const prometheus::Histogram::BucketBoundaries buckets{0.001, 0.002, 0.005, 0.01, 0.025, 0.05,
                                                          0.1,   0.25,  0.5,   1,    2.5,   10};
    return &prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, buckets);
  };
  committed_total_ = counter("posthatch_raft_committed_total", "Entries applied by this replica");
  leader_changes_total_ =
      counter("posthatch_raft_elections_won_total", "Times this replica became leader");
  snapshots_total_ = counter("posthatch_raft_snapshots_total", "Snapshots made durable");
  commit_seconds_ = histogram("posthatch_raft_commit_seconds",
                              "Time from proposal to the state machine's answer, on the leader");
  sync_seconds_ = histogram("posthatch_raft_sync_seconds", "Time of each log write with its sync");
  is_leader_gauge_ = gauge("posthatch_raft_is_leader", "1 on the leader, else 0");
  term_gauge_ = gauge("posthatch_raft_term", "Current term");
  log_bytes_gauge_ = gauge("posthatch_raft_log_bytes", "Bytes of commands held in memory");
}

// ---------------------------------------------------------------------------------- events

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
  tick_timer_.Start(options_.raft.heartbeat_interval / kTicksPerHeartbeat, [this] { Tick(); });
  core_->Tick(Now());
  bootstrap_->Tick(Now());
  TransferFromSlowDisk();
  CheckTransfer();
  Flush();
  if (term_gauge_ != nullptr) term_gauge_->Set(static_cast<double>(core_->term()));
  if (log_bytes_gauge_ != nullptr) {
    log_bytes_gauge_->Set(static_cast<double>(core_->log().bytes()));
  }
}

// At the end of this turn of the event loop, so that what came in together goes out together.
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
    if (ready.install != nullptr) {
      installing_ = std::move(ready.install);
      InstallSnapshot();
    }
    Apply(ready.committed);
    CompleteReads(ready.reads);
    CheckLeadership();
    MaybeTakeSnapshot();
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
    applied_bytes_ += entry.data().size();
    if (committed_total_ != nullptr) committed_total_->Increment();
    const auto found = proposals_.find(entry.index());
    if (found == proposals_.end()) continue;
    Proposal proposal = std::move(found->second);
    proposals_.erase(found);
    if (proposal.term != entry.term()) {
      proposal.done(absl::AbortedError("another leader's command took its place"));
      continue;
    }
    if (commit_seconds_ != nullptr) {
      commit_seconds_->Observe(runtime::ToMilliseconds(Now() - proposal.started) / 1000);
    }
    proposal.done(std::move(result));
  }
}

void RaftReplica::CompleteReads(const std::vector<uint64_t>& reads) {
  for (uint64_t id : reads) {
    const auto found = reads_.find(id);
    if (found == reads_.end()) continue;
    ReadDone done = std::move(found->second);
    reads_.erase(found);
    done(absl::OkStatus());
  }
}

// ---------------------------------------------------------------------------------- users

void RaftReplica::Propose(std::string command, ProposeDone done) {
  if (!active_) return done(absl::FailedPreconditionError("not leader"));
  if (log_writer_->disk_full()) return done(absl::ResourceExhaustedError("disk full"));
  const absl::StatusOr<uint64_t> index = core_->Propose(std::move(command), Now());
  if (!index.ok()) return done(index.status());
  pending_term_ = core_->term();
  proposals_.emplace(*index, Proposal{core_->term(), Now(), std::move(done)});
  ScheduleFlush();
}

void RaftReplica::ReadBarrier(ReadDone done) {
  if (!active_) return done(absl::FailedPreconditionError("not leader"));
  const absl::StatusOr<uint64_t> id = core_->RequestRead(Now());
  if (!id.ok()) return done(id.status());
  pending_term_ = core_->term();
  reads_.emplace(*id, std::move(done));
  ScheduleFlush();
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
  return core_ == nullptr || core_->leader_id() == 0 ? std::string()
                                                     : core_->EndpointOf(core_->leader_id());
}
bool RaftReplica::HasQuorumNow() const { return active_ && core_->HasQuorum(Now()); }

void RaftReplica::SetLeadershipListener(LeadershipListener listener) {
  leadership_listener_ = std::move(listener);
}

// Tells of leadership won and lost, and ends what was waiting for a leadership that is over.
void RaftReplica::CheckLeadership() {
  const bool same_leadership = core_->IsLeader() && core_->term() == pending_term_;
  if (!same_leadership) FailPending(absl::AbortedError("leadership lost: may still commit"));
  if (announced_leader_ && (!core_->IsLeader() || core_->term() != announced_term_)) {
    announced_leader_ = false;
    if (is_leader_gauge_ != nullptr) is_leader_gauge_->Set(0);
    runtime_->trace->Event(Severity::kInfo, "LeadershipLost", {{"Term", announced_term_}});
    if (leadership_listener_) leadership_listener_(false, announced_term_);
  }
  if (!announced_leader_ && core_->IsLeaderReady()) {
    announced_leader_ = true;
    announced_term_ = core_->term();
    if (is_leader_gauge_ != nullptr) is_leader_gauge_->Set(1);
    if (leader_changes_total_ != nullptr) leader_changes_total_->Increment();
    runtime_->trace->Event(Severity::kInfo, "LeadershipWon",
                           {{"Term", announced_term_}, {"Replica", core_->replica_id()}});
    if (leadership_listener_) leadership_listener_(true, announced_term_);
  }
}

void RaftReplica::FailPending(const absl::Status& status) {
  std::map<uint64_t, Proposal> proposals = std::exchange(proposals_, {});
  std::map<uint64_t, ReadDone> reads = std::exchange(reads_, {});
  for (auto& [index, proposal] : proposals) proposal.done(status);
  for (auto& [id, done] : reads) done(status);
}

// Stops for good: nothing is sent, voted or acknowledged any more.
void RaftReplica::Fail(const absl::Status& status) {
  if (!failure_.ok()) return;
  failure_ = status;
  active_ = false;
  tick_timer_.Cancel();
  runtime_->trace->Event(Severity::kError, "ReplicaFailed", {{"Error", status.ToString()}});
  FailPending(absl::AbortedError(absl::StrCat("replica failed: ", status.ToString())));
  if (std::exchange(announced_leader_, false) && leadership_listener_) {
    leadership_listener_(false, announced_term_);
  }
  if (failure_listener_) failure_listener_(status);
}

// ---------------------------------------------------------------------------------- snapshots

void RaftReplica::MaybeTakeSnapshot() {
  const uint64_t index = core_->applied_index();
  const bool due = index - snapshot_index_ >= options_.snapshot_every_entries ||
                   (applied_bytes_ >= options_.snapshot_every_bytes && index > snapshot_index_);
  if (!due || !active_ || snapshot_writer_.busy() || installing_ != nullptr ||
      Now() < next_snapshot_attempt_at_) {
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

void RaftReplica::OnSnapshotWritten(const std::shared_ptr<const storage::Snapshot>& snapshot,
                                    const absl::Status& status) {
  if (!active_) return;
  if (status.ok()) {
    if (snapshots_total_ != nullptr) snapshots_total_->Increment();
    core_->OnSnapshotTaken(snapshot, {options_.retained_entries, options_.retained_bytes}, Now());
    log_writer_->RemovePrefix(core_->log().base_index());
  } else {
    // The log goes on growing; it is tried again.
    runtime_->trace->Event(Severity::kWarning, "SnapshotFailed", {{"Error", status.ToString()}});
    snapshot_index_ = core_->log().base_index();
    next_snapshot_attempt_at_ = Now() + kSnapshotRetryInterval;
  }
  if (installing_ != nullptr) InstallSnapshot();
}

void RaftReplica::InstallSnapshot() {
  if (snapshot_writer_.busy()) return;  // OnSnapshotWritten comes back here
  snapshot_writer_.Write(*installing_,
                         [this](const absl::Status& status) { OnInstallWritten(status); });
}

void RaftReplica::OnInstallWritten(const absl::Status& status) {
  if (!active_) return;
  if (absl::IsResourceExhausted(status)) {
    install_retry_timer_.Start(kSnapshotRetryInterval, [this] { InstallSnapshot(); });
    return;
  }
  if (!status.ok()) return Fail(status);
  const std::shared_ptr<const storage::Snapshot> snapshot = std::exchange(installing_, nullptr);
  if (snapshot->metadata.index() > core_->applied_index()) {
    const absl::Status restored = state_machine_->RestoreSnapshot(snapshot->data);
    if (!restored.ok()) return Fail(restored);
    snapshot_index_ = snapshot->metadata.index();
    applied_bytes_ = 0;
    runtime_->trace->Event(Severity::kInfo, "SnapshotInstalled", {{"Index", snapshot_index_}});
  }
  core_->OnSnapshotInstalled(snapshot, Now());
  ScheduleFlush();
}

// ---------------------------------------------------------------------------------- handing over

void RaftReplica::TransferFromSlowDisk() {
  const MonotonicTime now = Now();
  disk_health_.Update(log_writer_->InFlightTime(), now);
  const auto p95_us = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(disk_health_.p95()).count());
  core_->SetSyncP95(p95_us);
  if (!core_->IsLeader() || !disk_health_.IsSlow(now) || now < next_slow_disk_transfer_at_) return;
  // A faster follower only, or leadership would go to and fro between slow disks.
  if (!core_->TransferLeadership(p95_us / 2, now)) return;
  next_slow_disk_transfer_at_ = now + kSlowDiskTransferInterval;
  runtime_->trace->Event(Severity::kWarning, "LeadershipTransferForSlowDisk",
                         {{"SyncP95Us", p95_us}});
}

void RaftReplica::TransferLeadership(ReadDone done) {
  if (!active_ || !core_->IsLeader()) return done(absl::FailedPreconditionError("not leader"));
  if (transfer_done_) return done(absl::FailedPreconditionError("already handing over"));
  transfer_done_ = std::move(done);
  transfer_deadline_ = Now() + 2 * options_.raft.election_timeout_max;
  CheckTransfer();
  ScheduleFlush();
}

void RaftReplica::CheckTransfer() {
  if (!transfer_done_) return;
  const bool another_leads = !core_->IsLeader() && core_->leader_id() != 0;
  if (!another_leads && Now() < transfer_deadline_) {
    if (core_->IsLeader() && !core_->IsTransferring()) {
      core_->TransferLeadership(std::numeric_limits<uint64_t>::max(), Now());
    }
    return;
  }
  ReadDone done = std::exchange(transfer_done_, nullptr);
  done(another_leads ? absl::OkStatus() : absl::DeadlineExceededError("no other replica leads"));
}

// ---------------------------------------------------------------------------------- status

ReplicaStatus RaftReplica::Status() const {
  ReplicaStatus status;
  status.failure = failure_;
  if (core_ == nullptr) return status;
  status.replica_id = core_->replica_id();
  status.cluster_id = core_->cluster_id();
  status.role = core_->role();
  status.term = core_->term();
  status.leader_id = core_->leader_id();
  status.leader_endpoint = leader_endpoint();
  for (const Member& member : core_->configuration().members()) {
    ReplicaStatus::MemberStatus entry;
    entry.replica_id = member.replica_id();
    entry.endpoint = core_->EndpointOf(member.replica_id());
    entry.voter = member.voter();
    const auto found = core_->progress().find(member.replica_id());
    if (found != core_->progress().end()) {
      entry.match_index = found->second.match;
      entry.since_last_response = Now() - found->second.last_response_at;
    }
    status.members.push_back(std::move(entry));
  }
  status.first_index = core_->log().base_index() + 1;
  status.last_index = core_->log().last_index();
  status.durable_index = core_->durable_index();
  status.commit_index = core_->commit_index();
  status.applied_index = core_->applied_index();
  status.snapshot_index = snapshot_index_;
  status.log_segments = log_writer_->segment_count();
  status.disk_sync_p95 = disk_health_.p95();
  status.disk_full = log_writer_->disk_full();
  return status;
}

}  // namespace posthatch::consensus
