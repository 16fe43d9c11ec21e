#include "posthatch/consensus/bootstrap.h"

#include <algorithm>
#include <utility>

namespace posthatch::consensus {

using runtime::MonotonicTime;

namespace {

constexpr runtime::Duration kHelloInterval = std::chrono::milliseconds(250);
constexpr runtime::Duration kJoinInterval = std::chrono::milliseconds(500);
// A peer that has sent no message for this long is not visible.
constexpr runtime::Duration kPeerTimeout = std::chrono::seconds(1);
// Hello rounds before a cluster is formed, so that members of an existing one can respond first.
constexpr uint64_t kHelloRoundsBeforeBootstrap = 4;

}  // namespace

Bootstrap::Bootstrap(RaftCore* core, runtime::Random* random, BootstrapOptions options)
    : core_(core), random_(random), options_(std::move(options)) {}

std::vector<OutgoingMessage> Bootstrap::TakeMessages() {
  return std::exchange(outbox_, std::vector<OutgoingMessage>());
}

void Bootstrap::Tick(MonotonicTime now) {
  if (core_->HasLeader(now)) {
    known_peers_.clear();
    hello_rounds_ = 0;
    return;
  }
  if (now < next_hello_) return;
  next_hello_ = now + kHelloInterval;
  SendHellos(now);
  ++hello_rounds_;
  if (options_.expect > 0 && core_->IsUnbootstrapped() &&
      hello_rounds_ > kHelloRoundsBeforeBootstrap)
    TryBootstrap(now);
}

std::set<uint64_t> Bootstrap::VisibleUnbootstrappedPeers(MonotonicTime now) const {
  std::set<uint64_t> visible;
  for (const auto& [id, peer] : known_peers_) {
    if (peer.unbootstrapped && now - peer.last_received_at < kPeerTimeout) visible.insert(id);
  }
  return visible;
}

void Bootstrap::SendHello(const std::string& endpoint, uint64_t to, bool is_response,
                          MonotonicTime now) {
  RaftMessage message = core_->NewMessage(to);
  Hello* hello = message.mutable_hello();
  hello->set_is_response(is_response);
  hello->set_unbootstrapped(core_->IsUnbootstrapped());
  if (core_->IsUnbootstrapped()) {
    message.set_cluster_id(0);
    for (uint64_t id : VisibleUnbootstrappedPeers(now)) hello->add_unbootstrapped_peers(id);
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
  for (const std::string& endpoint : endpoints) SendHello(endpoint, 0, /*is_response=*/false, now);
}

void Bootstrap::RecordPeer(const RaftMessage& message, MonotonicTime now) {
  const Hello& hello = message.hello();
  for (auto it = known_peers_.begin(); it != known_peers_.end();) {
    const bool replaced =
        it->first != message.from() && it->second.endpoint == message.from_endpoint();
    it = replaced ? known_peers_.erase(it) : std::next(it);
  }
  Peer& peer = known_peers_[message.from()];
  if (message.from_boot_count() < peer.boot_count) return;
  peer = {
      message.from_endpoint(), message.from_boot_count(), hello.unbootstrapped(),
      std::set<uint64_t>(hello.unbootstrapped_peers().begin(), hello.unbootstrapped_peers().end()),
      now};
}

void Bootstrap::OnHello(const RaftMessage& message, MonotonicTime now) {
  if (message.from() == 0 || message.from() == core_->replica_id()) return;
  if (message.to() != 0 && message.to() != core_->replica_id()) return;
  const Hello& hello = message.hello();
  const bool other_cluster = !core_->IsUnbootstrapped() && !hello.unbootstrapped() &&
                             message.cluster_id() != core_->cluster_id();
  if (other_cluster) return;
  core_->RecordEndpoint(message);
  RecordPeer(message, now);
  if (!hello.is_response()) {
    SendHello(message.from_endpoint(), message.from(), /*is_response=*/true, now);
  } else if (!core_->HasLeader(now)) {
    RequestJoin(hello, now);
  }
}

// Sent whether or not this replica is a member already: the leader ignores requests of members.
void Bootstrap::RequestJoin(const Hello& hello, MonotonicTime now) {
  if (hello.leader_id() == 0 || hello.leader_endpoint().empty() || now < next_join_) return;
  next_join_ = now + kJoinInterval;
  RaftMessage message = core_->NewMessage(hello.leader_id());
  if (core_->IsUnbootstrapped()) message.set_cluster_id(0);
  message.mutable_join_request();
  outbox_.push_back({hello.leader_endpoint(), std::move(message)});
}

std::set<uint64_t> Bootstrap::EligibleParticipants(const std::set<uint64_t>& participants) const {
  if (options_.bootstrap_voters.empty()) return participants;
  std::set<uint64_t> eligible;
  for (const uint64_t id : participants) {
    const auto known = known_peers_.find(id);
    const std::string& endpoint =
        known == known_peers_.end() ? core_->EndpointOf(id) : known->second.endpoint;
    const auto bootstrap_voter =
        std::find(options_.bootstrap_voters.begin(), options_.bootstrap_voters.end(), endpoint);
    if (bootstrap_voter != options_.bootstrap_voters.end()) eligible.insert(id);
  }
  return eligible;
}

bool Bootstrap::ShouldBootstrap(const std::set<uint64_t>& participants) const {
  const std::set<uint64_t> eligible = EligibleParticipants(participants);
  if (eligible.empty() || *eligible.begin() != core_->replica_id()) return false;
  if (options_.bootstrap_voters.empty()) return participants.size() >= options_.expect;
  return eligible.size() == options_.bootstrap_voters.size();
}

// Forms a cluster if this replica has the lowest id among enough unbootstrapped replicas that all
// see each other, and no member of a cluster is visible. If bootstrap voters are configured, only
// they count: all of them must see each other. Since their number is known, two replicas can't both
// have the lowest id.
void Bootstrap::TryBootstrap(MonotonicTime now) {
  std::set<uint64_t> participants = VisibleUnbootstrappedPeers(now);
  participants.insert(core_->replica_id());
  if (!ShouldBootstrap(participants)) return;
  const std::set<uint64_t> eligible = EligibleParticipants(participants);
  for (const auto& [id, peer] : known_peers_) {
    if (now - peer.last_received_at >= kPeerTimeout) continue;
    if (!peer.unbootstrapped) return;
    if (!eligible.contains(id)) continue;
    std::set<uint64_t> visible = peer.unbootstrapped_peers;
    visible.insert(id);
    if (!std::includes(visible.begin(), visible.end(), eligible.begin(), eligible.end())) return;
  }
  BootstrapCluster(participants, now);
}

void Bootstrap::BootstrapCluster(const std::set<uint64_t>& participants, MonotonicTime now) {
  ClusterConfiguration configuration;
  while (configuration.cluster_id() == 0) configuration.set_cluster_id((*random_)());
  for (uint64_t id : participants) {
    Member* member = configuration.add_members();
    member->set_replica_id(id);
    member->set_endpoint(core_->EndpointOf(id));
    member->set_boot_count(id == core_->replica_id() ? core_->boot_count()
                                                     : known_peers_.at(id).boot_count);
    member->set_voter(static_cast<size_t>(configuration.members_size()) <= options_.target_voters);
  }
  core_->Bootstrap(configuration, now);
}

}  // namespace posthatch::consensus
