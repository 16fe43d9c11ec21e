#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "posthatch/membership/membership.h"
#include "posthatch/runtime/clock.h"
#include "posthatch/runtime/random.h"

namespace posthatch::membership {

// This process's view of one process. `member` and `version` change only through
// MemberTable; the other fields may be changed freely.
struct MemberEntry {
  Member member;
  uint32_t version = 0;
  runtime::MonotonicTime state_since{};
  // Number of consecutive failed probes by this process.
  int failed_probes = 0;
  // Earliest time of the next probe that verifies contradicting records.
  runtime::MonotonicTime next_verify_at{};
  // Damping of flapping: decaying count of deaths and restarts, as of `flaps_updated_at`; while
  // `damped`, not reported as live before `damped_until`.
  double flaps = 0;
  runtime::MonotonicTime flaps_updated_at{};
  runtime::MonotonicTime damped_until{};
  bool damped = false;
  // Position in the table's list of live members; kNotListed for this process and for those that
  // are not live.
  static constexpr size_t kNotListed = SIZE_MAX;
  size_t live_position = kNotListed;

  bool live() const {
    return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
  }
};

// All known processes keyed by node id, this one included, with hash digests of the live ones per
// bucket and random choice among the other live ones. Entries stay at their address until
// ForgetBefore removes them. Owned by GossipMembership; event loop thread only.
class MemberTable {
 public:
  static constexpr size_t kBuckets = 128;
  using Digests = std::array<uint32_t, kBuckets>;

  MemberTable(std::string self_node_id, runtime::Random* random)
      : self_node_id_(std::move(self_node_id)), random_(random) {}

  MemberEntry* Find(const std::string& node_id);
  const MemberEntry* Find(const std::string& node_id) const;
  // Adds or replaces a member; keeps the other fields of an existing entry.
  MemberEntry* Upsert(const Member& member, uint32_t version, runtime::MonotonicTime now);
  // Changes version and state of an entry.
  void SetState(MemberEntry* entry, uint32_t version, MemberState state,
                runtime::MonotonicTime now);
  // Removes dead and left members whose state is older than `since`.
  void ForgetBefore(runtime::MonotonicTime since);

  // Number of live members, excluding this process.
  size_t live_count() const { return live_.size(); }
  // Picks up to `count` different live members at random, excluding this process and `except`.
  std::vector<MemberEntry*> PickLive(size_t count, const std::string& except);
  // Next member to probe: each live one once per pass, in a random order drawn for each pass, with
  // new members inserted at random (SWIM, section 4.3). Null if there is none.
  MemberEntry* NextToProbe();

  const Digests& digests() const { return digests_; }
  const std::vector<MemberEntry*>& bucket(size_t index) const { return buckets_[index]; }
  const std::map<std::string, MemberEntry>& entries() const { return entries_; }

 private:
  static size_t BucketOf(const std::string& node_id);
  static uint32_t HashOf(const MemberEntry& entry);
  // Removes a live entry from, or adds it to, the digests and the list of live members.
  void UnindexIfLive(MemberEntry* entry);
  void IndexIfLive(MemberEntry* entry);

  const std::string self_node_id_;
  runtime::Random* const random_;
  std::map<std::string, MemberEntry> entries_;
  std::vector<MemberEntry*> live_;
  std::array<std::vector<MemberEntry*>, kBuckets> buckets_;
  Digests digests_{};
  std::vector<std::string> probe_order_;
};

}  // namespace posthatch::membership
