#include "posthatch/simulation/pipe.h"

#include <algorithm>
#include <utility>

namespace posthatch::simulation {
namespace {

// Fraction of lost stream messages that break the connection instead of being retransmitted.
constexpr double kBreakProbabilityOnLoss = 0.1;
// Probability that a reset is delayed, and its maximum delay.
constexpr double kDelayedResetProbability = 0.2;
constexpr runtime::Duration kMaxResetDelay = std::chrono::seconds(3);

}  // namespace

Pipe::Pipe(WorldCore* core, TraceKind kind, HostExecutor* from, HostExecutor* to,
           uint64_t to_process_id)
    : core_(core),
      kind_(kind),
      from_(from),
      from_process_id_(from->process_id()),
      to_(to),
      to_process_id_(to_process_id),
      last_arrival_(core->queue.now()),
      stall_limit_(core->random.Between(kMinStall, kMaxStall)) {}

void Pipe::AddSetupDelay() {
  if (to_ == nullptr) return;
  last_arrival_ += core_->network.SampleDelay(from_->number(), to_->number()) +
                   core_->network.SampleDelay(to_->number(), from_->number());
}

void Pipe::Push(size_t bytes, uint64_t digest, Callback deliver) {
  if (broken_ || sender_closed_) return;
  Message message{{}, bytes, digest, std::move(deliver)};
  if (buffered_.empty() && window_bytes_ < kWindowBytes) {
    Transmit(std::move(message));
    return;
  }
  buffered_bytes_ += bytes;
  buffered_.push_back(std::move(message));
}

void Pipe::Transmit(Message message) {
  runtime::MonotonicTime earliest = core_->queue.now();
  const NetworkBehaviour& behaviour = core_->network.behaviour();
  if (behaviour.loss > 0 && core_->random.Chance(behaviour.loss)) {
    if (core_->random.Chance(kBreakProbabilityOnLoss)) {
      Fail(runtime::Duration(0));
      return;
    }
    earliest += kRetransmitDelay;
  }
  if (to_ != nullptr) earliest += core_->network.SampleDelay(from_->number(), to_->number());
  last_arrival_ = std::max(last_arrival_, earliest);
  message.arrival = last_arrival_;
  window_bytes_ += message.bytes;
  in_flight_.push_back(std::move(message));
  ScheduleArrival(last_arrival_);
}

void Pipe::ScheduleArrival(runtime::MonotonicTime time) {
  if (arrival_scheduled_) return;
  arrival_scheduled_ = true;
  core_->queue.ScheduleAt(time, [self = shared_from_this()] {
    self->arrival_scheduled_ = false;
    self->Arrive();
  });
}

void Pipe::Arrive() {
  if (broken_ || in_flight_.empty() || HandleStall() || !BindReceiver()) return;
  while (!in_flight_.empty() && in_flight_.front().arrival <= core_->queue.now()) {
    unread_.push_back(in_flight_.pop_front());
  }
  if (!in_flight_.empty()) ScheduleArrival(in_flight_.front().arrival);
  RequestDelivery();
}

bool Pipe::HandleStall() {
  const bool blocked = to_ == nullptr || !to_->powered() ||
                       core_->network.IsPartitioned(from_->number(), to_->number());
  if (!blocked) {
    stalled_ = false;
    return false;
  }
  const runtime::MonotonicTime now = core_->queue.now();
  if (!stalled_) stalled_since_ = now;
  stalled_ = true;
  if (now - stalled_since_ >= stall_limit_) {
    Fail(runtime::Duration(0));
  } else {
    ScheduleArrival(now + kRetransmitDelay);
  }
  return true;
}

bool Pipe::BindReceiver() {
  if (to_process_id_ == 0 && accept_) {
    Accept accept = std::move(accept_);
    accept_ = nullptr;
    to_process_id_ = accept();
  }
  if (to_process_id_ != 0 && to_process_id_ == to_->process_id()) return !broken_;
  // No listener, or its process has ended: the kernel responds with a reset.
  Reset();
  return false;
}

void Pipe::Reset() {
  if (broken_) return;
  runtime::Duration delay = core_->network.SampleDelay(to_->number(), from_->number());
  if (core_->random.Chance(kDelayedResetProbability)) {
    delay += core_->random.Between(runtime::Duration(0), kMaxResetDelay);
  }
  Fail(delay);
}

void Pipe::Fail(runtime::Duration delay) {
  Callback on_error = std::move(on_error_);
  Break();
  if (!on_error) return;
  core_->queue.ScheduleAfter(delay, [from = from_, process_id = from_process_id_,
                                     on_error = std::move(on_error)]() mutable {
    from->Run(process_id, HostExecutor::CallbackType::kNetwork, std::move(on_error));
  });
}

void Pipe::RequestDelivery() {
  if (delivery_requested_ || paused_ || unread_.empty()) return;
  delivery_requested_ = true;
  to_->Run(to_process_id_, HostExecutor::CallbackType::kNetwork,
           [self = shared_from_this()] { self->DeliverUnread(); });
}

void Pipe::DeliverUnread() {
  delivery_requested_ = false;
  while (!broken_ && !paused_ && !unread_.empty() && to_->process_id() == to_process_id_) {
    Message message = unread_.pop_front();
    window_bytes_ -= message.bytes;
    core_->Mix(kind_, to_->number(), from_->number(),
               {reinterpret_cast<const char*>(&message.digest), sizeof(message.digest)});
    message.deliver();
  }
  if (!broken_ && !buffered_.empty() && window_bytes_ < kWindowBytes) {
    from_->Run(from_process_id_, HostExecutor::CallbackType::kNetwork,
               [self = shared_from_this()] { self->Refill(); });
  }
}

void Pipe::Refill() {
  while (!broken_ && !buffered_.empty() && window_bytes_ < kWindowBytes) {
    Message message = buffered_.pop_front();
    buffered_bytes_ -= message.bytes;
    Transmit(std::move(message));
  }
  CheckWritable();
}

void Pipe::NotifyWritable(size_t threshold, Callback callback) {
  writable_threshold_ = threshold;
  on_writable_ = std::move(callback);
  CheckWritable();
}

void Pipe::CheckWritable() {
  if (broken_ || !on_writable_ || buffered_bytes_ >= writable_threshold_) return;
  Callback callback = std::move(on_writable_);
  on_writable_ = nullptr;
  core_->queue.ScheduleAfter(runtime::Duration(0), [from = from_, process_id = from_process_id_,
                                                    callback = std::move(callback)]() mutable {
    from->Run(process_id, HostExecutor::CallbackType::kNetwork, std::move(callback));
  });
}

void Pipe::ResumeReading() {
  paused_ = false;
  core_->queue.ScheduleAfter(runtime::Duration(0),
                             [self = shared_from_this()] { self->RequestDelivery(); });
}

void Pipe::CloseSender(Callback deliver) {
  if (broken_ || sender_closed_) return;
  sender_closed_ = true;
  buffered_.clear();
  buffered_bytes_ = 0;
  on_error_ = nullptr;
  on_writable_ = nullptr;
  // The kernel of a killed process either delivers what is in flight or resets at once.
  if (core_->random.Chance(0.5)) {
    for (const Message& message : in_flight_) window_bytes_ -= message.bytes;
    in_flight_.clear();
  }
  if (!deliver) return;
  if (core_->random.Chance(kDelayedResetProbability)) {
    last_arrival_ = std::max(last_arrival_, core_->queue.now()) +
                    core_->random.Between(runtime::Duration(0), kMaxResetDelay);
  }
  Transmit(Message{{}, 0, 0, std::move(deliver)});
}

void Pipe::Break() {
  broken_ = true;
  accept_ = nullptr;
  on_error_ = nullptr;
  on_writable_ = nullptr;
  buffered_.clear();
  in_flight_.clear();
  unread_.clear();
  buffered_bytes_ = 0;
}

}  // namespace posthatch::simulation
