#include "posthatch/net/tcp_listener.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <utility>

#include "posthatch/net/endpoint.h"

namespace posthatch::net {
namespace {

// Delay before accepting again after an error, such as too many open files, that an immediate retry
// would only repeat.
constexpr runtime::Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// Maximum number of connections that the kernel queues until they are accepted.
constexpr int kBacklog = 4096;

}  // namespace

struct TcpListener::State {
  State(boost::asio::io_context* io_context, AcceptCallback accepted_callback)
      : acceptor(*io_context), retry_timer(*io_context), accepted(std::move(accepted_callback)) {}

  TcpAcceptor acceptor;
  BootTimer retry_timer;
  const AcceptCallback accepted;
  TcpEndpoint endpoint;
};

absl::Status TcpListener::Listen(const TcpEndpoint& endpoint, AcceptCallback accepted) {
  auto state = std::make_shared<State>(environment_->io_context, std::move(accepted));
  boost::system::error_code error;
  state->acceptor.open(endpoint.protocol(), error);
  if (!error) state->acceptor.set_option(TcpAcceptor::reuse_address(true), error);
  if (!error) state->acceptor.bind(endpoint, error);
  if (!error) state->acceptor.listen(kBacklog, error);
  if (!error) state->endpoint = state->acceptor.local_endpoint(error);
  if (error) return SocketError("listen on " + FormatEndpoint(endpoint), error);
  state_ = std::move(state);
  AcceptNext(state_);
  return absl::OkStatus();
}

const TcpEndpoint& TcpListener::endpoint() const { return state_->endpoint; }

void TcpListener::Close() {
  if (state_ == nullptr) return;
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
  state_->retry_timer.cancel();
}

void TcpListener::AcceptNext(std::shared_ptr<State> state) {
  State* const listening = state.get();
  listening->acceptor.async_accept(
      [state = std::move(state)](const boost::system::error_code& error, TcpSocket socket) {
        if (!state->acceptor.is_open()) return;
        if (!error) {
          boost::system::error_code peer_error;
          const TcpEndpoint remote = socket.remote_endpoint(peer_error);
          if (!peer_error) state->accepted(std::move(socket), FormatEndpoint(remote));
          if (state->acceptor.is_open()) AcceptNext(state);
          return;
        }
        if (error == boost::asio::error::connection_aborted) return AcceptNext(state);
        state->retry_timer.expires_after(kAcceptRetryDelay);
        state->retry_timer.async_wait([state](const boost::system::error_code& wait_error) {
          if (!wait_error && state->acceptor.is_open()) AcceptNext(state);
        });
      });
}

}  // namespace posthatch::net
