#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// Which gateway holds each worker, with the fencing token of the grant (its log index). A worker
// that is held can't be granted to another holder before it was released, in a command of its own
// log position or earlier in the same one: so a leader that works from old knowledge can't hand a
// worker over by accident. Part of the replicated state; owned by ControlState.
class WorkerLeaseTable {
 public:
  // Releases first, then grants. OK if all grants were made; VERSION_CONFLICT with an error for
  // each that was refused, the others being made. `changed` tells whether any lease changed.
  CommandResult Apply(uint64_t log_index, const GrantWorkerLeases& command, bool* changed);

  // Null if nobody holds the worker.
  const WorkerLease* Find(const std::string& worker_id) const;
  const std::map<std::string, WorkerLease>& leases() const { return leases_; }

  void Save(google::protobuf::RepeatedPtrField<WorkerLease>* leases) const;
  void Restore(const google::protobuf::RepeatedPtrField<WorkerLease>& leases);

 private:
  std::map<std::string, WorkerLease> leases_;
};

}  // namespace posthatch::control
