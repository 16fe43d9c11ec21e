#include "posthatch/asio/tcp_stream.h"

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

#include "posthatch/asio/endpoint.h"

namespace posthatch::asio {
namespace {

// Buffers handed to one system call.
constexpr size_t kMaxBuffersPerWrite = 16;
// A piece of the queue grows up to this by copying; beyond it a new piece is begun.
constexpr size_t kCopyLimitBytes = 16UL * 1024;
// Reads of one connection in one turn, so that a fast sender doesn't starve the others.
constexpr int kMaxReadsPerTurn = 4;
// A peer without power or behind a cut says nothing: a connection is given up when sent bytes stay
// unacknowledged for kUnacknowledgedMs, or when probes of an idle one stay unanswered.
constexpr int kUnacknowledgedMs = 2000;
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

void GiveUpSilentPeers(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeAfterSeconds,
             sizeof(kProbeAfterSeconds));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds,
             sizeof(kProbeIntervalSeconds));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs,
             sizeof(kUnacknowledgedMs));
}

}  // namespace

void ReleaseCutOffSockets(IoEnvironment* environment) {
  std::erase_if(environment->cut_off_sockets, [environment](auto& entry) {
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
                                             [this] { FaultsResumed(); });
  }
}

void TcpStream::SetOptions() {
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  GiveUpSilentPeers(socket_.native_handle());
}

void TcpStream::Accepted() {
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
  if (error) return FailSoon(SocketError("socket", error));
  SetOptions();
  socket_.async_connect(connect_endpoint_, [self = shared_from_this()](
                                               const boost::system::error_code& connect_error) {
    self->Connected(connect_error);
  });
}

void TcpStream::Connected(const boost::system::error_code& error) {
  connecting_ = false;
  if (!Usable()) return;
  if (error) return Fail(SocketError("connect", error));
  connected_ = true;
  if (queued_bytes_ > 0) NoteQueuedForFaults();
  owner_->OnConnected();
  if (Usable()) Flush();
}

void TcpStream::ResumeReading() {
  reading_wanted_ = true;
  if (faults_ != nullptr) {
    boost::asio::post(*environment_->io_context,
                      [self = shared_from_this()] { self->FaultsResumed(); });
  }
  WaitReadable();
}

void TcpStream::WaitReadable() {
  if (read_waiting_ || read_ended_ || !reading_wanted_ || !connected_ || !Usable()) return;
  if (ReceiveIsCut()) return;  // FaultsResumed goes on
  read_waiting_ = true;
  socket_.async_wait(TcpSocket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->Readable(error);
                     });
}

void TcpStream::Readable(const boost::system::error_code& error) {
  read_waiting_ = false;
  if (!Usable() || !reading_wanted_ || ReceiveIsCut()) return;
  if (error) return Fail(SocketError("read", error));
  std::string& buffer = environment_->read_buffer;
  for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
    boost::system::error_code read_error;
    const size_t size =
        socket_.read_some(boost::asio::buffer(buffer.data(), buffer.size()), read_error);
    if (read_error == boost::asio::error::would_block) break;
    if (read_error == boost::asio::error::eof) {
      if (faults_ == nullptr || !faults_->HoldReceived(remote_endpoint_, {})) ReadEnded();
      return;
    }
    if (read_error) return Fail(SocketError("read", read_error));
    const std::string_view bytes(buffer.data(), size);
    if (faults_ == nullptr || !faults_->HoldReceived(remote_endpoint_, bytes)) {
      owner_->OnBytes(bytes);
    }
    if (!Usable() || !reading_wanted_) return;
    if (size < buffer.size()) break;
  }
  WaitReadable();
}

void TcpStream::ReadEnded() {
  read_ended_ = true;
  owner_->OnReadEnd();
}

void TcpStream::Queue(std::string bytes) {
  if (bytes.empty() || !Usable()) return;
  NoteQueued(bytes.size());
  queue_.push_back(std::move(bytes));
}

void TcpStream::QueueCopy(std::string_view bytes) {
  if (bytes.empty() || !Usable()) return;
  NoteQueued(bytes.size());
  if (!queue_.empty() && queue_.back().size() + bytes.size() <= kCopyLimitBytes) {
    queue_.back().append(bytes);
  } else {
    queue_.emplace_back(bytes);
  }
}

void TcpStream::NoteQueued(size_t bytes) {
  queued_bytes_ += bytes;
  if (connected_) NoteQueuedForFaults();
}

// Bytes queued before the connection was made start on their way when it is.
void TcpStream::NoteQueuedForFaults() {
  if (faults_ != nullptr) faults_->NoteQueued(remote_endpoint_, written_bytes_ + queued_bytes_);
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
  if (!connected_ || write_waiting_ || !Usable() || SendIsCut()) return;
  const uint64_t before = written_bytes_;
  while (queued_bytes_ > 0 && WriteSome()) {
  }
  if (broken_) return;
  if (queued_bytes_ == 0 && shutdown_wanted_) {
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
  for (const std::string& piece : queue_) {
    if (count == buffers.size() || allowed == 0) break;
    const size_t size = std::min(piece.size() - offset, allowed);
    buffers[count++] = boost::asio::const_buffer(piece.data() + offset, size);
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
    FailSoon(SocketError("write", error));
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
  write_waiting_ = true;
  socket_.async_wait(TcpSocket::wait_write,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->write_waiting_ = false;
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
  shutdown_wanted_ = true;
  Flush();
}

void TcpStream::Close() {
  owner_ = nullptr;
  deadline_.Clear();
  if (socket_.is_open()) ReleaseSocket();
}

void TcpStream::Reset() {
  reset_wanted_ = true;
  Close();
}

void TcpStream::ReleaseSocket() {
  boost::system::error_code ignored;
  if (reset_wanted_) socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  if (connected_ && SendIsCut()) {
    socket_.cancel(ignored);
    environment_->cut_off_sockets.emplace_back(remote_endpoint_, std::move(socket_));
    return;
  }
  socket_.close(ignored);
}

void TcpStream::FailSoon(absl::Status status) {
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
  reset_wanted_ = true;  // what the peer has not acknowledged must not reach it any more
  deadline_.Clear();
  if (socket_.is_open()) ReleaseSocket();
  owner_->OnBroken(std::move(status));
}

void TcpStream::FaultsResumed() {
  const std::shared_ptr<TcpStream> self = weak_from_this().lock();
  if (self == nullptr || !Usable()) return;
  if (connecting_ && !connect_started_) StartConnect();
  DeliverHeldBack();
  WaitReadable();
  Flush();
}

void TcpStream::DeliverHeldBack() {
  while (Usable() && reading_wanted_ && !ReceiveIsCut()) {
    const std::optional<std::string> bytes = faults_->TakeReceived();
    if (!bytes) return;
    if (bytes->empty()) return ReadEnded();
    owner_->OnBytes(*bytes);
  }
}

}  // namespace posthatch::asio
