#pragma once

#include <optional>

#include "posthatch/membership/failure_detector.h"
#include "posthatch/membership/gossip_options.h"
#include "posthatch/membership/member_table.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::membership {

// Decides whether this process seems to be isolated from the network: nobody has responded to it
// for some time. It must suspect nobody then, since all its probes fail. After `max_isolation`
// failed probes lead to suspicions again. Owned by GossipMembership; event loop thread only.
class IsolationMonitor {
 public:
  // The pointers must outlive this object.
  IsolationMonitor(const runtime::Clock* clock, const GossipOptions* options,
                   const MemberTable* table, const FailureDetector* detector)
      : clock_(clock), options_(options), table_(table), detector_(detector) {}

  // Whether this process seems to be isolated now.
  bool IsIsolated() const;
  // Returns the duration of an isolation that ended since the last call, else nullopt. Must be
  // called regularly.
  std::optional<runtime::Duration> TakeEndedIsolation();

 private:
  const runtime::Clock* const clock_;
  const GossipOptions* const options_;
  const MemberTable* const table_;
  const FailureDetector* const detector_;
  bool was_isolated_ = false;
  runtime::MonotonicTime isolated_since_{};
};

}  // namespace posthatch::membership
