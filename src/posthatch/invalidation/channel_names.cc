#include "posthatch/invalidation/channel_names.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "posthatch/util/string_view.h"

namespace posthatch::invalidation {
namespace {

constexpr std::string_view kWorkerPrefix = "worker/";
constexpr std::string_view kDrainPrefix = "drain/";
constexpr std::string_view kModelPrefix = "model/";
constexpr std::string_view kTenantPrefix = "tenant/";
constexpr std::string_view kStorePrefix = "store/";

// Trust in a worker or store that restarted with an empty cache costs only speed: four seconds are
// acceptable, and tolerate three lost heartbeats.
constexpr runtime::Duration kBackendGuarantee = std::chrono::seconds(4);
// Model revisions and tenant isolation are also fenced by block names and salts. The session lease
// has the same duration.
constexpr runtime::Duration kFencedGuarantee = std::chrono::seconds(4);

bool HasPrefix(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

std::string ShardChannel(std::string_view id) {
  return absl::StrCat("workers/", XXH3_64bits(id.data(), id.size()) % kWorkerShards);
}

}  // namespace

std::string ChannelOf(std::string_view object) {
  if (HasPrefix(object, kWorkerPrefix)) return ShardChannel(object.substr(kWorkerPrefix.size()));
  if (HasPrefix(object, kDrainPrefix)) return ShardChannel(object.substr(kDrainPrefix.size()));
  if (HasPrefix(object, kModelPrefix)) return "models";
  if (HasPrefix(object, kTenantPrefix)) return "tenants";
  if (HasPrefix(object, kStorePrefix)) return "stores";
  return "";
}

const std::vector<std::string>& ClassChannels() {
  static const auto* const class_channels = [] {
    auto* channels = new std::vector<std::string>{"models", "tenants", "stores"};
    for (uint32_t shard = 0; shard < kWorkerShards; ++shard) {
      channels->push_back(absl::StrCat("workers/", shard));
    }
    return channels;
  }();
  return *class_channels;
}

bool IsChannel(std::string_view channel) {
  const auto& channels = ClassChannels();
  return channel == kAggregateChannel ||
         std::find(channels.begin(), channels.end(), channel) != channels.end();
}

runtime::Duration GuaranteeOf(std::string_view object) {
  const bool fenced = HasPrefix(object, kModelPrefix) || HasPrefix(object, kTenantPrefix);
  return fenced ? kFencedGuarantee : kBackendGuarantee;
}

runtime::Duration LowestGuarantee(std::string_view channel) {
  if (channel == kAggregateChannel) return std::min(kFencedGuarantee, kBackendGuarantee);
  return channel == "models" || channel == "tenants" ? kFencedGuarantee : kBackendGuarantee;
}

int CompareVersions(const ObjectVersion& left, const ObjectVersion& right) {
  if (left.epoch() != right.epoch()) return left.epoch() < right.epoch() ? -1 : 1;
  if (left.sequence() != right.sequence()) return left.sequence() < right.sequence() ? -1 : 1;
  return 0;
}

}  // namespace posthatch::invalidation
