#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/http/http.h"

namespace posthatch::rollout {

// A command to a worker to load a model's weights.
struct LoadWeightsCommand {
  std::string worker_id;  // the only incarnation that may accept it
  std::string model;
  uint64_t revision = 0;
  std::string issuer;  // node id of the controller that sends it
  uint64_t fencing_token = 0;
};

// A worker's response to a command.
enum class WorkerCommandResult {
  kAccepted,          // accepted: the worker loads the weights now
  kAlreadyServed,     // the worker serves the revision already
  kBusy,              // the worker is executing another command
  kFenced,            // a command with a newer fencing token was received
  kWrongIncarnation,  // the address belongs to another incarnation
  kRejected,          // the worker can't execute the command
  kUnknown,           // any other response: it may have been accepted
};

// Status reported by a worker.
struct WorkerStatus {
  uint64_t revision = 0;  // revision of the requested model; 0: model not served
  bool busy = false;      // a command is in progress
  uint32_t running = 0;
  uint32_t waiting = 0;
};

// The HTTP form of commands to workers and of their status, on one platform. Implementations are
// stateless; any thread.
class WorkerCommandFormat {
 public:
  virtual ~WorkerCommandFormat() = default;
  virtual http::Request MakeLoadWeightsRequest(const LoadWeightsCommand& command) const = 0;
  // Depends only on the HTTP status of the response.
  virtual WorkerCommandResult ParseCommandResult(const http::Response& head) const = 0;
  virtual http::Request MakeStatusRequest(const std::string& worker_id) const = 0;
  // InvalidArgument if `body` is not a status.
  virtual absl::StatusOr<WorkerStatus> ParseStatus(const std::string& body,
                                                   const std::string& model) const = 0;
};

}  // namespace posthatch::rollout
