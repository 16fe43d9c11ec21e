#include "posthatch/membership/record_merger.h"

#include "posthatch/membership/member_record.h"

namespace posthatch::membership {
namespace {

// Shortest time between two records by which this process overrides another incarnation of its
// node id.
constexpr runtime::Duration kOverrideInterval = std::chrono::seconds(1);
// Number of responses to overrides, in a row, after which another process with this node id must be
// running.
constexpr uint32_t kMinResponsesOfRunningProcess = 2;

}  // namespace

RecordMerger::RecordMerger(runtime::Runtime* runtime, const GossipOptions* options,
                           MemberTable* table, SuspicionList* suspicions, BroadcastQueue* queue,
                           GossipMetrics* metrics, Owner* owner)
    : runtime_(runtime),
      table_(table),
      suspicions_(suspicions),
      queue_(queue),
      metrics_(metrics),
      owner_(owner),
      flap_damper_(runtime->clock, options) {}

void RecordMerger::Join(const Member& self) {
  self_ = table_->Upsert(self, 1, runtime_->clock->Now());
  Broadcast(MakeRecord(self, 1, true));
}

void RecordMerger::Leave() {
  table_->SetState(self_, self_->version + 1, MemberState::kLeft, runtime_->clock->Now());
  Broadcast(MakeRecord(self_->member, self_->version, false));
}

void RecordMerger::Broadcast(const MemberRecord& record) {
  queue_->Add(record.node_id(), record.SerializeAsString());
}

void RecordMerger::Disseminate(const MemberRecord& record, Dissemination dissemination) {
  if (dissemination == Dissemination::kRebroadcast) Broadcast(record);
}

void RecordMerger::Apply(const MemberRecord& record, Dissemination dissemination) {
  if (record.node_id().empty()) return;
  if (record.node_id() == self_->member.node_id) {
    ApplyToSelf(record);
    return;
  }
  MemberEntry* entry = table_->Find(record.node_id());
  if (entry == nullptr) {
    AddNew(record, dissemination);
    return;
  }
  if (!Supersedes(record, entry->version, entry->member.incarnation, entry->member.state)) {
    const bool same =
        record.version() == entry->version && record.incarnation() == entry->member.incarnation;
    if (same && record.state() == RECORD_SUSPECT) ConfirmSuspicion(record, dissemination);
    return;
  }
  switch (record.state()) {
    case RECORD_ALIVE:
      ApplyAlive(entry, record, dissemination);
      break;
    case RECORD_SUSPECT:
      ApplySuspect(entry, record, dissemination);
      break;
    default:
      ApplyDeadOrLeft(entry, record, dissemination);
      break;
  }
}

void RecordMerger::ApplyToSelf(const MemberRecord& record) {
  if (self_->member.state == MemberState::kLeft || record.version() < self_->version) return;
  const bool same_incarnation = record.incarnation() == self_->member.incarnation;
  if (same_incarnation && record.state() == RECORD_ALIVE) return;
  if (!same_incarnation && !MayOverrideNow(record)) return;
  // Only this process raises its version: above that of a false record about it, or of one about a
  // previous incarnation.
  table_->SetState(self_, record.version() + 1, MemberState::kAlive, runtime_->clock->Now());
  Broadcast(MakeRecord(self_->member, self_->version, !same_incarnation));
  metrics_->refutations.Increment();
  if (same_incarnation) owner_->OnRefuted();
}

bool RecordMerger::MayOverrideNow(const MemberRecord& record) {
  // Without this limit, two live processes with one node id would override each other at full
  // speed.
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (now < next_override_) return false;
  next_override_ = now + kOverrideInterval;
  TraceOverride(record);
  return record.version() < UINT32_MAX;
}

void RecordMerger::TraceOverride(const MemberRecord& record) {
  // Only a running process raises its version: a previous incarnation never responds to an
  // override, though an older record of it may still arrive after the first one.
  const bool responded =
      record.incarnation() == overridden_incarnation_ && record.version() > overridden_version_ + 1;
  override_responses_ = responded ? override_responses_ + 1 : 0;
  overridden_incarnation_ = record.incarnation();
  overridden_version_ = record.version();
  if (override_responses_ >= kMinResponsesOfRunningProcess) {
    runtime_->trace->Event(runtime::Severity::kWarning, "ConflictingIncarnationOverridden",
                           {{"incarnation", record.incarnation()}, {"version", record.version()}});
  } else {
    runtime_->trace->Event(runtime::Severity::kInfo, "FormerIncarnationOverridden",
                           {{"incarnation", record.incarnation()}, {"version", record.version()}});
  }
}

void RecordMerger::AddNew(const MemberRecord& record, Dissemination dissemination) {
  if (!record.has_details()) return;  // anti-entropy will bring the complete record
  MemberEntry* entry = table_->Upsert(MakeMember(record), record.version(), runtime_->clock->Now());
  if (!entry->live()) return;
  Disseminate(record, dissemination);
  if (entry->member.state == MemberState::kSuspect) {
    suspicions_->Start(record.node_id(), record.accuser(), table_->live_count() + 1,
                       runtime_->clock->Now());
  }
  Report(*entry);
}

void RecordMerger::ApplyAlive(MemberEntry* entry, const MemberRecord& record,
                              Dissemination dissemination) {
  const bool new_incarnation = record.incarnation() != entry->member.incarnation;
  // An unknown incarnation needs its details; anti-entropy will bring them.
  if (new_incarnation && !record.has_details()) return;
  const bool was_live = entry->live();
  const bool changed = new_incarnation || entry->member.state != MemberState::kAlive;
  if (new_incarnation && was_live) flap_damper_.CountFlap(entry);
  if (record.has_details()) {
    table_->Upsert(MakeMember(record), record.version(), runtime_->clock->Now());
  } else {
    table_->SetState(entry, record.version(), MemberState::kAlive, runtime_->clock->Now());
  }
  suspicions_->Remove(record.node_id());
  entry->failed_probes = 0;
  Disseminate(record, dissemination);
  if (!was_live || new_incarnation) DampIfFlapping(entry);
  if (changed && !entry->damped) Report(*entry);
}

void RecordMerger::ApplySuspect(MemberEntry* entry, const MemberRecord& record,
                                Dissemination dissemination) {
  if (record.incarnation() != entry->member.incarnation) {
    // The record is about another incarnation than the one known to be alive, which must raise its
    // version.
    if (entry->live()) owner_->Verify(entry, record.SerializeAsString());
    return;
  }
  const bool was_live = entry->live();
  table_->SetState(entry, record.version(), MemberState::kSuspect, runtime_->clock->Now());
  suspicions_->Start(record.node_id(), record.accuser(), table_->live_count() + 1,
                     runtime_->clock->Now());
  metrics_->suspicions.Increment();
  Disseminate(record, dissemination);
  if (!was_live) DampIfFlapping(entry);
  if (!entry->damped) Report(*entry);
}

void RecordMerger::ApplyDeadOrLeft(MemberEntry* entry, const MemberRecord& record,
                                   Dissemination dissemination) {
  const bool known_incarnation = record.incarnation() == entry->member.incarnation;
  const bool reported_by_itself = record.state() == RECORD_LEFT && known_incarnation;
  const bool suspected = entry->member.state == MemberState::kSuspect && known_incarnation;
  if (entry->live() && !reported_by_itself && !suspected) {
    // The record may come from a process that was isolated; the member itself can refute it.
    owner_->Verify(entry, record.SerializeAsString());
    return;
  }
  const bool was_live = entry->live();
  if (was_live && record.state() == RECORD_DEAD) {
    flap_damper_.CountFlap(entry);
    metrics_->deaths.Increment();
  }
  const bool was_damped = flap_damper_.Release(entry);
  suspicions_->Remove(record.node_id());
  if (known_incarnation) {
    table_->SetState(entry, record.version(), FromRecordState(record.state()),
                     runtime_->clock->Now());
  } else if (record.has_details()) {
    table_->Upsert(MakeMember(record), record.version(), runtime_->clock->Now());
  }
  if (was_live) Disseminate(record, dissemination);
  if (was_live && !was_damped) Report(*entry);
}

void RecordMerger::ConfirmSuspicion(const MemberRecord& record, Dissemination dissemination) {
  if (suspicions_->Confirm(record.node_id(), record.accuser())) Disseminate(record, dissemination);
}

void RecordMerger::Suspect(MemberEntry* entry) {
  Member member = entry->member;
  member.state = MemberState::kSuspect;
  MemberRecord record = MakeRecord(member, entry->version, false);
  record.set_accuser(self_->member.node_id);
  Apply(record, Dissemination::kRebroadcast);
}

void RecordMerger::DeclareDead(const std::string& node_id) {
  MemberEntry* entry = table_->Find(node_id);
  if (entry == nullptr || entry->member.state != MemberState::kSuspect) return;
  Member member = entry->member;
  member.state = MemberState::kDead;
  Apply(MakeRecord(member, entry->version, false), Dissemination::kRebroadcast);
}

void RecordMerger::DampIfFlapping(MemberEntry* entry) {
  if (!flap_damper_.DampIfFlapping(entry)) return;
  metrics_->damped.Increment();
  Member reported = entry->member;
  reported.state = MemberState::kDead;
  owner_->Notify(reported);
}

void RecordMerger::ReleaseDamped() {
  if (flap_damper_.damped_count() == 0) return;
  for (const auto& [node_id, known] : table_->entries()) {
    MemberEntry* entry = table_->Find(node_id);
    if (!flap_damper_.IsReleasable(*entry)) continue;
    flap_damper_.Release(entry);
    Report(*entry);
  }
}

void RecordMerger::Report(const MemberEntry& entry) {
  metrics_->live_members.Set(static_cast<double>(table_->live_count()));
  owner_->Notify(entry.member);
}

}  // namespace posthatch::membership
