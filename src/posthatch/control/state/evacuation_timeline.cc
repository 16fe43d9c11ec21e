#include "posthatch/control/state/evacuation_timeline.h"

#include <utility>

namespace posthatch::control {

void EvacuationTimeline::Observe(const EvacuationSet& evacuations, runtime::MonotonicTime now) {
  if (evacuations.newest_version() == newest_version_) return;
  newest_version_ = evacuations.newest_version();
  if (evacuations.version_floor() != floor_.version) floor_ = {evacuations.version_floor(), now};
  std::map<std::string, KnownVersion> names;
  for (const auto& [name, version] : evacuations.versions()) {
    const auto known = names_.find(name);
    const bool is_new = known == names_.end() || known->second.version != version;
    names[name] = is_new ? KnownVersion{version, now} : known->second;
  }
  names_ = std::move(names);
}

std::optional<uint64_t> EvacuationTimeline::VersionSince(const std::string& name,
                                                         runtime::MonotonicTime time) const {
  const auto found = names_.find(name);
  const KnownVersion& known = found == names_.end() ? floor_ : found->second;
  if (known.since > time) return std::nullopt;
  return known.version;
}

}  // namespace posthatch::control
