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
  uint64_t fenced = 0;  // from a former lease holder
  uint64_t malformed = 0;
  uint64_t blocks_stored = 0;
  uint64_t extents_untrusted = 0;  // of versions that are no longer the newest here
  uint64_t extents_deferred = 0;   // came before the channel told their holder's version
};

// Takes IndexUpdate messages of other gateways into this gateway's index: in the order of fencing
// tokens and update numbers; a missing number drops what is known of that worker. What rests on a
// version of its holder that the channels have not told here yet waits for it: after a loss the
// list of all that a worker keeps follows its new version at once. Owned by IndexNode; event loop
// thread only.
class IndexUpdateReceiver {
 public:
  IndexUpdateReceiver(const runtime::Clock* clock, const control::FleetView* fleet,
                      const invalidation::ObjectTrust* trust, TrustedPrefixLocator* locator)
      : clock_(clock), fleet_(fleet), trust_(trust), locator_(locator) {}

  // `incarnation` is that of the gateway that made the update.
  void Receive(uint64_t incarnation, const IndexUpdate& update);
  // The channels have told newer versions of some objects.
  void OnVersionsAdvanced();

  const IndexUpdateReceiverStats& stats() const { return stats_; }

 private:
  // The sender's life that is listened to for one holder.
  struct SenderState {
    uint64_t fencing_token = 0;
    uint64_t incarnation = 0;
    uint64_t epoch = 0;
    uint64_t last_update = 0;
  };

  // The newest fencing token known for `worker`; 0 if nobody holds it.
  uint64_t CurrentFencingToken(const std::string& worker) const;
  HolderKind KindOf(const std::string& holder);
  // Whether the update is to be applied; follows its numbers.
  bool Admit(uint64_t incarnation, const IndexUpdate& update);
  void ApplyStored(const Extent& extent);
  // Whether the extent rests on a version of its holder that is not known here yet.
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
  // The last holder that KindOf was asked for, with the inventory that it was looked up in.
  std::string cached_holder_;
  uint64_t cached_inventory_index_ = 0;
  HolderKind cached_kind_ = HolderKind::kWorker;
  IndexUpdateReceiverStats stats_;
};

}  // namespace posthatch::index
