#include "posthatch/membership/gossip_membership.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "posthatch/membership/member_record.h"

namespace posthatch::membership {
namespace {

constexpr runtime::Duration kTick = std::chrono::milliseconds(250);
// No member is asked about one contradiction more often.
constexpr runtime::Duration kVerifyInterval = std::chrono::seconds(2);
// Tag and length fields around updates in a message.
constexpr size_t kMessageMargin = 8;
// A leaving process tells so many others, so many times, because it may end right after.
constexpr size_t kLeaveFanout = 8;
constexpr int kLeaveSends = 3;
constexpr runtime::Duration kLeaveInterval = std::chrono::milliseconds(100);
// Attempts to join go to so many addresses at a time.
constexpr size_t kJoinFanout = 4;

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
      merger_(runtime, &options_, &table_, &suspicions_, &queue_, &metrics_, this),
      detector_(runtime, &options_, &table_, this, this),
      sync_(runtime, &options_, &table_, this),
      peers_(runtime, &options_, std::move(seeds)),
      tick_timer_(runtime->timers),
      gossip_timer_(runtime->timers) {
  sync_.set_on_pulled([this] { metrics_.pulls.Increment(); });
}

GossipMembership::~GossipMembership() {
  runtime_->transport->SetReceiver(runtime::SERVICE_MEMBERSHIP, nullptr);
}

void GossipMembership::Start() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  last_activity_ = now;
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

// Sending.

int GossipMembership::TransmitLimit() const {
  const auto fleet_size = static_cast<double>(table_.live_count() + 2);
  return options_.retransmit_factor * static_cast<int>(std::ceil(std::log2(fleet_size)));
}

void GossipMembership::SendPlain(const std::string& endpoint, const MembershipMessage& message) {
  std::string payload = message.SerializeAsString();
  metrics_.sent_bytes.Increment(static_cast<double>(payload.size()));
  metrics_.sent_datagrams.Increment();
  runtime_->transport->Send(endpoint, runtime::SERVICE_MEMBERSHIP, std::move(payload),
                            runtime::Delivery::kDatagram);
}

void GossipMembership::SendWithUpdates(const std::string& endpoint, MembershipMessage message) {
  if (!queue_.empty()) {
    const size_t used = message.ByteSizeLong() + kMessageMargin;
    const size_t room = kMaxPayloadBytes - std::min(used, kMaxPayloadBytes);
    for (std::string& record :
         queue_.Take(std::min(room, options_.piggyback_bytes), TransmitLimit())) {
      message.add_records(std::move(record));
    }
  }
  SendPlain(endpoint, message);
}

void GossipMembership::SendGossip(const std::string& endpoint, size_t max_bytes) {
  MembershipMessage message;
  message.mutable_gossip();
  for (std::string& record : queue_.Take(max_bytes, TransmitLimit())) {
    message.add_records(std::move(record));
  }
  if (message.records_size() == 0) return;
  gossip_budget_bytes_ -= static_cast<double>(message.ByteSizeLong());
  SendPlain(endpoint, message);
}

void GossipMembership::StartGossip() {
  if (queue_.empty() || gossip_timer_.running()) return;
  gossip_timer_.Start(options_.gossip_interval, [this] {
    OnActivity();
    GossipOnce();
  });
}

void GossipMembership::GossipOnce() {
  const auto rate = static_cast<double>(options_.max_gossip_bytes_per_second);
  const double interval = static_cast<double>(options_.gossip_interval.count()) /
                          std::chrono::nanoseconds(std::chrono::seconds(1)).count();
  gossip_budget_bytes_ = std::min(rate, gossip_budget_bytes_ + rate * interval);
  for (const MemberEntry* member :
       table_.PickLive(static_cast<size_t>(options_.gossip_fanout), "")) {
    if (gossip_budget_bytes_ <= 0) break;
    SendGossip(member->member.internal_endpoint, kMaxPayloadBytes - kMessageMargin);
  }
  metrics_.queued_updates.Set(static_cast<double>(queue_.size()));
  if (table_.live_count() > 0) StartGossip();
}

// Receiving.

void GossipMembership::OnEnvelope(const runtime::Envelope& envelope) {
  OnActivity();
  MembershipMessage message;
  if (!message.ParseFromString(envelope.payload())) {
    metrics_.malformed.Increment();
    return;
  }
  const bool rebroadcast = !message.has_bucket_chunk() || !sync_.pulling_many_buckets();
  for (const std::string& serialized : message.records()) {
    MemberRecord record;
    if (record.ParseFromString(serialized)) {
      merger_.Apply(record, rebroadcast);
    } else {
      metrics_.malformed.Increment();
    }
  }
  Dispatch(envelope, message);
  StartGossip();
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

// What the parts report.

void GossipMembership::OnProbeSucceeded(const std::string& node_id) {
  if (MemberEntry* entry = table_.Find(node_id)) entry->failed_probes = 0;
}

void GossipMembership::OnProbeFailed(const std::string& node_id) {
  metrics_.failed_probes.Increment();
  MemberEntry* entry = table_.Find(node_id);
  if (entry == nullptr || !entry->live() || left_) return;
  ++entry->failed_probes;
  if (IsIsolated() || runtime_->clock->Now() < suspicions_paused_until_) return;
  const bool suspected = entry->member.state == MemberState::kSuspect;
  if (!suspected && entry->failed_probes < options_.failed_probes_to_suspect) {
    detector_.Probe(*entry, "");
    return;
  }
  if (!suspected) {
    runtime_->trace->Event(runtime::Severity::kInfo, "MemberSuspected", {{"member", node_id}});
  }
  merger_.Suspect(entry);
  StartGossip();
}

void GossipMembership::OnActivity() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::Duration gap = now - last_activity_;
  last_activity_ = now;
  if (gap < options_.pause_threshold) return;
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
  for (size_t i = 0; i < listeners_.size(); ++i) listeners_[i](member);
}

void GossipMembership::Verify(MemberEntry* entry, const std::string& record) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (now < entry->next_verify_at) return;
  entry->next_verify_at = now + kVerifyInterval;
  detector_.Probe(*entry, record);
}

void GossipMembership::OnRefuted() { detector_.AdjustHealthScore(1); }

// What happens by time.

bool GossipMembership::AdvanceIfDue(runtime::MonotonicTime* next, runtime::Duration interval) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (now < *next) return false;
  // Spread by a quarter, so that processes started together don't stay in step.
  *next = now + runtime_->random->Between(interval - interval / 8, interval + interval / 8);
  return true;
}

