#pragma once

#include <cstdint>
#include <deque>

#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// The traffic configuration in force and the changes that led to it. Compare-and-set on versions
// that operators choose; a resend of an accepted change is recognised by its content, whoever sends
// it and whatever was accepted since. Part of the replicated state: deterministic, reads no clock.
// Owned by ControlState.
class TrafficState {
 public:
  // Newest accepted changes whose resends are recognised.
  static constexpr size_t kMaxAccepted = 4096;

  // OK with the change's version, VERSION_CONFLICT with the one in force, or INVALID with all
  // errors. `*changed` tells whether the configuration in force changed.
  CommandResult Apply(const ChangeTraffic& change, bool* changed);

  const TrafficConfiguration& newest() const { return newest_; }

  void Save(TrafficSnapshot* snapshot) const;
  void Restore(const TrafficSnapshot& snapshot);

 private:
  bool FindAccepted(const AcceptedTrafficChange& identity, uint64_t* version) const;

  TrafficConfiguration newest_;
  std::deque<AcceptedTrafficChange> accepted_;
};

// Clears the entries' sources (the operators' own text), which gateways don't need.
void StripSources(TrafficConfiguration* configuration);

// `base` after the removals and upserts of `patch`. The version stays that of `base`.
TrafficConfiguration ApplyTrafficPatch(const TrafficConfiguration& base, const TrafficPatch& patch);

}  // namespace posthatch::control
