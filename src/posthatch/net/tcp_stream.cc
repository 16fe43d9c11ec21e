#include "posthatch/net/tcp_stream.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <utility>

#include "posthatch/net/endpoint.h"
#include "posthatch/net/socket_options.h"

namespace posthatch::net {
namespace {

// Maximum reads of one connection per event loop turn, so that a fast sender can't starve the
// others.
constexpr int kMaxReadsPerTurn = 4;

}  // namespace

void CloseHealedSockets(IoEnvironment* environment) {
  std::erase_if(environment->partitioned_sockets, [environment](auto& entry) {
    if (environment->faults->DropsTo(entry.remote_endpoint)) return false;
    // Closed explicitly: Asio's destructor would close gracefully a connection that has to be
    // reset.
    boost::system::error_code ignored;
    entry.socket.close(ignored);
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

void TcpStream::StartAccepted() {
  SetStreamOptions(&socket_);
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
  SetStreamOptions(&socket_);
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
  if (queue_.bytes() > 0) RecordQueuedForFaults();
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
  if (InboundPartitioned()) return;  // resumed by OnFaultsChanged
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
  queue_.Append(std::move(bytes));
  if (connected_) RecordQueuedForFaults();
}

void TcpStream::QueueCopy(std::string_view bytes) {
  if (bytes.empty() || !Usable()) return;
  queue_.AppendCopy(bytes);
  if (connected_) RecordQueuedForFaults();
}

// Called once connected: bytes queued before are delayed from the time of the connection.
void TcpStream::RecordQueuedForFaults() {
  if (faults_ != nullptr) faults_->RecordQueued(remote_endpoint_, written_bytes_ + queue_.bytes());
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
  while (queue_.bytes() > 0 && WriteSome()) {
  }
  if (broken_) return;
  if (queue_.bytes() == 0 && shutdown_pending_) {
    boost::system::error_code ignored;
    socket_.shutdown(TcpSocket::shutdown_send, ignored);
  }
  if (written_bytes_ == before) return;
  boost::asio::post(*environment_->io_context, [self = shared_from_this()] {
    if (self->Usable()) self->owner_->OnProgress();
  });
}

bool TcpStream::WriteSome() {
  size_t allowed = queue_.bytes();
  if (faults_ != nullptr) {
    allowed = faults_->SendLimit(written_bytes_ + queue_.bytes()) - written_bytes_;
    if (allowed == 0) return false;
  }
  WriteQueue::Buffers buffers;
  const size_t count = queue_.Peek(allowed, &buffers);
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
  queue_.Consume(written);
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
    environment_->partitioned_sockets.push_back({remote_endpoint_, std::move(socket_)});
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
  reset_on_close_ = true;  // unacknowledged bytes must not reach the peer any more
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
