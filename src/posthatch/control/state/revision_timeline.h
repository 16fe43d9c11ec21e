#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// When each model revision was named, by this process's monotonic clock: from then on the time runs
// until no request may begin under an older one. A process that learns of a revision late, or after
// a restart, takes the age that others report; of several reports the oldest holds, so that the
// time is never set back. Owned by the process; event loop thread only.
class RevisionTimeline {
 public:
  // Takes in a state that this process has applied: a revision not known yet is named now.
  void Observe(const FleetState& state, runtime::MonotonicTime now);
  // Takes in ages that were true at `sent_at` or later.
  void ObserveAges(const google::protobuf::RepeatedPtrField<RevisionAge>& ages,
                   runtime::MonotonicTime sent_at);

  // When `revision` became outdated: when the first known one above it was named. Nothing if it is
  // the newest. Later revisions don't change it.
  std::optional<runtime::MonotonicTime> OutdatedSince(const std::string& model,
                                                      uint64_t revision) const;
  // When the last one of any model was named; the clock's epoch if none is known.
  runtime::MonotonicTime newest_named_at() const;
  void SaveAges(runtime::MonotonicTime now,
                google::protobuf::RepeatedPtrField<RevisionAge>* ages) const;

 private:
  using Revisions = std::map<uint64_t, runtime::MonotonicTime>;  // revision -> named at

  static void Record(uint64_t revision, runtime::MonotonicTime named_at, Revisions* revisions);

  std::map<std::string, Revisions> models_;
};

}  // namespace posthatch::control
