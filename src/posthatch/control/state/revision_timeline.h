#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// When each model revision was set, by this process's monotonic clock. The deadline after which no
// request may begin under an older revision counts from then. A process that learns of a revision
// late, or after a restart, adopts the age that other processes report. The largest reported age
// applies, so that the deadline is never extended. Owned by GatewaySession or ControllerService;
// event loop thread only.
class RevisionTimeline {
 public:
  // Records the revisions of a state that this process has applied. One above all known ones counts
  // as set at `now`, unless the state reports its age.
  void Observe(const FleetState& state, runtime::MonotonicTime now);
  // Records reported ages that were correct at `sent_at` or later.
  void ObserveAges(const google::protobuf::RepeatedPtrField<RevisionAge>& ages,
                   runtime::MonotonicTime sent_at);

  // When `revision` became outdated, that is, when the first known revision above it was set;
  // nullopt if it is the newest. Later revisions don't change it.
  std::optional<runtime::MonotonicTime> OutdatedSince(const std::string& model,
                                                      uint64_t revision) const;
  // When the latest revision of any model was set; the clock's epoch if none is known.
  runtime::MonotonicTime newest_set_at() const;
  void SaveAges(runtime::MonotonicTime now,
                google::protobuf::RepeatedPtrField<RevisionAge>* ages) const;

 private:
  using Revisions = std::map<uint64_t, runtime::MonotonicTime>;  // revision -> when it was set

  static void Record(uint64_t revision, runtime::MonotonicTime set_at, Revisions* revisions);

  std::map<std::string, Revisions> models_;
};

}  // namespace posthatch::control
