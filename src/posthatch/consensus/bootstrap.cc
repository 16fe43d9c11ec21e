#include "posthatch/consensus/bootstrap.h"

#include <algorithm>
#include <utility>

namespace posthatch::consensus {

using runtime::MonotonicTime;

namespace {

constexpr runtime::Duration kHelloInterval = std::chrono::milliseconds(250);
constexpr runtime::Duration kJoinInterval = std::chrono::milliseconds(500);
// A replica not heard from for this long doesn't count as seen.
constexpr runtime::Duration kSeenFor = std::chrono::seconds(1);
// Rounds of Hello before a cluster is formed, so that members of an older one are heard first.
constexpr uint64_t kRoundsBeforeForming = 4;

}  // namespace

Bootstrap::Bootstrap(RaftCore* core, runtime::Random* random, BootstrapOptions options)
    : core_(core), random_(random), options_(std::move(options)) {}

std::vector<OutgoingMessage> Bootstrap::TakeMessages() {
  return std::exchange(outbox_, std::vector<OutgoingMessage>());
}

void Bootstrap::Tick(MonotonicTime now) {
  if (core_->HasLeader(now)) {
    known_.clear();
    rounds_ = 0;
    return;
  }
  if (now < next_hello_) return;
  next_hello_ = now + kHelloInterval;
  SendHellos(now);
  ++rounds_;
  if (options_.expect > 0 && core_->IsFresh() && rounds_ > kRoundsBeforeForming) TryToForm(now);
}

std::set<uint64_t> Bootstrap::FreshSeen(MonotonicTime now) const {
  std::set<uint64_t> seen;
  for (const auto& [id, peer] : known_) {
    if (peer.fresh && now - peer.heard_at < kSeenFor) seen.insert(id);
  }
  return seen;
}

void Bootstrap::SendHello(const std::string& endpoint, uint64_t to, bool answer,
                          MonotonicTime now) {
  RaftMessage message = core_->NewMessage(to);
  Hello* hello = message.mutable_hello();
  hello->set_answer(answer);
  hello->set_fresh(core_->IsFresh());
  if (core_->IsFresh()) {
    message.set_cluster_id(0);
    for (uint64_t id : FreshSeen(now)) hello->add_fresh_seen(id);
  }
  if (core_->HasLeader(now)) {
    hello->set_leader_id(core_->leader_id());
    hello->set_leader_endpoint(core_->EndpointOf(core_->leader_id()));
  }
  outbox_.push_back({endpoint, std::move(message)});
}

void Bootstrap::SendHellos(MonotonicTime now) {
  std::set<std::string> endpoints;
  if (options_.peers) {
    for (std::string& endpoint : options_.peers()) endpoints.insert(std::move(endpoint));
  }
  for (const Member& member : core_->configuration().members()) {
    endpoints.insert(core_->EndpointOf(member.replica_id()));
  }
  endpoints.erase(core_->EndpointOf(core_->replica_id()));
  endpoints.erase("");
  for (const std::string& endpoint : endpoints) SendHello(endpoint, 0, /*answer=*/false, now);
}

void Bootstrap::NotePeer(const RaftMessage& message, MonotonicTime now) {
  const Hello& hello = message.hello();
  for (auto it = known_.begin(); it != known_.end();) {
    const bool replaced =
        it->first != message.from() && it->second.endpoint == message.from_endpoint();
    it = replaced ? known_.erase(it) : std::next(it);
  }
  Peer& peer = known_[message.from()];
  if (message.from_boot_count() < peer.boot_count) return;
  peer = {message.from_endpoint(), message.from_boot_count(), hello.fresh(),
          std::set<uint64_t>(hello.fresh_seen().begin(), hello.fresh_seen().end()), now};
}

void Bootstrap::OnHello(const RaftMessage& message, MonotonicTime now) {
  if (message.from() == 0 || message.from() == core_->replica_id()) return;
  if (message.to() != 0 && message.to() != core_->replica_id()) return;
  const Hello& hello = message.hello();
  const bool other_cluster =
      !core_->IsFresh() && !hello.fresh() && message.cluster_id() != core_->cluster_id();
  if (other_cluster) return;
  core_->NoteEndpoint(message);
  NotePeer(message, now);
  if (!hello.answer()) {
    SendHello(message.from_endpoint(), message.from(), /*answer=*/true, now);
  } else if (!core_->HasLeader(now)) {
    AskToJoin(hello, now);
  }
}

// The leader takes no notice of members.
void Bootstrap::AskToJoin(const Hello& hello, MonotonicTime now) {
  if (hello.leader_id() == 0 || hello.leader_endpoint().empty() || now < next_join_) return;
  next_join_ = now + kJoinInterval;
  RaftMessage message = core_->NewMessage(hello.leader_id());
  if (core_->IsFresh()) message.set_cluster_id(0);
  message.mutable_join_request();
  outbox_.push_back({hello.leader_endpoint(), std::move(message)});
}

std::set<uint64_t> Bootstrap::FormersOf(const std::set<uint64_t>& together) const {
  if (options_.founders.empty()) return together;
  std::set<uint64_t> formers;
  for (const uint64_t id : together) {
    const auto known = known_.find(id);
    const std::string& endpoint =
        known == known_.end() ? core_->EndpointOf(id) : known->second.endpoint;
    const auto founder = std::find(options_.founders.begin(), options_.founders.end(), endpoint);
    if (founder != options_.founders.end()) formers.insert(id);
  }
  return formers;
}

bool Bootstrap::IsFormer(const std::set<uint64_t>& together) const {
  const std::set<uint64_t> formers = FormersOf(together);
  if (formers.empty() || *formers.begin() != core_->replica_id()) return false;
  if (options_.founders.empty()) return together.size() >= options_.expect;
  return formers.size() == options_.founders.size();
}

// Forms a cluster if this replica has the lowest id of enough fresh replicas that all see each
// other, and no member of a cluster is in sight. Where founders are named, only they count: all of
// them must see each other, and as their number is known, no two replicas can both be the lowest.
void Bootstrap::TryToForm(MonotonicTime now) {
  std::set<uint64_t> together = FreshSeen(now);
  together.insert(core_->replica_id());
  if (!IsFormer(together)) return;
  const std::set<uint64_t> formers = FormersOf(together);
  for (const auto& [id, peer] : known_) {
    if (now - peer.heard_at >= kSeenFor) continue;
    if (!peer.fresh) return;
    if (!formers.contains(id)) continue;
    std::set<uint64_t> seen = peer.fresh_seen;
    seen.insert(id);
    if (!std::includes(seen.begin(), seen.end(), formers.begin(), formers.end())) return;
  }
  Form(together, now);
}

void Bootstrap::Form(const std::set<uint64_t>& together, MonotonicTime now) {
  ClusterConfiguration configuration;
  while (configuration.cluster_id() == 0) configuration.set_cluster_id((*random_)());
  for (uint64_t id : together) {
    Member* member = configuration.add_members();
    member->set_replica_id(id);
    member->set_endpoint(core_->EndpointOf(id));
    member->set_boot_count(id == core_->replica_id() ? core_->boot_count()
                                                     : known_.at(id).boot_count);
    member->set_voter(static_cast<size_t>(configuration.members_size()) <= options_.target_voters);
  }
  core_->Bootstrap(configuration, now);
}

}  // namespace posthatch::consensus
