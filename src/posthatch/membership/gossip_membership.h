#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/membership/broadcast_queue.h"
#include "posthatch/membership/failure_detector.h"
#include "posthatch/membership/gossip_metrics.h"
#include "posthatch/membership/gossip_options.h"
#include "posthatch/membership/gossip_sender.h"
#include "posthatch/membership/isolation_monitor.h"
#include "posthatch/membership/member_table.h"
#include "posthatch/membership/membership.h"
#include "posthatch/membership/pause_detector.h"
#include "posthatch/membership/peer_cache.h"
#include "posthatch/membership/peer_discovery.h"
#include "posthatch/membership/record_merger.h"
#include "posthatch/membership/state_sync.h"
#include "posthatch/membership/suspicion_list.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::membership {

// SWIM-style gossip membership (Das et al., DSN 2002) with Lifeguard's local health (Dadgar et al.,
// DSN-W 2018) and anti-entropy by bucket digests, all in datagrams on SERVICE_MEMBERSHIP. The
// traffic of one process is about the same in a fleet of 1,000 as in one of 10. Owned by the node's
// assembly; event loop thread only; the runtime must outlive it.
class GossipMembership : public Membership,
                         private FailureDetector::Observer,
                         private RecordMerger::Owner {
 public:
  // `self.incarnation` is set from the transport. `seeds` are internal endpoints; one that is alive
  // is enough, and the first process needs none.
  GossipMembership(runtime::Runtime* runtime, Member self, std::vector<std::string> seeds,
                   GossipOptions options = {});
  ~GossipMembership() override;
  GossipMembership(const GossipMembership&) = delete;
  GossipMembership& operator=(const GossipMembership&) = delete;

  // Starts to respond and to contact others. Reads the peer cache (blocks shortly).
  void Start();
  // Replaces the seeds from now on.
  void SetSeeds(std::vector<std::string> seeds) { peers_.SetSeeds(std::move(seeds)); }

  std::vector<Member> LiveMembers() const override;
  std::vector<Member> DampedMembers() const override;
  const Member& self() const override { return self_; }
  void AddListener(Listener listener) override { listeners_.push_back(std::move(listener)); }
  void Leave() override;

  // Number of members that LiveMembers would return, without copying them.
  size_t live_count() const;
  // The reported state of a member; nullopt if it isn't known.
  std::optional<MemberState> StateOf(const std::string& node_id) const;

 private:
  // FailureDetector::Observer.
  void OnProbeSucceeded(const std::string& node_id) override;
  void OnProbeFailed(const std::string& node_id) override;
  // RecordMerger::Owner.
  void Notify(const Member& member) override;
  void Verify(MemberEntry* entry, const std::string& record) override;
  void OnRefuted() override;

  void OnEnvelope(const runtime::Envelope& envelope);
  void Dispatch(const runtime::Envelope& envelope, const MembershipMessage& message);
  // Returns the serialized record about the sender if it isn't known as alive in its current
  // incarnation, so that it can refute the record; else empty.
  std::string RecordForSender(const runtime::Envelope& envelope);

  void Tick();
  void ProbeNext();
  void ContactUnknownPeers();
  void SyncWithRandomMember();
  void ExpireSuspicions();
  void BroadcastLeave(int remaining_sends);
  // Called after this process was stopped for `gap`, so its records are older by that much.
  void OnPause(runtime::Duration gap);
  // Whether this process's failed probes say anything about others: not while it seems to be
  // isolated itself, nor shortly after it was stopped.
  bool MayAccuse() const;
  // Whether `next` has passed. If so, sets it to `interval` from now, with jitter.
  bool AdvanceIfDue(runtime::MonotonicTime* next, runtime::Duration interval);

  runtime::Runtime* const runtime_;
  const GossipOptions options_;
  Member self_;
  GossipMetrics metrics_;
  MemberTable table_;
  SuspicionList suspicions_;
  BroadcastQueue queue_;
  PauseDetector pause_detector_;
  GossipSender sender_;
  RecordMerger merger_;
  FailureDetector detector_;
  IsolationMonitor isolation_;
  StateSync sync_;
  PeerCache peers_;
  PeerDiscovery discovery_;
  std::vector<Listener> listeners_;
  runtime::Timer tick_timer_;
  bool left_ = false;
  runtime::MonotonicTime suspicions_paused_until_{};
  runtime::MonotonicTime next_probe_{};
  runtime::MonotonicTime next_join_attempt_{};
  runtime::MonotonicTime next_sync_{};
  runtime::MonotonicTime next_peers_write_{};
};

}  // namespace posthatch::membership
