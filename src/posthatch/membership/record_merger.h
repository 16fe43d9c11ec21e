#pragma once

#include <functional>
#include <string>

#include "posthatch/membership/broadcast_queue.h"
#include "posthatch/membership/flap_damper.h"
#include "posthatch/membership/gossip_metrics.h"
#include "posthatch/membership/gossip_options.h"
#include "posthatch/membership/member_table.h"
#include "posthatch/membership/membership.pb.h"
#include "posthatch/membership/suspicion_list.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::membership {

// Whether an update that a record brings is passed on to others. Not if it came by a large pull:
// the others have it, and queueing it would displace newer updates.
enum class Dissemination { kRebroadcast, kLocalOnly };

// Decides what a record changes: the table, the suspicions, the queued updates, and the view
// reported to listeners, where flapping is damped. Owned by GossipMembership; event loop thread
// only.
class RecordMerger {
 public:
  // Callbacks of RecordMerger to its owner.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Called when the reported state of a member has changed.
    virtual void Notify(const Member& member) = 0;
    // Called when `record` (serialized), from others, contradicts a live `entry`: the member itself
    // should be probed with the record, so that it can refute it.
    virtual void Verify(MemberEntry* entry, const std::string& record) = 0;
    // Called when this process has refuted a false record about its current incarnation.
    virtual void OnRefuted() = 0;
  };

  RecordMerger(runtime::Runtime* runtime, const GossipOptions* options, MemberTable* table,
               SuspicionList* suspicions, BroadcastQueue* queue, GossipMetrics* metrics,
               Owner* owner);

  // Adds this process itself and notifies the others.
  void Join(const Member& self);
  // Notifies the others that this process leaves.
  void Leave();

  // Applies a record received from another process, or made by this one about another.
  void Apply(const MemberRecord& record, Dissemination dissemination);
  // Starts or confirms the suspicion of a member after this process's probes of it failed.
  void Suspect(MemberEntry* entry);
  // Declares a member dead whose suspicion has expired.
  void DeclareDead(const std::string& node_id);
  // Reports the members whose damping is over.
  void ReleaseDamped();

  // Whether a member is to be reported as live.
  static bool IsReported(const MemberEntry& entry) { return entry.live() && !entry.damped; }

 private:
  void ApplyToSelf(const MemberRecord& record);
  bool MayOverrideNow(const MemberRecord& record);
  // Traces whether `record`, about this node id, is of a previous incarnation or of another running
  // process.
  void TraceOverride(const MemberRecord& record);
  void AddNew(const MemberRecord& record, Dissemination dissemination);
  void ApplyAlive(MemberEntry* entry, const MemberRecord& record, Dissemination dissemination);
  void ApplySuspect(MemberEntry* entry, const MemberRecord& record, Dissemination dissemination);
  void ApplyDeadOrLeft(MemberEntry* entry, const MemberRecord& record, Dissemination dissemination);
  void ConfirmSuspicion(const MemberRecord& record, Dissemination dissemination);
  void Broadcast(const MemberRecord& record);
  void Disseminate(const MemberRecord& record, Dissemination dissemination);
  void DampIfFlapping(MemberEntry* entry);
  void Report(const MemberEntry& entry);

  runtime::Runtime* const runtime_;
  MemberTable* const table_;
  SuspicionList* const suspicions_;
  BroadcastQueue* const queue_;
  GossipMetrics* const metrics_;
  Owner* const owner_;
  FlapDamper flap_damper_;
  MemberEntry* self_ = nullptr;
  runtime::MonotonicTime next_override_{};
  // Incarnation and version of the record that was overridden last, and the number of consecutive
  // overrides before it to which another process responded.
  uint64_t overridden_incarnation_ = 0;
  uint64_t overridden_version_ = 0;
  uint32_t override_responses_ = 0;
};

}  // namespace posthatch::membership
