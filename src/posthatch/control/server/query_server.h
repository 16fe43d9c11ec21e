#pragma once

#include <cstdint>
#include <string>

#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/server/control_messenger.h"
#include "posthatch/control/server/controller_host.h"
#include "posthatch/control/server/controller_metrics.h"
#include "posthatch/control/server/leadership.h"
#include "posthatch/control/server/state_views.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::control {

// On the leader: renders views of the control state after a read barrier, so that a view is never
// older than what was acknowledged before the request. On followers it responds with the leader's
// endpoint. Owned by ControllerService; event loop thread only.
class QueryServer {
 public:
  // `max_queries` limits the queries that wait for their read barrier; further ones are rejected.
  // Every pointer must outlive this object.
  QueryServer(size_t max_queries, consensus::ReplicatedLog* log, const Leadership* leadership,
              const ControllerHost* host, const ControlState* state, ControlMessenger* messenger,
              ControllerMetrics* metrics);

  void OnRequest(const ControlPeer& sender, const QueryRequest& request);

 private:
  void Respond(const std::string& endpoint, const QueryRequest& request);
  View Render(const QueryRequest& request) const;
  void Reject(const std::string& endpoint, uint64_t call);

  const size_t max_queries_;
  consensus::ReplicatedLog* const log_;
  const Leadership* const leadership_;
  const ControllerHost* const host_;
  const ControlState* const state_;
  ControlMessenger* const messenger_;
  ControllerMetrics* const metrics_;

  size_t pending_queries_ = 0;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::control
