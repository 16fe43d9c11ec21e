#include "posthatch/control/state/request_records.h"

namespace posthatch::control {

bool RequestRecords::Find(const std::string& request_id, const std::string& command_hash,
                          CommandResult* result) const {
  const auto found = records_.find(request_id);
  if (found != records_.end()) {
    if (found->second.command_hash() == command_hash) {
      *result = found->second.result();
    } else {
      result->set_code(CommandResult::REQUEST_ID_REUSED);
      result->add_errors("request_id: it came with another command before");
    }
    return true;
  }
  if (!expired_.Contains(request_id)) return false;
  result->set_code(CommandResult::WINDOW_PASSED);
  result->add_errors("request_id: its answer is no longer kept");
  return true;
}

void RequestRecords::Record(const std::string& request_id, const std::string& command_hash,
                            const CommandResult& result) {
  RequestRecord& record = records_[request_id];
  record.set_request_id(request_id);
  record.set_command_hash(command_hash);
  *record.mutable_result() = result;
  eviction_order_.push_back(request_id);
  while (eviction_order_.size() > kMaxRecords) {
    expired_.Add(eviction_order_.front(), 0);
    records_.erase(eviction_order_.front());
    eviction_order_.pop_front();
  }
}

void RequestRecords::Save(ControlSnapshot* snapshot) const {
  for (const std::string& request_id : eviction_order_) {
    *snapshot->add_requests() = records_.at(request_id);
  }
  expired_.Save(snapshot->mutable_expired_requests());
}

void RequestRecords::Restore(const ControlSnapshot& snapshot) {
  records_.clear();
  eviction_order_.clear();
  expired_.Restore(snapshot.expired_requests());
  for (const RequestRecord& record : snapshot.requests()) {
    records_[record.request_id()] = record;
    eviction_order_.push_back(record.request_id());
  }
}

}  // namespace posthatch::control
