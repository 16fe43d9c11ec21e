#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"
#include "posthatch/control/admin/arrival_estimator.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/control/state/evacuation_timeline.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/util/lifetime.h"
#include "prometheus/counter.h"

namespace posthatch::control {

struct EvacuationProposerOptions {
  // Time after which an order fails.
  runtime::Duration timeout = std::chrono::milliseconds(1500);
  // Time after the sending of a call for which its caller surely still waits. Callers wait a
  // second; the rest is for pauses that ArrivalEstimator doesn't notice.
  runtime::Duration caller_patience = std::chrono::milliseconds(500);
  // Time after which the end of a caller's connection that was closed before is known here: some
  // round trips.
  runtime::Duration disconnect_notice = std::chrono::milliseconds(200);
};

// Proposes the evacuation orders of operators so that no order is applied after a later one.
//
// An order has no number: a late copy looks like a new order. But an operator sends its next order
// only after it has left all copies of this one. A copy is therefore proposed with the version of
// the evacuation (EvacuationSet) that was the newest at a time when its caller was surely still
// waiting; the controllers don't apply it once a later order has been applied, however long it is
// delayed from then on. That time is, in this order:
//   1. now, if the call was sent less than `caller_patience` ago;
//   2. before the call was sent, if the newest version was known by then;
//   3. now, if the process wasn't stopped meanwhile and the caller's connection is still open
//      `disconnect_notice` later.
// Otherwise the copy may be late, and fails: a caller that still waits sends the order again.
//
// Owned by OperatorApi; event loop thread only.
class EvacuationProposer {
 public:
  // The result; AbortedError: the order may be late and wasn't applied; otherwise as
  // ControlClient::ProposeDone.
  using Done = ControlClient::ProposeDone;

  // Every pointer must outlive this object.
  EvacuationProposer(runtime::Runtime* runtime, EvacuationProposerOptions options,
                     const EvacuationSet* evacuations, ArrivalEstimator* arrivals,
                     ControlClient* control_client);

  // Proposes `command`, which has a request id, for the caller that sent `request` and waits for
  // the response of `writer`. `done` runs once unless this object is destroyed before.
  void Propose(Command command, const http::Request& request,
               std::shared_ptr<http::ResponseWriter> writer, Done done);

  // Must be called after the control state has changed.
  void OnStateChanged();

 private:
  struct Order {
    Command command;
    std::shared_ptr<http::ResponseWriter> writer;
    runtime::MonotonicTime sent_after;  // http::Request::sent_after of the call
    runtime::MonotonicTime deadline;
    Done done;
    bool caller_left = false;
  };
  using SharedOrder = std::shared_ptr<Order>;

  bool CallerSurelyWaits(const Order& order) const;
  // Whether the call may have waited to be read while this process was stopped, or the end of its
  // connection may still wait.
  bool MayHaveWaited(const Order& order) const;
  void ProposeAt(uint64_t version, const SharedOrder& order);
  void OnResult(const SharedOrder& order, const absl::StatusOr<CommandResult>& result);
  // Proposes `order` again, with the version that was the newest one when the leader applied the
  // last proposal, unless its caller has left meanwhile.
  void CheckCaller(uint64_t version, const SharedOrder& order);
  void Reject(std::string_view reason, const SharedOrder& order);

  runtime::Runtime* const runtime_;
  const EvacuationProposerOptions options_;
  const EvacuationSet* const evacuations_;
  ArrivalEstimator* const arrivals_;
  ControlClient* const control_client_;
  EvacuationTimeline timeline_;
  prometheus::Counter& late_orders_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::control
