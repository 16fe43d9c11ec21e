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

// Receives a connection after a complete response, if it can be used for another call.
class HttpConnectionPool {
 public:
  // Returns false if the pool is full; the connection is then closed.
  virtual bool ReturnToPool(const std::shared_ptr<HttpClientConnection>& connection) = 0;
  // Called when a connection of the pool was closed: removes it from the pool.
  virtual void OnConnectionClosed(HttpClientConnection* connection) = 0;
  // Called when the server has sent bytes that no call had asked for.
  virtual void OnSurplusBytes() = 0;

 protected:
  ~HttpConnectionPool() = default;
};

// One connection to a server, and the call in progress on it. Shared: the pool refers to it while
// it is idle, and the call's handle during a call. Event loop thread only.
class HttpClientConnection final : public TcpStream::Owner,
                                   public std::enable_shared_from_this<HttpClientConnection> {
 public:
  // `id` is unique among the client's connections.
  HttpClientConnection(IoEnvironment* environment, uint64_t id, std::string endpoint,
                       HttpConnectionPool* pool);
  ~HttpClientConnection();

  // Starts a call on a connection that is idle or new; a new one first connects to `address`.
  // `request` must have been validated. `call` identifies this call among all calls of the
  // connection; never 0.
  void Begin(uint64_t call, const TcpEndpoint& address, const http::Request& request,
             const http::CallOptions& options, http::CallObserver observer);
  // The call in progress; 0 if none.
  uint64_t running_call() const { return running_call_; }
  // Ends the call without a callback.
  void Cancel();
  // Fails the call from the event loop with `status`, without sending anything.
  void FailUnsent(uint64_t call, absl::Status status, http::CallObserver observer);
  void StopReading();
  void ResumeReading();
  // See http::Call.
  bool SkipResponse();

  // Ends an idle connection.
  void CloseIdle() { stream_->Close(); }
  void SetIdleDeadline(runtime::Duration timeout) { stream_->SetDeadlineAfter(timeout); }
  // How long the server keeps this connection open while idle, from the Keep-Alive field of its
  // last response (timeout=SECONDS); zero if the response had none.
  runtime::Duration keep_alive_timeout() const { return keep_alive_timeout_; }
  // Called by the pool: the connection became idle at `since`, and its server keeps an idle
  // connection open for `idle_lifetime`.
  void MarkIdle(runtime::MonotonicTime since, runtime::Duration idle_lifetime) {
    idle_since_ = since;
    idle_lifetime_ = idle_lifetime;
  }
  // Whether the connection has been idle for less than `fraction` of its idle lifetime.
  bool IdleWithin(double fraction, runtime::MonotonicTime now) const {
    return now - idle_since_ < idle_lifetime_ * fraction;
  }
  uint64_t id() const { return id_; }
  // Number of calls begun on this connection.
  uint64_t calls_begun() const { return calls_begun_; }
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
  // Fails the call if the peer has acknowledged no byte of the request; continues to wait for the
  // head otherwise.
  void CheckDelivery();
  // Whether the peer has acknowledged no byte of the request, checked once kDeliveryTimeout has
  // passed.
  bool NoByteAcknowledged();
  void StartParser();
  void Parse(std::string_view bytes);
  bool DeliverHead();
  // The skipped response is complete: waits for the next one.
  void AwaitNextHead();
  // Completes a response whose end is marked by the server closing its side. Returns false if the
  // response is not delimited that way.
  bool FinishCloseDelimited();
  void Finish();
  void Fail(absl::Status status);
  http::CallProgress Progress() const;

  IoEnvironment* const environment_;
  const uint64_t id_;
  const std::string endpoint_;
  HttpConnectionPool* pool_;
  std::shared_ptr<TcpStream> stream_;
  Phase phase_ = Phase::kIdle;
  uint64_t running_call_ = 0;
  uint64_t calls_begun_ = 0;  // the first call connects
  bool paused_ = false;
  bool head_request_ = false;
  uint64_t written_at_start_ = 0;         // bytes written to the stream before this call
  runtime::MonotonicTime head_deadline_;  // used in kAwaitingHead; max(): no deadline
  http::CallOptions options_;
  // Shared, since a callback may end the call and with it this reference.
  std::shared_ptr<const http::CallObserver> observer_;
  std::optional<ResponseParser> parser_;
  bool head_delivered_ = false;
  bool skipping_ = false;  // the response in progress belongs to another call
  std::string unparsed_;
  runtime::Duration keep_alive_timeout_{0};
  runtime::MonotonicTime idle_since_;
  runtime::Duration idle_lifetime_{0};
};

}  // namespace posthatch::net
