#include "posthatch/net/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <utility>

#include "posthatch/net/endpoint.h"

namespace posthatch::net {
namespace {

// Buffers handed to one system call.
constexpr size_t kMaxBuffersPerWrite = 16;
// A piece of the queue grows up to this by copying; beyond it a new piece is begun.
constexpr size_t kCopyLimitBytes = 16UL * 1024;
// Reads of one connection in one turn, so that a fast sender doesn't starve the others.
constexpr int kMaxReadsPerTurn = 4;
// A peer without power or behind a cut says nothing: a connection is given up when sent bytes stay
// unacknowledged for kTcpUserTimeoutMs, or when probes of an idle one stay unanswered.
constexpr int kTcpUserTimeoutMs = 2000;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void EnableDeadPeerDetection(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
             sizeof(kKeepAliveIdleSeconds));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
             sizeof(kKeepAliveIntervalSeconds));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(kKeepAliveProbes));
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
             sizeof(kTcpUserTimeoutMs));
}

}  // namespace

void CloseHealedSockets(IoEnvironment* environment) {
  std::erase_if(environment->partitioned_sockets, [environment](auto& entry) {
    if (environment->faults->DropsTo(entry.first)) return false;
    // Asio's destructor would end a connection in order that was to be reset.
    boost::system::error_code ignored;
    entry.second.close(ignored);
    return true;
  });
}

TcpStream::TcpStream(IoEnvironment* environment, TcpSocket socket, std::string remote_endpoint,
                     Owner* owner)
    : environment_(environment),
      socket_(std::move(socket)),
      remote_endpoint_(std::move(remote_endpoint)),
      owner_(owner),
      deadline_(environment->io_context, [this] {
        if (Usable()) owner_->OnDeadline();
      }) {
  if (environment->faults != nullptr) {
    faults_ = std::make_unique<StreamFaults>(environment->io_context, environment->faults,
                                             [this] { OnFaultsChanged(); });
  }
}

void TcpStream::SetOptions() {
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(socket_.native_handle());
}

void TcpStream::StartAccepted() {
  SetOptions();
  connected_ = true;
}

void TcpStream::Connect(const TcpEndpoint& endpoint) {
  connect_endpoint_ = endpoint;
  connecting_ = true;
  StartConnect();
}

void TcpStream::StartConnect() {
  if (faults_ != nullptr && !faults_->MayConnect(remote_endpoint_)) return;
  connect_started_ = true;
  boost::system::error_code error;
  socket_.open(connect_endpoint_.protocol(), error);
  if (error) return PostFailure(SocketError("socket", error));
  SetOptions();
  socket_.async_connect(connect_endpoint_, [self = shared_from_this()](
                                               const boost::system::error_code& connect_error) {
    self->OnConnectDone(connect_error);
  });
}

void TcpStream::OnConnectDone(const boost::system::error_code& error) {
  connecting_ = false;
  if (!Usable()) return;
  if (error) return Fail(SocketError("connect", error));
  connected_ = true;
  if (queued_bytes_ > 0) RecordQueuedForFaults();
  owner_->OnConnected();
  if (Usable()) Flush();
}

void TcpStream::ResumeReading() {
  reading_enabled_ = true;
  if (faults_ != nullptr) {
    boost::asio::post(*environment_->io_context,
                      [self = shared_from_this()] { self->OnFaultsChanged(); });
  }
  WaitReadable();
}

void TcpStream::WaitReadable() {
  if (read_wait_pending_ || read_ended_ || !reading_enabled_ || !connected_ || !Usable()) return;
  if (InboundPartitioned()) return;  // OnFaultsChanged goes on
  read_wait_pending_ = true;
  socket_.async_wait(TcpSocket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->OnReadable(error);
                     });
}

void TcpStream::OnReadable(const boost::system::error_code& error) {
  read_wait_pending_ = false;
  if (!Usable() || !reading_enabled_ || InboundPartitioned()) return;
  if (error) return Fail(SocketError("read", error));
  std::string& buffer = environment_->read_buffer;
  for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
    boost::system::error_code read_error;
    const size_t size =
        socket_.read_some(boost::asio::buffer(buffer.data(), buffer.size()), read_error);
    if (read_error == boost::asio::error::would_block) break;
    if (read_error == boost::asio::error::eof) {
      if (faults_ == nullptr || !faults_->DelayReceived(remote_endpoint_, {})) ReportReadEnd();
      return;
    }
    if (read_error) return Fail(SocketError("read", read_error));
    const std::string_view bytes(buffer.data(), size);
    if (faults_ == nullptr || !faults_->DelayReceived(remote_endpoint_, bytes)) {
      owner_->OnBytes(bytes);
    }
    if (!Usable() || !reading_enabled_) return;
    if (size < buffer.size()) break;
  }
  WaitReadable();
}

void TcpStream::ReportReadEnd() {
  read_ended_ = true;
  owner_->OnReadEnd();
}

void TcpStream::Queue(std::string bytes) {
  if (bytes.empty() || !Usable()) return;
  RecordQueued(bytes.size());
  queue_.push_back(std::move(bytes));
}

