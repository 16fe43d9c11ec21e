#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "posthatch/control/admin/arrival_estimator.h"
#include "posthatch/control/admin/evacuation_proposer.h"
#include "posthatch/control/admin/operator_format.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct OperatorApiOptions {
  // Time after which a change is reported as unavailable.
  runtime::Duration change_timeout = std::chrono::milliseconds(1500);
  runtime::Duration query_timeout = std::chrono::milliseconds(1500);
  ArrivalEstimatorOptions arrivals;
  EvacuationProposerOptions evacuations;
};

// The HTTP interface of a platform's operators: changes of the traffic configuration, model
// revisions and evacuations. A change is acknowledged once it is committed, that is, synced to disk
// by a majority of the controllers. Late copies of a change don't undo a later one: configurations
// name the version that they build on, revisions only increase, and for evacuations see
// EvacuationProposer. Owned by the controller process; event loop thread only.
class OperatorApi {
 public:
  // Every pointer must outlive this object.
  OperatorApi(runtime::Runtime* runtime, OperatorApiOptions options, const OperatorFormat* format,
              const EvacuationSet* evacuations, ControlClient* control_client,
              QueryClient* query_client);

  // Responds to an operator's request, synchronously or later; returns false and does nothing for
  // other requests.
  bool HandleRequest(const http::Request& request, std::shared_ptr<http::ResponseWriter> writer);
  // Must be called after the control state has changed.
  void OnStateChanged() { evacuation_proposer_.OnStateChanged(); }

 private:
  void HandleChange(Command command, const http::Request& request,
                    const std::shared_ptr<http::ResponseWriter>& writer);
  void Respond(const Command& command, const absl::StatusOr<CommandResult>& proposal_result,
               http::ResponseWriter* writer);
  void HandleRead(std::shared_ptr<http::ResponseWriter> writer);

  runtime::Runtime* const runtime_;
  const OperatorApiOptions options_;
  const OperatorFormat* const format_;
  ControlClient* const control_client_;
  QueryClient* const query_client_;
  ArrivalEstimator arrivals_;
  EvacuationProposer evacuation_proposer_;
  uint64_t last_change_id_ = 0;
};

}  // namespace posthatch::control
