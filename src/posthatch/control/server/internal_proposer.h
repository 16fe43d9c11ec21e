#pragma once

#include <functional>

#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/server/leadership.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::control {

// Proposes the commands that the leader itself originates: inventory changes and worker leases.
// Owned by ControllerService; event loop thread only.
class InternalProposer {
 public:
  // `applied` is true if the command was committed and the state machine returned OK.
  using Done = std::function<void(bool applied)>;

  // Every pointer must outlive this object.
  InternalProposer(consensus::ReplicatedLog* log, const Leadership* leadership)
      : log_(log), leadership_(leadership) {}

  // `done` isn't called if the proposal's term ends first: the caller has been reset by then.
  void Propose(const Command& command, Done done);

 private:
  consensus::ReplicatedLog* const log_;
  const Leadership* const leadership_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::control
