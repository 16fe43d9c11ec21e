#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// The gateway that holds each worker's lease, with the fencing token of the grant (its log index).
// A lease can only be granted to another holder after a release, in an earlier command or earlier
// in the same one: a leader with an outdated view can't move a worker by mistake. Part of the
// replicated state; owned by ControlState.
class WorkerLeaseTable {
 public:
  // Applies the releases, then the grants. OK if all grants were made; otherwise INVALID or
  // VERSION_CONFLICT, with an error for each rejected grant; the others are made. Sets `changed` if
  // any lease changed.
  CommandResult Apply(uint64_t log_index, const GrantWorkerLeases& command, bool* changed);

  // Null if there is no lease on the worker.
  const WorkerLease* Find(const std::string& worker_id) const;
  const std::map<std::string, WorkerLease>& leases() const { return leases_; }

  void Save(google::protobuf::RepeatedPtrField<WorkerLease>* leases) const;
  void Restore(const google::protobuf::RepeatedPtrField<WorkerLease>& leases);

 private:
  std::map<std::string, WorkerLease> leases_;
};

}  // namespace posthatch::control
