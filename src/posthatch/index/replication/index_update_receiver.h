#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/index/index.pb.h"
#include "posthatch/index/trusted_prefix_locator.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

struct IndexUpdateReceiverStats {
  uint64_t updates_applied = 0;
  uint64_t gaps = 0;
  uint64_t duplicates = 0;
  uint64_t fenced = 0;  // from a previous lease holder
  uint64_t malformed = 0;
  uint64_t blocks_stored = 0;
  uint64_t extents_untrusted = 0;  // made under versions that are no longer the newest here
  uint64_t extents_deferred = 0;   // arrived before the channel announced their holder's version
};

// Applies IndexUpdate messages of other gateways to this gateway's index, in the order of fencing
// tokens and update numbers; a missing number drops the entries of that worker. Extents of a holder
// version that the channels have not announced here yet are deferred: after a loss, the list of all
// that a worker has cached follows its new version at once. Owned by IndexNode; event loop thread
// only.
class IndexUpdateReceiver {
 public:
  IndexUpdateReceiver(const runtime::Clock* clock, const control::FleetView* fleet,
                      const invalidation::ObjectTrust* trust, TrustedPrefixLocator* locator)
      : clock_(clock), fleet_(fleet), trust_(trust), locator_(locator) {}

  // `incarnation` is that of the gateway that published the update.
  void Receive(uint64_t incarnation, const IndexUpdate& update);
  // Applies the deferred extents whose version the channels have announced by now.
  void OnVersionsAdvanced();

  const IndexUpdateReceiverStats& stats() const { return stats_; }

 private:
  // The gateway incarnation whose updates of one holder are accepted, and its last update.
  struct SenderState {
    uint64_t fencing_token = 0;
    uint64_t incarnation = 0;
    uint64_t epoch = 0;
    uint64_t last_update = 0;
  };

  // The newest fencing token known for `worker`; 0 if no gateway holds its lease.
  uint64_t CurrentFencingToken(const std::string& worker) const;
  HolderKind KindOf(const std::string& holder);
  // Whether the update is to be applied; records its number.
  bool Admit(uint64_t incarnation, const IndexUpdate& update);
  void ApplyStored(const Extent& extent);
  // Whether the extent's holder version has not been announced here yet.
  bool IsAheadOfChannel(const Extent& extent);
  void Apply(const Extent& extent, const std::vector<BlockHash>& blocks);
  void DropPending(const std::string& holder);
  void RemoveFromPending(const std::string& holder, const std::vector<BlockHash>& removed);

  struct PendingExtent {
    Extent extent;
    std::vector<BlockHash> blocks;
    runtime::MonotonicTime expires_at;
  };

  const runtime::Clock* const clock_;
  const control::FleetView* const fleet_;
  const invalidation::ObjectTrust* const trust_;
  TrustedPrefixLocator* const locator_;
  absl::flat_hash_map<std::string, SenderState> senders_;
  std::deque<PendingExtent> pending_;
  // Result of the last KindOf call, and the inventory index at which it was made.
  std::string cached_holder_;
  uint64_t cached_inventory_index_ = 0;
  HolderKind cached_kind_ = HolderKind::kWorker;
  IndexUpdateReceiverStats stats_;
};

}  // namespace posthatch::index
