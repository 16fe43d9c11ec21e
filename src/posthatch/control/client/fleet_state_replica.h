#pragma once

#include <string>
#include <utility>
#include <vector>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/control/client/gateway_session_metrics.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/trace.h"

namespace posthatch::control {

// A gateway's replica of FleetState, section by section; a section never goes back to an older
// version. Owned by GatewaySession; event loop thread only.
class FleetStateReplica {
 public:
  enum class UpdateOutcome {
    kUnchanged,
    kChanged,
    kRejected,      // the configuration is invalid (NACK): nothing was applied
    kBaseMismatch,  // a delta from another version than this replica's: nothing was applied
  };

  // `trace` and `metrics` must outlive this object.
  FleetStateReplica(runtime::TraceSink* trace, GatewaySessionMetrics* metrics)
      : trace_(trace), metrics_(metrics) {}

  // Applies those of the sections `names` of `changed` that are newer than this replica's.
  UpdateOutcome Apply(FleetState changed,
                      const google::protobuf::RepeatedPtrField<std::string>& names);

  const FleetState& state() const { return state_; }
  // Why the newest configuration was rejected; empty if it wasn't.
  const std::string& rejection() const { return rejection_; }

  void AddListener(FleetView::Listener listener) { listeners_.push_back(std::move(listener)); }
  void NotifyListeners();

 private:
  // False if the configuration is invalid; sets rejection_ either way.
  bool ValidateNewConfiguration(const FleetState& changed);

  runtime::TraceSink* const trace_;
  GatewaySessionMetrics* const metrics_;
  FleetState state_;
  std::string rejection_;
  std::vector<FleetView::Listener> listeners_;
};

}  // namespace posthatch::control
