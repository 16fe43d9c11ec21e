#pragma once

#include "posthatch/runtime/clock.h"

namespace posthatch::simulation {

// The processor time of the callbacks of simulated processes. Hosts without a model need none. The
// simulator stays deterministic if the model does. Owned by the test; must outlive the world; may
// be shared by hosts, whose callbacks never overlap in real time.
class ProcessorModel {
 public:
  virtual ~ProcessorModel() = default;

  // Called before a callback runs.
  virtual void OnCallbackBegin() = 0;
  // Called after a callback has run; returns the time for which it keeps its host's processor.
  virtual runtime::Duration OnCallbackEnd() = 0;
};

}  // namespace posthatch::simulation
