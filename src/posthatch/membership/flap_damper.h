#pragma once

#include <cstddef>

#include "posthatch/membership/gossip_options.h"
#include "posthatch/membership/member_table.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::membership {

// Damping of members that die and come back repeatedly: their deaths and restarts are counted, the
// count is halved each half-life, and beyond a limit a member that comes back is reported as live
// only after it has been alive for some time. Keeps its state in the entries. Owned by
// RecordMerger; event loop thread only.
class FlapDamper {
 public:
  // The pointers must outlive this object.
  FlapDamper(const runtime::Clock* clock, const GossipOptions* options)
      : clock_(clock), options_(options) {}

  // Counts a flap: the member has died or was restarted.
  void CountFlap(MemberEntry* entry) const;
  // Damps a member that has come back, or extends its damping, if it has flapped too often. True
  // if it was not damped before and is now.
  [[nodiscard]] bool DampIfFlapping(MemberEntry* entry);
  // Ends the damping. True if the member was damped.
  bool Release(MemberEntry* entry);
  // Whether the member's damping has lasted long enough.
  bool IsReleasable(const MemberEntry& entry) const;
  size_t damped_count() const { return damped_count_; }

 private:
  double FlapsNow(const MemberEntry& entry) const;

  const runtime::Clock* const clock_;
  const GossipOptions* const options_;
  size_t damped_count_ = 0;
};

}  // namespace posthatch::membership
