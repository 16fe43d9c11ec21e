#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "posthatch/control/state/evacuation_set.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// Since when this process knows the versions of evacuation names, by its monotonic clock. Owned by
// EvacuationProposer; event loop thread only.
class EvacuationTimeline {
 public:
  // Records versions that were applied since the last call as known from `now` on. To be called
  // after changes; a late call only makes VersionSince more cautious.
  void Observe(const EvacuationSet& evacuations, runtime::MonotonicTime now);

  // The version of `name` if it has been known, and the newest one known here, since `time` or
  // earlier; otherwise nullopt.
  std::optional<uint64_t> VersionSince(const std::string& name, runtime::MonotonicTime time) const;

 private:
  struct KnownVersion {
    uint64_t version = 0;
    runtime::MonotonicTime since{};
  };

  std::map<std::string, KnownVersion> names_;
  KnownVersion floor_;
  uint64_t newest_version_ = 0;
};

}  // namespace posthatch::control
