#pragma once

#include <memory>

#include "posthatch/daemon/controller_node.h"
#include "posthatch/daemon/gateway_node.h"
#include "posthatch/daemon/process_factory.h"

namespace posthatch::rehearse {

// The processes of simulated fleets are those of posthatchd. Holds nothing: any thread.
class SimulatedNodeFactory : public daemon::ProcessFactory {
 public:
  std::unique_ptr<daemon::Process> MakeGateway(runtime::Runtime* runtime,
                                               const daemon::GatewaySettings& settings) override {
    return std::make_unique<daemon::GatewayNode>(runtime, settings);
  }
  std::unique_ptr<daemon::Process> MakeController(
      runtime::Runtime* runtime, const daemon::ControllerSettings& settings) override {
    return std::make_unique<daemon::ControllerNode>(runtime, settings);
  }
};

}  // namespace posthatch::rehearse
