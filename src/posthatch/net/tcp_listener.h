#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "posthatch/net/asio_types.h"
#include "posthatch/net/tcp_stream.h"

namespace posthatch::net {

// Accepts TCP connections and continues after errors such as too many open files. Owned by the
// server or transport that it serves. Event loop thread only.
class TcpListener {
 public:
  using AcceptCallback = std::function<void(TcpSocket socket, std::string remote_endpoint)>;

  explicit TcpListener(IoEnvironment* environment) : environment_(environment) {}
  ~TcpListener() { Close(); }
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Errors as from SocketError.
  absl::Status Listen(const TcpEndpoint& endpoint, AcceptCallback accepted);
  // The bound address.
  const TcpEndpoint& endpoint() const;
  void Close();

 private:
  struct State;
  static void AcceptNext(std::shared_ptr<State> state);

  IoEnvironment* const environment_;
  std::shared_ptr<State> state_;  // shared with the pending accept
};

}  // namespace posthatch::net
