#pragma once

#include <string>
#include <vector>

#include "posthatch/membership/gossip_options.h"
#include "posthatch/membership/member_table.h"
#include "posthatch/membership/peer_cache.h"
#include "posthatch/runtime/random.h"

namespace posthatch::membership {

// Chooses addresses of processes that this one may not know: seeds, cached peers, and members that
// count as dead but may only have been unreachable. Owned by GossipMembership; event
// loop thread only.
class PeerDiscovery {
 public:
  // The pointers must outlive this object.
  PeerDiscovery(const GossipOptions* options, const MemberTable* table, const PeerCache* peers,
                runtime::Random* random)
      : options_(options), table_(table), peers_(peers), random_(random) {}

  // Addresses to contact now, without `self_endpoint` and those of live members. A process that
  // knows no live member gets several; otherwise the fleet as a whole tries a few per
  // reconnect_interval, whatever its size.
  std::vector<std::string> ChooseAddresses(const std::string& self_endpoint);

 private:
  const GossipOptions* const options_;
  const MemberTable* const table_;
  const PeerCache* const peers_;
  runtime::Random* const random_;
};

}  // namespace posthatch::membership
