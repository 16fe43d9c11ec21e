#pragma once

#include <cstdint>
#include <string>

#include "posthatch/control/server/controller_metrics.h"
#include "posthatch/control/server/inventory_publisher.h"
#include "posthatch/control/server/leadership.h"
#include "posthatch/control/server/section_encoder.h"
#include "posthatch/control/server/session_table.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct PushSchedulerOptions {
  // Time after which an unacknowledged push is sent again.
  runtime::Duration retry_interval = std::chrono::milliseconds(250);
  // Average rate limit over all sessions; changes within one interval share a push.
  double pushes_per_second = 4000;
};

// On the leader: pushes changed sections to the sessions that haven't acknowledged them, outside of
// grants. One push per session is in flight at a time, because a second one would be a delta to
// sections that the first one replaces. Owned by ControllerService; event loop thread only.
class PushScheduler {
 public:
  // Every pointer must outlive this object.
  PushScheduler(runtime::Runtime* runtime, const PushSchedulerOptions& options,
                const Leadership* leadership, const ControlState* state,
                const RevisionTimeline* revisions, const InventoryPublisher* inventory,
                SectionEncoder* encoder, SessionTable* sessions, ControllerMetrics* metrics);

  // Pushes as soon as the rate limit allows; no effect while a push is scheduled already.
  void Schedule();
  // Pushes at once, regardless of the rate limit.
  void PushAll();

 private:
  // True if `session` lacks a change and no push to it is in flight.
  bool NeedsPush(const Session& session, uint64_t newest_index, runtime::MonotonicTime now) const;
  std::string SerializePush(const SectionIndices& acked_versions);

  runtime::Runtime* const runtime_;
  const PushSchedulerOptions options_;
  const Leadership* const leadership_;
  const ControlState* const state_;
  const RevisionTimeline* const revisions_;
  const InventoryPublisher* const inventory_;
  SectionEncoder* const encoder_;
  SessionTable* const sessions_;
  ControllerMetrics* const metrics_;

  uint64_t last_push_id_ = 0;
  runtime::MonotonicTime next_push_at_;  // earliest time allowed by the rate limit
  runtime::Timer timer_;
};

}  // namespace posthatch::control
