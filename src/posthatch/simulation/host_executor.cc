#include "posthatch/simulation/host_executor.h"

#include <utility>

namespace posthatch::simulation {

void HostExecutor::Execute(Callback* callback) {
  ++executing_;
  if (processor_ != nullptr) processor_->OnCallbackBegin();
  (*callback)();
  if (processor_ != nullptr) busy_until_ = queue_->now() + processor_->OnCallbackEnd();
  --executing_;
}

void HostExecutor::Run(uint64_t process_id, CallbackType type, Callback callback) {
  if (process_id != process_id_ || process_id == 0) return;
  const bool has_deferred = !deferred_timers_.empty() || !deferred_network_.empty();
  if (!frozen_ && !(has_deferred && type != CallbackType::kTimer)) {
    if (Busy()) return AddToBacklog({process_id, type, std::move(callback)});
    Execute(&callback);
    return;
  }
  if (type == CallbackType::kTimer) {
    deferred_timers_.push_back(Deferred{process_id, type, std::move(callback)});
    return;
  }
  if (type == CallbackType::kDatagram && ++deferred_datagrams_ > kMaxDeferredDatagrams) return;
  deferred_network_.push_back(Deferred{process_id, type, std::move(callback)});
}

void HostExecutor::AddToBacklog(Deferred deferred) {
  if (deferred.type == CallbackType::kDatagram && ++backlog_datagrams_ > kMaxDeferredDatagrams) {
    --backlog_datagrams_;
    return;
  }
  backlog_.push_back(std::move(deferred));
  ScheduleBacklog();
}

void HostExecutor::ScheduleBacklog() {
  if (backlog_scheduled_ || backlog_.empty()) return;
  backlog_scheduled_ = true;
  queue_->ScheduleAt(busy_until_, [this] {
    backlog_scheduled_ = false;
    RunBacklog();
  });
}

void HostExecutor::RunBacklog() {
  while (!frozen_ && !backlog_.empty() && queue_->now() >= busy_until_) {
    Deferred next = std::move(backlog_.front());
    backlog_.pop_front();
    if (next.type == CallbackType::kDatagram) --backlog_datagrams_;
    if (next.process_id == process_id_) Execute(&next.callback);
  }
  if (!frozen_) ScheduleBacklog();
}

void HostExecutor::StartProcess(uint64_t process_id) {
  process_id_ = process_id;
  powered_ = true;
  frozen_ = false;
}

void HostExecutor::EndProcess(ProcessEnd end) {
  process_id_ = 0;
  powered_ = end != ProcessEnd::kPowerLoss;
  frozen_ = false;
  deferred_datagrams_ = 0;
  deferred_timers_.clear();
  deferred_network_.clear();
  backlog_.clear();
  backlog_datagrams_ = 0;
  busy_until_ = queue_->now();
}

void HostExecutor::Thaw(bool timers_first) {
  if (!frozen_) return;
  frozen_ = false;
  queue_->ScheduleAfter(runtime::Duration(0), [this, timers_first] { RunDeferred(timers_first); });
}

void HostExecutor::RunDeferred(bool timers_first) {
  auto& first = timers_first ? deferred_timers_ : deferred_network_;
  auto& second = timers_first ? deferred_network_ : deferred_timers_;
  for (auto* deferred : {&first, &second}) {
    while (!frozen_ && !deferred->empty()) {
      Deferred next = std::move(deferred->front());
      deferred->pop_front();
      if (processor_ != nullptr) {
        backlog_.push_back(std::move(next));
      } else if (next.process_id == process_id_) {
        Execute(&next.callback);
      }
    }
  }
  if (frozen_) return;
  deferred_datagrams_ = 0;
  ScheduleBacklog();
}

}  // namespace posthatch::simulation
