#include "posthatch/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace posthatch::membership {

size_t MemberTable::BucketOf(const std::string& node_id) {
  return XXH3_64bits(node_id.data(), node_id.size()) % kBuckets;
}

uint32_t MemberTable::HashOf(const MemberEntry& entry) {
  const std::array<uint64_t, 2> identity = {entry.member.incarnation, entry.version};
  const uint64_t seed = XXH3_64bits(identity.data(), sizeof(identity));
  return static_cast<uint32_t>(
      XXH3_64bits_withSeed(entry.member.node_id.data(), entry.member.node_id.size(), seed));
}

MemberEntry* MemberTable::Find(const std::string& node_id) {
  const auto found = entries_.find(node_id);
  return found == entries_.end() ? nullptr : &found->second;
}

const MemberEntry* MemberTable::Find(const std::string& node_id) const {
  const auto found = entries_.find(node_id);
  return found == entries_.end() ? nullptr : &found->second;
}

void MemberTable::UnindexIfLive(MemberEntry* entry) {
  if (!entry->live()) return;
  digests_[BucketOf(entry->member.node_id)] ^= HashOf(*entry);
  if (entry->live_position == MemberEntry::kNotListed) return;
  live_[entry->live_position] = live_.back();
  live_.back()->live_position = entry->live_position;
  live_.pop_back();
  entry->live_position = MemberEntry::kNotListed;
}

void MemberTable::IndexIfLive(MemberEntry* entry) {
  if (!entry->live()) return;
  digests_[BucketOf(entry->member.node_id)] ^= HashOf(*entry);
  if (entry->member.node_id == self_node_id_) return;
  entry->live_position = live_.size();
  live_.push_back(entry);
  // Inserts at a random position of the current pass: waiting for the next one would leave a new
  // member unprobed for up to a whole pass, minutes in a large fleet.
  probe_order_.push_back(entry->member.node_id);
  std::swap(probe_order_.back(), probe_order_[random_->Uniform(probe_order_.size())]);
}

MemberEntry* MemberTable::Upsert(const Member& member, uint32_t version,
                                 runtime::MonotonicTime now) {
  const auto [found, added] = entries_.try_emplace(member.node_id);
  MemberEntry* entry = &found->second;
  if (added) {
    buckets_[BucketOf(member.node_id)].push_back(entry);
  } else {
    UnindexIfLive(entry);
  }
  entry->member = member;
  entry->version = version;
  entry->state_since = now;
  IndexIfLive(entry);
  return entry;
}

void MemberTable::SetState(MemberEntry* entry, uint32_t version, MemberState state,
                           runtime::MonotonicTime now) {
  UnindexIfLive(entry);
  if (entry->member.state != state) entry->state_since = now;
  entry->member.state = state;
  entry->version = version;
  IndexIfLive(entry);
}

void MemberTable::ForgetBefore(runtime::MonotonicTime since) {
  for (auto next = entries_.begin(); next != entries_.end();) {
    MemberEntry* entry = &next->second;
    if (entry->live() || entry->state_since >= since) {
      ++next;
      continue;
    }
    std::erase(buckets_[BucketOf(next->first)], entry);
    next = entries_.erase(next);
  }
}

std::vector<MemberEntry*> MemberTable::PickLive(size_t count, const std::string& except) {
  std::vector<MemberEntry*> picked;
  const MemberEntry* excluded = except.empty() ? nullptr : Find(except);
  const bool listed = excluded != nullptr && excluded->live_position != MemberEntry::kNotListed;
  count = std::min(count, live_.size() - (listed ? 1 : 0));
  while (picked.size() < count) {
    MemberEntry* candidate = live_[random_->Uniform(live_.size())];
    if (candidate == excluded) continue;
    if (std::find(picked.begin(), picked.end(), candidate) == picked.end()) {
      picked.push_back(candidate);
    }
  }
  return picked;
}

MemberEntry* MemberTable::NextToProbe() {
  for (int pass = 0; pass < 2; ++pass) {
    while (!probe_order_.empty()) {
      MemberEntry* entry = Find(probe_order_.back());
      probe_order_.pop_back();
      if (entry != nullptr && entry->live()) return entry;
    }
    for (const MemberEntry* entry : live_) probe_order_.push_back(entry->member.node_id);
    std::shuffle(probe_order_.begin(), probe_order_.end(), *random_);
  }
  return nullptr;
}

}  // namespace posthatch::membership
