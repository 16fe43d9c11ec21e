#include "posthatch/net/transport_peer.h"

#include <algorithm>
#include <utility>

namespace posthatch::net {
namespace {

// Frames up to this size are copied into one buffer.
constexpr size_t kMaxCoalescedFrameBytes = 4096;

}  // namespace

TransportPeer::TransportPeer(const TransportPeerContext* context, std::string endpoint,
                             const TcpEndpoint& address)
    : context_(context),
      endpoint_(std::move(endpoint)),
      address_(address),
      backoff_(context->limits.min_backoff),
      retry_(context->environment->io_context, [this] {
        in_backoff_ = false;
        if (!pending_frames_.empty()) Connect();
      }) {}

TransportPeer::~TransportPeer() {
  if (stream_ != nullptr) stream_->Close();
  UpdateQueuedBytes(0);
}

void TransportPeer::Send(std::string frame) {
  const size_t queued = pending_bytes_ + (connected_ ? stream_->queued_bytes() : 0);
  if (queued + frame.size() > context_->limits.max_queue_bytes) {
    context_->metrics->queue_full.Increment();
    return;
  }
  last_sent_ = BootNow();
  context_->metrics->sent_stream.Increment();
  context_->metrics->sent_bytes.Increment(static_cast<double>(frame.size()));
  pending_bytes_ += frame.size();
  pending_frames_.push_back(std::move(frame));
  if (connected_) {
    SendPendingFrames();
  } else if (stream_ == nullptr && !in_backoff_) {
    Connect();
  }
}

bool TransportPeer::Idle() const {
  const size_t queued = pending_bytes_ + (connected_ ? stream_->queued_bytes() : 0);
  return queued == 0 && BootNow() - last_sent_ > context_->limits.idle_timeout;
}

void TransportPeer::Connect() {
  stream_ = std::make_shared<TcpStream>(
      context_->environment, TcpSocket(*context_->environment->io_context), endpoint_, this);
  stream_->SetDeadlineAfter(context_->limits.connect_timeout);
  stream_->Connect(address_);
}

void TransportPeer::OnConnected() {
  connected_ = true;
  context_->metrics->connects_ok.Increment();
  backoff_ = context_->limits.min_backoff;
  stream_->ClearDeadline();
  stream_->ResumeReading();  // detects that the peer closes the connection
  SendPendingFrames();
}

// Small frames queued in one event loop turn are sent in one system call.
void TransportPeer::SendPendingFrames() {
  const bool was_empty = stream_->queued_bytes() == 0;
  for (std::string& frame : pending_frames_) {
    if (frame.size() <= kMaxCoalescedFrameBytes) {
      stream_->QueueCopy(frame);
    } else {
      stream_->Queue(std::move(frame));
    }
  }
  pending_frames_.clear();
  pending_bytes_ = 0;
  if (was_empty) stream_->SetDeadlineAfter(context_->limits.stall_timeout);
  stream_->FlushSoon();
  UpdateQueuedBytes(stream_->queued_bytes());
}

void TransportPeer::OnProgress() {
  if (stream_->queued_bytes() > 0) {
    stream_->SetDeadlineAfter(context_->limits.stall_timeout);
  } else {
    stream_->ClearDeadline();
  }
  UpdateQueuedBytes(stream_->queued_bytes());
}

void TransportPeer::OnBytes(std::string_view) {
  OnConnectionLost();  // unexpected: peers respond on their own connection
}

void TransportPeer::OnReadEnd() { OnConnectionLost(); }

void TransportPeer::OnBroken(absl::Status) { OnConnectionLost(); }

void TransportPeer::OnDeadline() { OnConnectionLost(); }

void TransportPeer::OnConnectionLost() {
  if (!connected_) context_->metrics->connects_failed.Increment();
  const bool lost_messages = !pending_frames_.empty() || stream_->queued_bytes() > 0;
  if (lost_messages) {
    context_->metrics->connection_lost.Increment(
        static_cast<double>(std::max<size_t>(pending_frames_.size(), 1)));
  }
  stream_->Close();
  stream_.reset();
  connected_ = false;
  pending_frames_.clear();
  pending_bytes_ = 0;
  UpdateQueuedBytes(0);
  in_backoff_ = true;
  retry_.Set(BootNow() + context_->random->Between(backoff_ / 2, backoff_));
  backoff_ = std::min(backoff_ * 2, context_->limits.max_backoff);
}

void TransportPeer::UpdateQueuedBytes(size_t now) {
  context_->metrics->queued_bytes.Increment(static_cast<double>(now) -
                                            static_cast<double>(reported_bytes_));
  reported_bytes_ = now;
}

}  // namespace posthatch::net
