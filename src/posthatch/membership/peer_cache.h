#pragma once

#include <string>
#include <utility>
#include <vector>

#include "posthatch/membership/gossip_options.h"
#include "posthatch/membership/member_table.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::membership {

// Addresses at which other processes may be found when none is known: the seeds, and the peers that
// were alive in a previous incarnation, stored in a file on machines with a disk. Owned by
// GossipMembership; event loop thread only.
class PeerCache {
 public:
  PeerCache(runtime::Runtime* runtime, const GossipOptions* options,
            std::vector<std::string> seeds);

  // Reads the file; a missing or unreadable one counts as empty. Blocks, so it may be called only
  // at start.
  void Load();
  // Replaces the seeds: they may move to other machines.
  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  // Writes the endpoints of some live members, if they changed and no write is running. A failed
  // write is traced and retried at the next call.
  void Save(MemberTable* table);

  // Seeds and cached peers without `self_endpoint`, each once.
  std::vector<std::string> Addresses(const std::string& self_endpoint) const;

 private:
  // Maximum number of peers in the file.
  static constexpr size_t kMaxPeers = 64;

  runtime::Runtime* const runtime_;
  const GossipOptions* const options_;
  std::vector<std::string> seeds_;
  std::vector<std::string> cached_peers_;
  std::string last_written_;
  bool writing_ = false;
  // Guards the callback of a write in flight, which may complete after this object is destroyed.
  util::Lifetime lifetime_;
};

}  // namespace posthatch::membership
