#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control_client.h"
#include "posthatch/index/index.pb.h"
#include "posthatch/index/trusted_prefix_locator.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

struct IndexUpdateReceiverStats {
  uint64_t updates_applied = 0;
  uint64_t gaps = 0;
  uint64_t doubled = 0;
  uint64_t fenced = 0;  // from a former lease holder
  uint64_t malformed = 0;
  uint64_t blocks_stored = 0;
  uint64_t extents_not_trusted = 0;  // of versions that are no longer, or not yet, the newest here
};

// Takes IndexUpdate messages of other gateways into this gateway's index: in the order of fencing
// tokens and update numbers; a missing number drops what is known of that worker. Owned by
// IndexNode; event loop thread only.
class IndexUpdateReceiver {
 public:
  IndexUpdateReceiver(const control::FleetView* fleet, TrustedPrefixLocator* locator)
      : fleet_(fleet), locator_(locator) {}

  void Receive(const runtime::Envelope& envelope, const IndexUpdate& update);

  const IndexUpdateReceiverStats& stats() const { return stats_; }

 private:
  // The sender's life that is listened to for one holder.
  struct Source {
    uint64_t fencing_token = 0;
    uint64_t incarnation = 0;
    uint64_t epoch = 0;
    uint64_t last_update = 0;
  };

  // The newest fencing token known for `worker`; 0 if nobody holds it.
  uint64_t TokenInForce(const std::string& worker) const;
  HolderKind KindOf(const std::string& holder) const;
  // Whether the update is to be applied; follows its numbers.
  bool Admit(const runtime::Envelope& envelope, const IndexUpdate& update);
  void ApplyStored(const Extent& extent);

  const control::FleetView* const fleet_;
  TrustedPrefixLocator* const locator_;
  absl::flat_hash_map<std::string, Source> sources_;
  IndexUpdateReceiverStats stats_;
};

}  // namespace posthatch::index