void TcpStream::QueueCopy(std::string_view bytes) {
  if (bytes.empty() || !Usable()) return;
  RecordQueued(bytes.size());
  if (!queue_.empty() && queue_.back().size() + bytes.size() <= kCopyLimitBytes) {
    queue_.back().append(bytes);
  } else {
    queue_.emplace_back(bytes);
  }
}

void TcpStream::RecordQueued(size_t bytes) {
  queued_bytes_ += bytes;
  if (connected_) RecordQueuedForFaults();
}

// Bytes queued before the connection was made start on their way when it is.
void TcpStream::RecordQueuedForFaults() {
  if (faults_ != nullptr) faults_->RecordQueued(remote_endpoint_, written_bytes_ + queued_bytes_);
}

void TcpStream::FlushSoon() {
  if (flush_posted_ || !Usable()) return;
  flush_posted_ = true;
  boost::asio::post(*environment_->io_context, [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->Flush();
  });
}

void TcpStream::Flush() {
  if (!connected_ || write_wait_pending_ || !Usable() || OutboundPartitioned()) return;
  const uint64_t before = written_bytes_;
  while (queued_bytes_ > 0 && WriteSome()) {
  }
  if (broken_) return;
  if (queued_bytes_ == 0 && shutdown_pending_) {
    boost::system::error_code ignored;
    socket_.shutdown(TcpSocket::shutdown_send, ignored);
  }
  if (written_bytes_ == before) return;
  boost::asio::post(*environment_->io_context, [self = shared_from_this()] {
    if (self->Usable()) self->owner_->OnProgress();
  });
}

bool TcpStream::WriteSome() {
  size_t allowed = queued_bytes_;
  if (faults_ != nullptr) {
    allowed = faults_->SendLimit(written_bytes_ + queued_bytes_) - written_bytes_;
    if (allowed == 0) return false;
  }
  std::array<boost::asio::const_buffer, kMaxBuffersPerWrite> buffers;
  size_t count = 0;
  size_t offset = first_offset_;
  for (const std::string& buffer : queue_) {
    if (count == buffers.size() || allowed == 0) break;
    const size_t size = std::min(buffer.size() - offset, allowed);
    buffers[count++] = boost::asio::const_buffer(buffer.data() + offset, size);
    allowed -= size;
    offset = 0;
  }
  boost::system::error_code error;
  const size_t written =
      count == 1 ? socket_.write_some(buffers[0], error) : socket_.write_some(buffers, error);
  if (error == boost::asio::error::would_block) {
    WaitWritable();
    return false;
  }
  if (error) {
    PostFailure(SocketError("write", error));
    return false;
  }
  written_bytes_ += written;
  queued_bytes_ -= written;
  first_offset_ += written;
  while (!queue_.empty() && first_offset_ >= queue_.front().size()) {
    first_offset_ -= queue_.front().size();
    queue_.pop_front();
  }
  return true;
}

void TcpStream::WaitWritable() {
  write_wait_pending_ = true;
  socket_.async_wait(TcpSocket::wait_write,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->write_wait_pending_ = false;
                       if (!self->Usable()) return;
                       if (error) return self->Fail(SocketError("write", error));
                       self->Flush();
                     });
}

std::optional<size_t> TcpStream::UnacknowledgedBytes() {
  int bytes = 0;
  if (!socket_.is_open() || ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) {
    return std::nullopt;
  }
  return static_cast<size_t>(bytes);
}

void TcpStream::ShutdownSend() {
  shutdown_pending_ = true;
  Flush();
}

void TcpStream::Close() {
  owner_ = nullptr;
  deadline_.Clear();
  if (socket_.is_open()) ReleaseSocket();
}

void TcpStream::Reset() {
  reset_on_close_ = true;
  Close();
}

void TcpStream::ReleaseSocket() {
  boost::system::error_code ignored;
  if (reset_on_close_) socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  if (connected_ && OutboundPartitioned()) {
    socket_.cancel(ignored);
    environment_->partitioned_sockets.emplace_back(remote_endpoint_, std::move(socket_));
    return;
  }
  socket_.close(ignored);
}

void TcpStream::PostFailure(absl::Status status) {
  if (!Usable()) return;
  broken_ = true;
  boost::asio::post(*environment_->io_context,
                    [self = shared_from_this(), status = std::move(status)] {
                      self->broken_ = false;
                      if (self->owner_ != nullptr) self->Fail(status);
                    });
}

void TcpStream::Fail(absl::Status status) {
  broken_ = true;
  reset_on_close_ = true;  // what the peer has not acknowledged must not reach it any more
  deadline_.Clear();
  if (socket_.is_open()) ReleaseSocket();
  owner_->OnBroken(std::move(status));
}

void TcpStream::OnFaultsChanged() {
  const std::shared_ptr<TcpStream> self = weak_from_this().lock();
  if (self == nullptr || !Usable()) return;
  if (connecting_ && !connect_started_) StartConnect();
  DeliverDelayed();
  WaitReadable();
  Flush();
}

void TcpStream::DeliverDelayed() {
  while (Usable() && reading_enabled_ && !InboundPartitioned()) {
    const std::optional<std::string> bytes = faults_->TakeDueReceived();
    if (!bytes) return;
    if (bytes->empty()) return ReportReadEnd();
    owner_->OnBytes(*bytes);
  }
}

}  // namespace posthatch::net
