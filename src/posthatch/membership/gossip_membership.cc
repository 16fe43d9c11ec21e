#include "posthatch/membership/gossip_membership.h"

#include <algorithm>
#include <utility>

#include "posthatch/membership/member_record.h"

namespace posthatch::membership {
namespace {

constexpr runtime::Duration kTickInterval = std::chrono::milliseconds(250);
// Shortest interval between two probes of a member because of contradicting records.
constexpr runtime::Duration kVerifyInterval = std::chrono::seconds(2);
// A leaving process notifies kLeaveFanout random members, kLeaveSends times, because it may exit
// right after.
constexpr size_t kLeaveFanout = 8;
constexpr int kLeaveSends = 3;
constexpr runtime::Duration kLeaveInterval = std::chrono::milliseconds(100);

Member WithIncarnation(Member member, const runtime::Runtime& runtime) {
  member.incarnation = runtime.transport->incarnation();
  member.state = MemberState::kAlive;
  return member;
}

}  // namespace

GossipMembership::GossipMembership(runtime::Runtime* runtime, Member self,
                                   std::vector<std::string> seeds, GossipOptions options)
    : runtime_(runtime),
      options_(std::move(options)),
      self_(WithIncarnation(std::move(self), *runtime)),
      metrics_(runtime->metrics),
      table_(self_.node_id, runtime->random),
      suspicions_(&options_),
      queue_(options_.max_queued_updates),
      pause_detector_(runtime->clock, options_.pause_threshold,
                      [this](runtime::Duration gap) { OnPause(gap); }),
      sender_(runtime, &options_, &table_, &queue_, &metrics_, &pause_detector_),
      merger_(runtime, &options_, &table_, &suspicions_, &queue_, &metrics_, this),
      detector_(runtime, &options_, &table_, &sender_, &pause_detector_, this),
      isolation_(runtime->clock, &options_, &table_, &detector_),
      sync_(runtime, &options_, &table_, &sender_),
      peers_(runtime, &options_, std::move(seeds)),
      discovery_(&options_, &table_, &peers_, runtime->random),
      tick_timer_(runtime->timers) {
  sync_.set_on_pulled([this] { metrics_.pulls.Increment(); });
}

GossipMembership::~GossipMembership() {
  runtime_->transport->SetReceiver(runtime::SERVICE_MEMBERSHIP, nullptr);
}

void GossipMembership::Start() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  pause_detector_.Start();
  next_probe_ = now + runtime_->random->Between({}, options_.probe_interval);
  next_sync_ = now + runtime_->random->Between({}, options_.sync_interval);
  next_peers_write_ = now + runtime_->random->Between({}, options_.peers_write_interval);
  next_join_attempt_ = now;
  peers_.Load();
  merger_.Join(self_);
  runtime_->transport->SetReceiver(
      runtime::SERVICE_MEMBERSHIP,
      [this](const runtime::Envelope& envelope) { OnEnvelope(envelope); });
  Tick();
}

std::vector<Member> GossipMembership::LiveMembers() const {
  std::vector<Member> members;
  members.reserve(table_.live_count());
  for (const auto& [node_id, entry] : table_.entries()) {
    if (RecordMerger::IsReported(entry) && node_id != self_.node_id) {
      members.push_back(entry.member);
    }
  }
  return members;
}

std::vector<Member> GossipMembership::DampedMembers() const {
  std::vector<Member> members;
  for (const auto& [node_id, entry] : table_.entries()) {
    if (entry.live() && entry.damped && node_id != self_.node_id) members.push_back(entry.member);
  }
  return members;
}

size_t GossipMembership::live_count() const {
  return static_cast<size_t>(
      std::count_if(table_.entries().begin(), table_.entries().end(), [this](const auto& entry) {
        return RecordMerger::IsReported(entry.second) && entry.first != self_.node_id;
      }));
}

std::optional<MemberState> GossipMembership::StateOf(const std::string& node_id) const {
  const MemberEntry* entry = table_.Find(node_id);
  if (entry == nullptr) return std::nullopt;
  return entry->damped ? MemberState::kDead : entry->member.state;
}

