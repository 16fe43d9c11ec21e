#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/http/http.h"

namespace posthatch::orders {

// An order to load a model's weights.
struct LoadOrder {
  std::string worker_id;  // the only incarnation that may take it
  std::string model;
  uint64_t revision = 0;
  std::string holder;  // the machine that orders
  uint64_t fencing_token = 0;
};

enum class OrderAnswer {
  kTaken,    // it is under way
  kHolds,    // the worker serves the revision already
  kBusy,     // another order is under way
  kFenced,   // a newer holder has ordered
  kGone,     // another worker has the address
  kRefused,  // it can't be done
  kUnclear,  // no such answer: it may have been taken
};

struct WorkerReport {
  uint64_t revision = 0;  // of the model asked for; 0: it doesn't serve that model
  bool busy = false;      // an order is under way
  uint32_t running = 0;
  uint32_t waiting = 0;
};

// How workers are ordered and asked for their state. Stateless; any thread.
class OrderFormat {
 public:
  virtual ~OrderFormat() = default;
  virtual http::Request OrderRequest(const LoadOrder& order) const = 0;
  virtual OrderAnswer ReadOrderAnswer(const http::Response& head) const = 0;
  virtual http::Request ReportRequest(const std::string& worker_id) const = 0;
  // InvalidArgument if `body` is not a report.
  virtual absl::StatusOr<WorkerReport> ReadReport(const std::string& body,
                                                  const std::string& model) const = 0;
};

}  // namespace posthatch::orders