void GossipMembership::Tick() {
  OnActivity();
  tick_timer_.Start(kTick, [this] { Tick(); });
  if (left_) return;
  ExpireSuspicions();
  merger_.ReleaseDamped();
  if (AdvanceIfDue(&next_probe_, options_.probe_interval)) ProbeNext();
  const bool alone = table_.live_count() == 0;
  if (AdvanceIfDue(&next_join_attempt_,
                   alone ? options_.join_interval : options_.reconnect_interval)) {
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
  // A suspect hears what is said of it, so that it can deny it.
  const bool suspected = target->member.state == MemberState::kSuspect;
  detector_.Probe(*target,
                  suspected ? MakeRecord(target->member, target->version, false).SerializeAsString()
                            : std::string());
}

bool GossipMembership::IsIsolated() const {
  const runtime::Duration since_last_response =
      runtime_->clock->Now() - detector_.last_response_at();
  // With fewer others, their silence may as well be their death.
  constexpr size_t kMinLivePeers = 3;
  return table_.live_count() >= kMinLivePeers &&
         since_last_response >= options_.isolation_timeout &&
         since_last_response < options_.isolation_timeout + options_.max_isolation;
}

void GossipMembership::ExpireSuspicions() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const bool isolated = IsIsolated();
  if (isolated && !was_isolated_) isolated_since_ = now;
  if (!isolated && was_isolated_) suspicions_.Extend(now - isolated_since_);
  was_isolated_ = isolated;
  if (isolated || now < suspicions_paused_until_) return;
  for (const std::string& node_id : suspicions_.TakeExpired(now)) merger_.DeclareDead(node_id);
  StartGossip();
}

void GossipMembership::SyncWithRandomMember() {
  for (const MemberEntry* member : table_.PickLive(1, "")) {
    sync_.StartExchange(member->member.internal_endpoint);
  }
}

void GossipMembership::ContactUnknownPeers() {
  std::vector<std::string> addresses = peers_.Addresses(self_.internal_endpoint);
  size_t attempts = kJoinFanout;
  if (table_.live_count() > 0) {
    // The whole fleet together tries a few addresses per interval, whatever its size.
    attempts = 1;
    const double share = static_cast<double>(options_.reconnects_per_interval) /
                         static_cast<double>(table_.live_count() + 1);
    if (!runtime_->random->Chance(std::min(1.0, share))) return;
  }
  std::set<std::string> candidates(addresses.begin(), addresses.end());
  for (const auto& [node_id, entry] : table_.entries()) {
    if (entry.member.state == MemberState::kDead) {
      candidates.insert(entry.member.internal_endpoint);
    }
  }
  for (const auto& [node_id, entry] : table_.entries()) {
    if (entry.live()) candidates.erase(entry.member.internal_endpoint);
  }
  addresses.assign(candidates.begin(), candidates.end());
  std::shuffle(addresses.begin(), addresses.end(), *runtime_->random);
  if (addresses.size() > attempts) addresses.resize(attempts);
  for (const std::string& address : addresses) sync_.StartExchange(address);
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
    SendPlain(member->member.internal_endpoint, message);
  }
  if (remaining_sends <= 1) return;
  tick_timer_.Start(kLeaveInterval,
                    [this, remaining_sends] { BroadcastLeave(remaining_sends - 1); });
}

}  // namespace posthatch::membership
