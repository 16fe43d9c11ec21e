#pragma once

#include <string>

#include "posthatch/membership/broadcast_queue.h"
#include "posthatch/membership/gossip_metrics.h"
#include "posthatch/membership/gossip_options.h"
#include "posthatch/membership/member_table.h"
#include "posthatch/membership/message_sender.h"
#include "posthatch/membership/pause_detector.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::membership {

// Sends the messages of GossipMembership and spreads queued updates: piggybacked on other messages,
// and by gossip to a few random members at an interval, within a byte rate. Owned by
// GossipMembership; event loop thread only.
class GossipSender : public MessageSender {
 public:
  // The pointers must outlive this object.
  GossipSender(runtime::Runtime* runtime, const GossipOptions* options, MemberTable* table,
               BroadcastQueue* queue, GossipMetrics* metrics, PauseDetector* pause_detector);

  void SendWithUpdates(const std::string& endpoint, MembershipMessage message) override;
  void SendPlain(const std::string& endpoint, const MembershipMessage& message) override;
  // Schedules the next round of gossip if updates are queued and none is scheduled. Must be called
  // after every operation that may queue an update.
  void ScheduleGossip();

 private:
  void GossipToRandomMembers();
  void SendGossip(const std::string& endpoint, size_t max_bytes);
  // How often this process transmits one update; grows with the logarithm of the fleet size.
  int TransmitLimit() const;

  runtime::Runtime* const runtime_;
  const GossipOptions* const options_;
  MemberTable* const table_;
  BroadcastQueue* const queue_;
  GossipMetrics* const metrics_;
  PauseDetector* const pause_detector_;
  runtime::Timer gossip_timer_;
  double gossip_budget_bytes_ = 0;
};

}  // namespace posthatch::membership
