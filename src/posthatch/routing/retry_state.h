#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/http/http.h"
#include "posthatch/routing/request_outcome.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// A dispatch that failed, for the retry policy and for the log.
struct FailedDispatch {
  DispatchFailure failure = DispatchFailure::kLost;
  std::string worker_id;
  http::ConnectionUse connection{};
  runtime::Duration elapsed{0};  // from the dispatch to its failure
};

// The failed dispatches of one request, and whether another one may follow them. Invariant: a
// request that is not idempotent is dispatched again only while no dispatch of it may have run. The
// request itself checks its deadline, the fleet's retry budget (RetryBudget) and whether a worker
// is eligible. Owned by TrafficRequest; event loop thread only.
class RetryState {
 public:
  // `route` and `switches` must outlive this object.
  RetryState(const control::TrafficRoute* route, const RoutingSwitches* switches)
      : route_(route), switches_(switches) {}

  // Whether the request may run more than once.
  bool IsIdempotent() const;
  // Whether the request's stream may be resumed at another worker.
  bool IsResumable() const;

  void RecordFailure(FailedDispatch dispatch);
  // A dispatch was abandoned and may have run.
  void RecordPossibleExecution() { ++possible_executions_; }

  // Whether another dispatch is allowed after the recorded ones and `unrecorded_executions` further
  // ones that may have run.
  bool MayRetry(bool stream_started, uint32_t unrecorded_executions = 0) const;

  // Number of dispatches that may have run.
  uint32_t possible_executions() const { return possible_executions_; }
  // Whether a dispatch has reached a worker.
  bool HasReachedWorker() const { return possible_executions_ + unexecuted_attempts_ > 0; }
  // Worker ids of the failed dispatches, in order; may contain duplicates.
  const std::vector<std::string>& attempted_workers() const { return attempted_workers_; }
  // In the order in which they failed.
  const std::vector<FailedDispatch>& failed_dispatches() const { return failed_dispatches_; }
  // Label of the newest failure; empty if there is none.
  const char* last_failure() const;

 private:
  const control::TrafficRoute* const route_;
  const RoutingSwitches* const switches_;
  uint32_t possible_executions_ = 0;
  uint32_t unexecuted_attempts_ = 0;  // reached a worker and provably have not run
  std::vector<std::string> attempted_workers_;
  std::vector<FailedDispatch> failed_dispatches_;
};

}  // namespace posthatch::routing
