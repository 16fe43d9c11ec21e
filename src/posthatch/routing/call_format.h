#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// A part of a prompt that may be cached and shared. Its id identifies its content and all segments
// before it.
struct PromptSegment {
  std::string id;
  uint32_t tokens = 0;
};

// The fields of a caller's request that routing reads; everything else is forwarded unchanged.
struct InboundCall {
  std::string request_id;
  std::string credential;                      // the caller's key; empty if there is none
  std::string model;                           // empty if the call is not a prompt
  std::vector<PromptSegment> segments;         // segments of the prompt, in order
  std::optional<runtime::Duration> time_left;  // how long the caller will wait
  std::string resume_after;                    // id of the last event received; may be empty
};

// The fields that a dispatch adds to the caller's request.
struct DispatchFields {
  std::string instance_id;           // the only worker incarnation that may run the call
  std::string tenant;                // empty: none
  runtime::Duration time_left{0};    // time after which the worker stops
  std::string cache_salt;            // empty: none
  uint64_t expected_revision = 0;    // 0: any
  std::optional<uint32_t> priority;  // 0 is the highest
  std::string fetch_endpoint;        // source to fetch cached segments from; empty: none
  std::string save_endpoint;         // store to save segments to; empty: none
  std::string resume_after;          // id of the last event relayed; empty: from the start
};

// Whether a worker ran a call.
enum class Execution {
  kRan,          // the worker ran the call
  kNotExecuted,  // the worker says that it did not and will not run it
  kUnknown,      // the worker may have run the call
};

// Classification of a response by its head.
struct ResponseClassification {
  bool matches_request = true;  // whether it is the response to this call
  bool has_request_id = true;   // whether it bears the id of any call
  Execution execution = Execution::kUnknown;
  bool misdirected = false;  // the address belongs to another incarnation or revision
  uint64_t revision = 0;     // model revision that the worker serves; 0: not given
  std::string instance_id;   // id of the worker that responded; empty: not given
};

// Why the gateway replies itself, in place of a worker.
enum class LocalReplyReason {
  kMalformed,     // the call can't be read
  kUnknownRoute,  // no route matches
  kUnauthorized,  // the key is not known
  kUnavailable,   // the call has not run and will not: the caller may retry
  kFailed,        // the call may have run; no complete response was received
  kTimeout,       // the call may have run; its deadline has passed
};

// A response made by the gateway.
struct LocalReply {
  LocalReplyReason reason = LocalReplyReason::kUnavailable;
  runtime::Duration retry_after{0};  // 0: none
  std::string detail;                // human-readable
};

// The HTTP encoding of calls, dispatches and replies on one platform. Contains no policy: it only
// translates, and the routing component decides. Implementations are stateless; any thread.
class CallFormat {
 public:
  virtual ~CallFormat() = default;
  // InvalidArgument if a field that routing needs is malformed.
  virtual absl::StatusOr<InboundCall> ReadCall(const http::Request& request) const = 0;
  // The request for the worker: the caller's request with `fields` added. Method, target and body
  // stay unchanged.
  virtual http::Request MakeDispatch(const http::Request& original,
                                     const DispatchFields& fields) const = 0;
  // Reads the head of a worker's response to `call`. Never fails: what can't be read is unknown.
  virtual ResponseClassification ClassifyResponse(const InboundCall& call,
                                                  const http::Response& head) const = 0;
  // Returns a complete response. For kUnavailable its status says that the call has not run.
  virtual http::Response MakeLocalReply(const LocalReply& reply) const = 0;
};

}  // namespace posthatch::routing