// Message handling.

void GossipMembership::OnEnvelope(const runtime::Envelope& envelope) {
  pause_detector_.OnActivity();
  MembershipMessage message;
  if (!message.ParseFromString(envelope.payload())) {
    metrics_.malformed.Increment();
    return;
  }
  const Dissemination dissemination = message.has_bucket_chunk() && sync_.pulling_many_buckets()
                                          ? Dissemination::kLocalOnly
                                          : Dissemination::kRebroadcast;
  for (const std::string& serialized : message.records()) {
    MemberRecord record;
    if (record.ParseFromString(serialized)) {
      merger_.Apply(record, dissemination);
    } else {
      metrics_.malformed.Increment();
    }
  }
  Dispatch(envelope, message);
  sender_.ScheduleGossip();
}

void GossipMembership::Dispatch(const runtime::Envelope& envelope,
                                const MembershipMessage& message) {
  const std::string& from = envelope.from_endpoint();
  switch (message.body_case()) {
    case MembershipMessage::kPing:
      detector_.OnPing(from, message.ping(), self_.node_id, RecordForSender(envelope));
      break;
    case MembershipMessage::kAck:
      detector_.OnAck(message.ack());
      break;
    case MembershipMessage::kPingRequest:
      detector_.OnPingRequest(from, message.ping_request());
      break;
    case MembershipMessage::kNack:
      detector_.OnNack(message.nack());
      break;
    case MembershipMessage::kDigest:
      sync_.OnDigest(from, message.digest(), RecordForSender(envelope));
      break;
    case MembershipMessage::kBucketRequest:
      sync_.OnBucketRequest(from, message.bucket_request());
      break;
    case MembershipMessage::kBucketChunk:
      sync_.OnBucketChunk(message.bucket_chunk());
      break;
    case MembershipMessage::kGossip:
    case MembershipMessage::BODY_NOT_SET:
      break;
  }
}

std::string GossipMembership::RecordForSender(const runtime::Envelope& envelope) {
  const MemberEntry* entry = table_.Find(envelope.from_node());
  if (entry == nullptr || (entry->member.incarnation == envelope.from_incarnation() &&
                           entry->member.state == MemberState::kAlive)) {
    return {};
  }
  return MakeRecord(entry->member, entry->version, false).SerializeAsString();
}

// Callbacks of the components.

void GossipMembership::OnProbeSucceeded(const std::string& node_id) {
  if (MemberEntry* entry = table_.Find(node_id)) entry->failed_probes = 0;
}

void GossipMembership::OnProbeFailed(const std::string& node_id) {
  metrics_.failed_probes.Increment();
  MemberEntry* entry = table_.Find(node_id);
  if (entry == nullptr || !entry->live() || left_) return;
  ++entry->failed_probes;
  if (!MayAccuse()) return;
  const bool suspected = entry->member.state == MemberState::kSuspect;
  if (!suspected && entry->failed_probes < options_.failed_probes_to_suspect) {
    detector_.Probe(*entry, "");
    return;
  }
  if (!suspected) {
    runtime_->trace->Event(runtime::Severity::kInfo, "MemberSuspected", {{"member", node_id}});
  }
  merger_.Suspect(entry);
  sender_.ScheduleGossip();
}

void GossipMembership::OnPause(runtime::Duration gap) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  metrics_.pauses.Increment();
  runtime_->trace->Event(runtime::Severity::kWarning, "ProcessPauseDetected",
                         {{"gap_ms", runtime::ToMilliseconds(gap)}});
  detector_.AbandonProbes();
  detector_.AdjustHealthScore(options_.max_health_score);
  suspicions_.Extend(gap + options_.pause_grace);
  suspicions_paused_until_ = now + options_.pause_grace;
  next_sync_ = now;
}

void GossipMembership::Notify(const Member& member) {
  runtime_->trace->Event(runtime::Severity::kInfo, "MemberChanged",
                         {{"member", member.node_id},
                          {"state", static_cast<int>(member.state)},
                          {"incarnation", member.incarnation}});
  // Iterates by index, since a listener may add another listener.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (size_t i = 0; i < listeners_.size(); ++i) listeners_[i](member);
}

