#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/http/http.h"

namespace posthatch::rollout {

// An order to load a model's weights.
struct LoadWeightsCommand {
  std::string worker_id;  // the only incarnation that may take it
  std::string model;
  uint64_t revision = 0;
  std::string issuer;  // the machine that orders
  uint64_t fencing_token = 0;
};

enum class WorkerCommandResult {
  kAccepted,          // it is under way
  kAlreadyServed,     // the worker serves the revision already
  kBusy,              // another order is under way
  kFenced,            // a newer holder has ordered
  kWrongIncarnation,  // another worker has the address
  kRejected,          // it can't be done
  kUnknown,           // no such answer: it may have been taken
};

struct WorkerStatus {
  uint64_t revision = 0;  // of the model asked for; 0: it doesn't serve that model
  bool busy = false;      // an order is under way
  uint32_t running = 0;
  uint32_t waiting = 0;
};

// How workers are ordered and asked for their state. Stateless; any thread.
class WorkerCommandFormat {
 public:
  virtual ~WorkerCommandFormat() = default;
  virtual http::Request MakeLoadWeightsRequest(const LoadWeightsCommand& command) const = 0;
  virtual WorkerCommandResult ParseCommandResult(const http::Response& head) const = 0;
  virtual http::Request MakeStatusRequest(const std::string& worker_id) const = 0;
  // InvalidArgument if `body` is not a report.
  virtual absl::StatusOr<WorkerStatus> ParseStatus(const std::string& body,
                                                   const std::string& model) const = 0;
};

}  // namespace posthatch::rollout
