#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/runtime/clock.h"

// HTTP interfaces that depend on no HTTP library, so that gateways and emulators run unchanged over
// Beast and in the simulator. Field names are compared case-insensitively (RFC 9110, 5.1). All
// calls and callbacks are on the event loop thread.
namespace posthatch::http {

class Headers {
 public:
  // First value of `name`, or an empty view.
  std::string_view Get(std::string_view name) const;
  bool Has(std::string_view name) const;
  // Adds a field; an existing one of the same name stays.
  void Add(std::string_view name, std::string_view value);
  const std::vector<std::pair<std::string, std::string>>& fields() const { return fields_; }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

struct Request {
  std::string method;  // upper case
  std::string target;  // path and query, as sent
  Headers headers;
  std::string body;
  // Identifies the caller's connection: equal for requests on one persistent connection.
  uint64_t connection_id = 0;
  // When the connection was accepted or the previous response on it ended: the caller sent the
  // request later. A connection that waited while this process was stopped counts as accepted only
  // afterwards. The clock's epoch if unknown.
  runtime::MonotonicTime sent_after{};
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

// Sends the response to one request: either SendResponse once, or StartStream, any number of
// WriteChunk, and then FinishStream or Abort. Destroying it before the end aborts. Never throws;
// calls after the caller has disconnected are ignored.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void SendResponse(Response response) = 0;
  // Sends status and fields now; the body follows in chunks (RFC 9112, 7.1).
  virtual void StartStream(Response head) = 0;
  virtual void WriteChunk(std::string chunk) = 0;
  // Completes the body: the caller sees a complete response.
  virtual void FinishStream() = 0;
  // Closes the connection without the last chunk, after everything written has been sent: the
  // caller sees that the response is incomplete.
  virtual void Abort() = 0;
  // Bytes accepted by WriteChunk and not yet sent.
  virtual size_t buffered_bytes() const = 0;
  // Runs `callback` once, when the buffered bytes are below half of max_buffered_bytes.
  virtual void OnWritable(std::function<void()> callback) = 0;
  // Runs `callback` if the caller disconnects, or has disconnected, before the end of the response.
  // A reference to the writer in the callback is released when the response ends.
  virtual void OnCallerDisconnected(std::function<void()> callback) = 0;
};

using Handler = std::function<void(Request, std::shared_ptr<ResponseWriter>)>;

struct ServerLimits {
  size_t max_header_bytes = 16UL * 1024;
  size_t max_body_bytes = 8UL * 1024 * 1024;
  size_t max_connections = 10000;
  size_t max_buffered_bytes = 1024UL * 1024;  // per response
  runtime::Duration header_timeout = std::chrono::seconds(10);
  runtime::Duration body_timeout = std::chrono::seconds(30);
  runtime::Duration idle_timeout = std::chrono::seconds(120);
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;
  // The bound address "ip:port", with the chosen port if port 0 was requested.
  virtual const std::string& endpoint() const = 0;
  // From now on each response closes its connection; new connections are still accepted.
  virtual void DisableKeepAlive() = 0;
  // Accepts no new connections, lets responses in progress complete, and closes idle connections.
  virtual void Drain() = 0;
  virtual size_t open_connections() const = 0;
};

class HttpServerFactory {
 public:
  virtual ~HttpServerFactory() = default;
  // Listens on `endpoint`. Destroying the server closes all connections immediately.
  virtual absl::StatusOr<std::unique_ptr<HttpServer>> Listen(const std::string& endpoint,
                                                             ServerLimits limits,
                                                             Handler handler) = 0;
};

// How far a call got: what may be concluded about whether the back end executed it.
enum class CallProgress {
  kNotSent,       // no byte of the request was sent: it can't have been executed
  kSent,          // some bytes were sent: the back end may have executed it
  kHeadReceived,  // the status line was received
};

struct CallError {
  absl::Status
      status;  // Unavailable, DeadlineExceeded, DataLoss (truncated or malformed), Cancelled
  CallProgress progress = CallProgress::kNotSent;
};

// Callbacks of one call, in order: at most one on_head, any number of on_chunk, then exactly one of
// on_end or on_error; none after Cancel.
struct CallObserver {
  std::function<void(const Response& head)> on_head;  // head.body is empty
  std::function<void(std::string chunk)> on_chunk;
  std::function<void()> on_end;
  std::function<void(CallError)> on_error;
};

// Which pooled connections a call may use.
struct PooledConnectionRules {
  // Only those that have been idle for less than this fraction of the time for which their server
  // keeps idle connections. Lower where a request must not be lost to a connection that was just
  // closed.
  double max_idle_fraction = 0.75;
  // None of these (ConnectionUse::connection_id). A server may send a response again, late, in the
  // place of the next one on the connection: a call excludes the connections of earlier calls whose
  // response could be taken for its own.
  std::vector<uint64_t> excluded;
};

struct CallOptions {
  runtime::Duration connect_timeout = std::chrono::milliseconds(500);
  // Longest time until the status line; zero for no limit.
  runtime::Duration head_timeout = std::chrono::seconds(30);
  // Longest time without a body byte; zero for no limit.
  runtime::Duration body_idle_timeout = std::chrono::seconds(30);
  size_t max_body_bytes = 64UL * 1024 * 1024;
  // Use a connection of its own: a new one that is closed after the response. For calls whose
  // response could be taken for that of any other call on the connection, and where the peer may
  // have closed a pooled connection on which the request must not be lost.
  bool fresh_connection = false;
  // Accept a response without length or chunks as complete when the server closes its side (RFC
  // 9112, 6.3). Off: such a response is an error, since a truncated one can look the same.
  bool accept_close_delimited = false;
  PooledConnectionRules pooled_connections;
};

// The place of a call among the calls on its connection.
struct ConnectionUse {
  uint64_t connection_id = 0;  // unique among the client's connections; 0: no connection
  uint64_t call_number = 0;    // 1 for the first call on the connection
};

// A call in progress. Destroying the handle cancels it: the connection is closed, so that the back
// end can stop. StopReading stops reading from the back end until ResumeReading.
class Call {
 public:
  virtual ~Call() = default;
  virtual void StopReading() = 0;
  virtual void ResumeReading() = 0;
  // Called within on_head if that response belongs to another call on the connection: drops it and
  // waits for the next one, within the same head_timeout; on_head is then called again. Returns
  // false if the connection can't carry another response.
  virtual bool SkipResponse() = 0;
  // Of this call, also after its end.
  virtual ConnectionUse connection_use() const = 0;
};

class HttpClient {
 public:
  virtual ~HttpClient() = default;
  // Sends `request` to "ip:port". No callback runs before Start returns.
  virtual std::unique_ptr<Call> Start(const std::string& endpoint, Request request,
                                      CallOptions options, CallObserver observer) = 0;
  // Whether a call to "ip:port" under these rules would use a pooled connection now.
  virtual bool HasPooledConnection(const std::string& endpoint,
                                   const PooledConnectionRules& rules) const = 0;
};

}  // namespace posthatch::http
