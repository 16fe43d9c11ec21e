#include "posthatch/control/state/worker_lease_table.h"

namespace posthatch::control {

CommandResult WorkerLeaseTable::Apply(uint64_t log_index, const GrantWorkerLeases& command,
                                      bool* changed) {
  CommandResult result;
  result.set_code(CommandResult::OK);
  for (const std::string& worker_id : command.released()) {
    *changed = leases_.erase(worker_id) > 0 || *changed;
  }
  for (const WorkerLease& grant : command.grants()) {
    if (grant.worker_id().empty() || grant.holder().empty()) {
      result.set_code(CommandResult::INVALID);
      result.add_errors("grants: worker_id and holder are needed");
      continue;
    }
    const WorkerLease* current = Find(grant.worker_id());
    if (current != nullptr && (current->holder() != grant.holder() ||
                               current->holder_incarnation() != grant.holder_incarnation())) {
      result.set_code(CommandResult::VERSION_CONFLICT);
      result.add_errors(grant.worker_id() + " is held by " + current->holder());
      continue;
    }
    WorkerLease lease = grant;
    lease.set_fencing_token(log_index);
    leases_[grant.worker_id()] = lease;
    *changed = true;
  }
  return result;
}

const WorkerLease* WorkerLeaseTable::Find(const std::string& worker_id) const {
  const auto found = leases_.find(worker_id);
  return found == leases_.end() ? nullptr : &found->second;
}

void WorkerLeaseTable::Save(google::protobuf::RepeatedPtrField<WorkerLease>* leases) const {
  for (const auto& [worker_id, lease] : leases_) *leases->Add() = lease;
}

void WorkerLeaseTable::Restore(const google::protobuf::RepeatedPtrField<WorkerLease>& leases) {
  leases_.clear();
  for (const WorkerLease& lease : leases) leases_[lease.worker_id()] = lease;
}

}  // namespace posthatch::control
