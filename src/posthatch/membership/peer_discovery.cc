#include "posthatch/membership/peer_discovery.h"

#include <algorithm>
#include <set>

namespace posthatch::membership {
namespace {

// Number of addresses contacted at a time by a process that knows no live member.
constexpr size_t kJoinFanout = 4;

}  // namespace

std::vector<std::string> PeerDiscovery::ChooseAddresses(const std::string& self_endpoint) {
  size_t attempts = kJoinFanout;
  if (table_->live_count() > 0) {
    attempts = 1;
    const double probability = static_cast<double>(options_->reconnects_per_interval) /
                               static_cast<double>(table_->live_count() + 1);
    if (!random_->Chance(std::min(1.0, probability))) return {};
  }
  const std::vector<std::string> known = peers_->Addresses(self_endpoint);
  std::set<std::string> candidates(known.begin(), known.end());
  for (const auto& [node_id, entry] : table_->entries()) {
    if (entry.member.state == MemberState::kDead) {
      candidates.insert(entry.member.internal_endpoint);
    }
  }
  for (const auto& [node_id, entry] : table_->entries()) {
    if (entry.live()) candidates.erase(entry.member.internal_endpoint);
  }
  std::vector<std::string> addresses(candidates.begin(), candidates.end());
  std::shuffle(addresses.begin(), addresses.end(), *random_);
  if (addresses.size() > attempts) addresses.resize(attempts);
  return addresses;
}

}  // namespace posthatch::membership
