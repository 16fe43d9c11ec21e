#pragma once

#include <memory>

#include "posthatch/daemon/node_settings.h"
#include "posthatch/daemon/process.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::daemon {

// Builds the process of a role; what tests replace by a trivial one.
class ProcessFactory {
 public:
  virtual ~ProcessFactory() = default;
  virtual std::unique_ptr<Process> MakeGateway(runtime::Runtime* runtime,
                                               const GatewaySettings& settings) = 0;
  virtual std::unique_ptr<Process> MakeController(runtime::Runtime* runtime,
                                                  const ControllerSettings& settings) = 0;
};

}  // namespace posthatch::daemon
