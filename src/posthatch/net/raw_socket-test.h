#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "posthatch/net/asio_runtime.h"

namespace posthatch::net {

// A plain TCP socket on loopback that can violate protocols, which client libraries don't allow.
// Reading runs the event loop under test, in the same thread.
class RawSocket {
 public:
  // Connects to "127.0.0.1:port"; the kernel accepts without the event loop running.
  static RawSocket Connect(const std::string& endpoint);
  explicit RawSocket(int descriptor) : descriptor_(descriptor) {}
  ~RawSocket() { Close(); }
  RawSocket(RawSocket&& other) noexcept : descriptor_(other.descriptor_) { other.descriptor_ = -1; }
  RawSocket& operator=(RawSocket&&) = delete;

  // Sends all of `bytes`, running `runtime` while the peer reads none; stops when the peer has
  // closed the connection.
  void Send(AsioRuntime* runtime, std::string_view bytes);
  void ShutdownSend() const;
  void Close();
  // Closes with a reset.
  void Reset();

  // Runs `runtime` until `text` is received, the connection ends or `limit` has passed; returns
  // everything received so far.
  const std::string& ReadUntil(AsioRuntime* runtime, std::string_view text,
                               runtime::Duration limit = std::chrono::seconds(5));
  // Runs `runtime` until the connection ends or `limit` has passed; returns everything received so
  // far.
  const std::string& ReadToEnd(AsioRuntime* runtime,
                               runtime::Duration limit = std::chrono::seconds(5));
  bool ended() const { return ended_; }
  // Whether the peer reset the connection; bytes not yet delivered are lost.
  bool was_reset() const { return reset_; }
  void ClearReceived() { received_.clear(); }

 private:
  void Poll();

  int descriptor_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

// A listening socket on loopback that accepts raw sockets.
class RawListener {
 public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  const std::string& endpoint() const { return endpoint_; }
  // Runs `runtime` until a connection is accepted.
  RawSocket Accept(AsioRuntime* runtime);
  // Runs `runtime` until a connection is pending or `time` has passed; returns whether one is.
  bool WaitForConnection(AsioRuntime* runtime, runtime::Duration time);

 private:
  int descriptor_;
  int accepted_ = -1;
  std::string endpoint_;
};

// Creates a runtime for tests, which logs errors only.
std::unique_ptr<AsioRuntime> MakeTestRuntime(AsioRuntimeOptions options = {});

// Runs the event loop for `time`.
void RunFor(AsioRuntime* runtime, runtime::Duration time);

}  // namespace posthatch::net
