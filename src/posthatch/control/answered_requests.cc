#include "posthatch/control/answered_requests.h"

namespace posthatch::control {

bool AnsweredRequests::Find(const std::string& request_id, const std::string& command_hash,
                            CommandResult* result) const {
  const auto found = answers_.find(request_id);
  if (found != answers_.end()) {
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

void AnsweredRequests::Remember(const std::string& request_id, const std::string& command_hash,
                                const CommandResult& result) {
  AnsweredRequest& answer = answers_[request_id];
  answer.set_request_id(request_id);
  answer.set_command_hash(command_hash);
  *answer.mutable_result() = result;
  order_.push_back(request_id);
  while (order_.size() > kMaxAnswers) {
    expired_.Add(order_.front(), 0);
    answers_.erase(order_.front());
    order_.pop_front();
  }
}

void AnsweredRequests::Save(ControlSnapshot* snapshot) const {
  for (const std::string& request_id : order_) {
    *snapshot->add_answered() = answers_.at(request_id);
  }
  expired_.Save(snapshot->mutable_expired_requests());
}

void AnsweredRequests::Restore(const ControlSnapshot& snapshot) {
  answers_.clear();
  order_.clear();
  expired_.Restore(snapshot.expired_requests());
  for (const AnsweredRequest& answer : snapshot.answered()) {
    answers_[answer.request_id()] = answer;
    order_.push_back(answer.request_id());
  }
}

}  // namespace posthatch::control