void GossipMembership::Verify(MemberEntry* entry, const std::string& record) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (now < entry->next_verify_at) return;
  entry->next_verify_at = now + kVerifyInterval;
  detector_.Probe(*entry, record);
}

void GossipMembership::OnRefuted() { detector_.AdjustHealthScore(1); }

// Timers.

bool GossipMembership::AdvanceIfDue(runtime::MonotonicTime* next, runtime::Duration interval) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (now < *next) return false;
  // Jitter of an eighth in both directions, so that processes started together don't stay
  // synchronized.
  *next = now + runtime_->random->Between(interval - interval / 8, interval + interval / 8);
  return true;
}

void GossipMembership::Tick() {
  pause_detector_.OnActivity();
  tick_timer_.Start(kTickInterval, [this] { Tick(); });
  if (left_) return;
  ExpireSuspicions();
  merger_.ReleaseDamped();
  if (AdvanceIfDue(&next_probe_, options_.probe_interval)) ProbeNext();
  const bool no_live_peers = table_.live_count() == 0;
  if (AdvanceIfDue(&next_join_attempt_,
                   no_live_peers ? options_.join_interval : options_.reconnect_interval)) {
    ContactUnknownPeers();
  }
  const bool differed = sync_.differed();
  if (AdvanceIfDue(&next_sync_,
                   differed ? options_.sync_interval_after_difference : options_.sync_interval)) {
    SyncWithRandomMember();
  }
  if (AdvanceIfDue(&next_peers_write_, options_.peers_write_interval)) {
    peers_.Save(&table_);
    table_.ForgetBefore(runtime_->clock->Now() - options_.dead_member_retention);
  }
  metrics_.health_score.Set(detector_.health_score());
}

void GossipMembership::ProbeNext() {
  MemberEntry* target = table_.NextToProbe();
  if (target == nullptr) return;
  // The ping carries the suspicion to a suspect, so that it can refute it.
  const bool suspected = target->member.state == MemberState::kSuspect;
  detector_.Probe(*target,
                  suspected ? MakeRecord(target->member, target->version, false).SerializeAsString()
                            : std::string());
}

bool GossipMembership::MayAccuse() const {
  return !isolation_.IsIsolated() && runtime_->clock->Now() >= suspicions_paused_until_;
}

void GossipMembership::ExpireSuspicions() {
  if (const auto ended = isolation_.TakeEndedIsolation()) suspicions_.Extend(*ended);
  if (!MayAccuse()) return;
  for (const std::string& node_id : suspicions_.TakeExpired(runtime_->clock->Now())) {
    merger_.DeclareDead(node_id);
  }
  sender_.ScheduleGossip();
}

void GossipMembership::SyncWithRandomMember() {
  for (const MemberEntry* member : table_.PickLive(1, "")) {
    sync_.StartExchange(member->member.internal_endpoint);
  }
}

void GossipMembership::ContactUnknownPeers() {
  for (const std::string& address : discovery_.ChooseAddresses(self_.internal_endpoint)) {
    sync_.StartExchange(address);
  }
}

// Leaving.

void GossipMembership::Leave() {
  if (left_) return;
  left_ = true;
  self_.state = MemberState::kLeft;
  merger_.Leave();
  detector_.AbandonProbes();
  BroadcastLeave(kLeaveSends);
}

void GossipMembership::BroadcastLeave(int remaining_sends) {
  MembershipMessage message;
  message.mutable_gossip();
  const MemberEntry* self = table_.Find(self_.node_id);
  message.add_records(MakeRecord(self->member, self->version, false).SerializeAsString());
  for (const MemberEntry* member : table_.PickLive(kLeaveFanout, "")) {
    sender_.SendPlain(member->member.internal_endpoint, message);
  }
  if (remaining_sends <= 1) return;
  tick_timer_.Start(kLeaveInterval,
                    [this, remaining_sends] { BroadcastLeave(remaining_sends - 1); });
}

}  // namespace posthatch::membership
