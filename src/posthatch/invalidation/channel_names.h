#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/runtime/clock.h"

// Defines which channel covers an object (WCIP 4.3: a channel covers a class of related objects)
// and how long each class may be trusted. No other code maps objects to channels.
namespace posthatch::invalidation {

// Number of channels over which workers and their draining marks are sharded by worker id.
inline constexpr uint32_t kWorkerShards = 4;

// Covers every object: one registration and one heartbeat for all classes (WCIP 4.1, aggregation).
inline constexpr char kAggregateChannel[] = "all";

// Returns "workers/<shard>" for worker/<id> and drain/<id>, "models", "tenants" or "stores"; empty
// for an object of no known class.
std::string ChannelOf(std::string_view object);

// Every channel but the aggregate, in a fixed order.
const std::vector<std::string>& ClassChannels();

// Whether `channel` is a class channel or the aggregate.
bool IsChannel(std::string_view channel);

// Freshness guarantee X of an object (WCIP 3.1).
runtime::Duration GuaranteeOf(std::string_view object);

// Lowest guarantee of any object that `channel` may cover.
runtime::Duration LowestGuarantee(std::string_view channel);

// Compares by epoch, then by sequence. Returns a negative, zero or positive number.
int CompareVersions(const ObjectVersion& left, const ObjectVersion& right);

inline ObjectVersion MakeVersion(uint64_t epoch, uint64_t sequence) {
  ObjectVersion version;
  version.set_epoch(epoch);
  version.set_sequence(sequence);
  return version;
}

}  // namespace posthatch::invalidation
