#pragma once

#include "posthatch/routing/worker.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// How a dispatch to a worker failed, as far as it concerns the worker's health.
enum class WorkerFailure {
  kUnreachable,    // no connection, or the address belongs to another incarnation
  kRequestFailed,  // the request was sent, and no usable response was received
};

// Outlier ejection by the results of dispatches: a worker that is unreachable, or fails repeatedly,
// gets no requests for a time that doubles with each consecutive ejection; a worker that rejects
// requests gets none for a short backoff. Keeps its state in Worker. Owned by WorkerPool; event
// loop thread only.
class OutlierDetector {
 public:
  explicit OutlierDetector(runtime::Runtime* runtime) : runtime_(runtime) {}

  // Whether the worker is neither ejected nor in backoff after a rejection.
  bool IsHealthy(const Worker& worker) const;
  void RecordSuccess(Worker* worker) const;
  // Ejects an unreachable worker at once, any other after several recent failures.
  void RecordFailure(Worker* worker, WorkerFailure failure) const;
  // The worker rejected a request without running it.
  void RecordRejection(Worker* worker) const;

 private:
  runtime::Runtime* const runtime_;
};

}  // namespace posthatch::routing
