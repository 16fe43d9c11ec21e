#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/net/http_message.h"
#include "posthatch/net/tcp_stream.h"

namespace posthatch::net {

class HttpClientConnection;

// Takes a connection back after a complete response, if it can serve another call.
class HttpConnectionPool {
 public:
  // Returns false if the pool is full; the connection is then closed.
  virtual bool ReturnToPool(const std::shared_ptr<HttpClientConnection>& connection) = 0;
  // An idle connection was closed.
  virtual void OnConnectionClosed(HttpClientConnection* connection) = 0;

 protected:
  ~HttpConnectionPool() = default;
};

// One connection to a server, and the call that runs on it. Shared by the pool while idle, and by
// the call's handle while it runs. Event loop thread only.
class HttpClientConnection final : public TcpStream::Owner,
                                   public std::enable_shared_from_this<HttpClientConnection> {
 public:
  HttpClientConnection(IoEnvironment* environment, std::string endpoint, HttpConnectionPool* pool);
  ~HttpClientConnection();

  // Starts a call on a connection that is new (it then connects to `address`) or idle. `request`
  // has been validated. `call` identifies this call among all calls of the connection; never 0.
  void Begin(uint64_t call, const TcpEndpoint& address, const http::Request& request,
             const http::CallOptions& options, http::CallObserver observer);
  // The call in progress; 0 if none.
  uint64_t running_call() const { return running_call_; }
  // Ends the call without a callback.
  void Cancel();
  // Fails the call soon, before it has touched the network.
  void FailUnsent(uint64_t call, absl::Status status, http::CallObserver observer);
  void StopReading();
  void ResumeReading();

  // Ends an idle connection.
  void CloseIdle() { stream_->Close(); }
  void SetIdleDeadline(runtime::Duration timeout) { stream_->SetDeadlineAfter(timeout); }
  // How long the server keeps this connection while idle, by its last response (Keep-Alive:
  // timeout=SECONDS); zero if it did not say.
  runtime::Duration keep_alive_timeout() const { return keep_alive_timeout_; }
  // Set by the pool: when the connection became idle, and for how long its server keeps it.
  void MarkIdle(runtime::MonotonicTime since, runtime::Duration idle_lifetime) {
    idle_since_ = since;
    idle_lifetime_ = idle_lifetime;
  }
  // Whether the connection has been idle for less than the fraction `share` of that time.
  bool IdleWithin(double fraction, runtime::MonotonicTime now) const {
    return now - idle_since_ < idle_lifetime_ * fraction;
  }
  const std::string& endpoint() const { return endpoint_; }

  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnReadEnd() override;
  void OnBroken(absl::Status status) override;
  void OnDeadline() override;

 private:
  enum class Phase { kIdle, kConnecting, kAwaitingHead, kReadingBody, kEnded };

  void Send(const http::Request& request);
  void AwaitHead();
  // Fails the call if no byte was delivered; waits for the head otherwise.
  void CheckDelivery();
  // Whether the peer has acknowledged no byte of the request, although it had the time to.
  bool NoByteAcknowledged();
  void StartParser();
  void Parse(std::string_view bytes);
  bool DeliverHead();
  // The server has closed its side: completes a response that is delimited by that. Returns false
  // if it is not.
  bool FinishCloseDelimited();
  void Finish();
  void Fail(absl::Status status);
  http::CallProgress Progress() const;

  IoEnvironment* const environment_;
  const std::string endpoint_;
  HttpConnectionPool* pool_;
  std::shared_ptr<TcpStream> stream_;
  Phase phase_ = Phase::kIdle;
  uint64_t running_call_ = 0;
  bool first_call_ = true;
  bool paused_ = false;
  bool head_request_ = false;
  uint64_t written_at_start_ = 0;         // stream bytes written when this call began
  runtime::MonotonicTime head_deadline_;  // while the head is awaited; the greatest time: none
  http::CallOptions options_;
  // Shared, since a callback may end the call and with it this reference.
  std::shared_ptr<const http::CallObserver> observer_;
  std::optional<ResponseParser> parser_;
  bool head_delivered_ = false;
  std::string unparsed_;
  runtime::Duration keep_alive_timeout_{0};
  runtime::MonotonicTime idle_since_;
  runtime::Duration idle_lifetime_{0};
};

}  // namespace posthatch::net
