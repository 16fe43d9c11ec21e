#include "posthatch/net/stream_faults.h"

#include <algorithm>
#include <utility>

namespace posthatch::net {

StreamFaults::StreamFaults(boost::asio::io_context* io_context, FaultInjection* faults,
                           const std::function<void()>& resume)
    : faults_(faults), subscription_(faults->Subscribe(resume)), timer_(io_context, resume) {}

StreamFaults::~StreamFaults() { faults_->Unsubscribe(subscription_); }

bool StreamFaults::MayConnect(const std::string& remote) {
  if (OutboundPartitioned(remote) || InboundPartitioned(remote)) return false;
  const runtime::MonotonicTime now = BootNow();
  if (!connect_due_) connect_due_ = now + faults_->DelayTo(remote) + faults_->DelayFrom(remote);
  if (*connect_due_ <= now) return true;
  timer_.Set(*connect_due_);
  return false;
}

void StreamFaults::RecordQueued(const std::string& remote, uint64_t end_position) {
  const runtime::Duration delay = faults_->DelayTo(remote);
  if (delay == runtime::Duration::zero() && send_watermarks_.empty()) return;
  runtime::MonotonicTime due = BootNow() + delay;
  if (!send_watermarks_.empty()) due = std::max(due, send_watermarks_.back().due);
  send_watermarks_.push_back({due, end_position});
}

uint64_t StreamFaults::SendLimit(uint64_t end_position) {
  const runtime::MonotonicTime now = BootNow();
  while (!send_watermarks_.empty() && send_watermarks_.front().due <= now) {
    released_ = send_watermarks_.front().end_position;
    send_watermarks_.pop_front();
  }
  if (send_watermarks_.empty()) return end_position;
  timer_.Set(send_watermarks_.front().due);
  return released_;
}

bool StreamFaults::DelayReceived(const std::string& remote, std::string_view bytes) {
  const runtime::Duration delay = faults_->DelayFrom(remote);
  if (delay == runtime::Duration::zero() && received_.empty()) return false;
  runtime::MonotonicTime due = BootNow() + delay;
  if (!received_.empty()) due = std::max(due, received_.back().due);
  received_.push_back({due, std::string(bytes)});
  timer_.Set(received_.front().due);
  return true;
}

std::optional<std::string> StreamFaults::TakeDueReceived() {
  if (received_.empty()) return std::nullopt;
  if (received_.front().due > BootNow()) {
    timer_.Set(received_.front().due);
    return std::nullopt;
  }
  std::string bytes = std::move(received_.front().bytes);
  received_.pop_front();
  return bytes;
}

}  // namespace posthatch::net
