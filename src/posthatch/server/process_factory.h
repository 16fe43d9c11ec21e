#pragma once

#include <memory>

#include "posthatch/runtime/runtime.h"
#include "posthatch/server/process.h"
#include "posthatch/server/settings/node_settings.h"

namespace posthatch::server {

// Builds the process of a role; tests use a factory of scripted processes instead.
class ProcessFactory {
 public:
  virtual ~ProcessFactory() = default;
  virtual std::unique_ptr<Process> MakeGateway(runtime::Runtime* runtime,
                                               const GatewaySettings& settings) = 0;
  virtual std::unique_ptr<Process> MakeController(runtime::Runtime* runtime,
                                                  const ControllerSettings& settings) = 0;
};

}  // namespace posthatch::server
