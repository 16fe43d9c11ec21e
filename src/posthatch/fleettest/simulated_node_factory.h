#pragma once

#include <memory>

#include "posthatch/server/controller_node.h"
#include "posthatch/server/gateway_node.h"
#include "posthatch/server/process_factory.h"

namespace posthatch::fleettest {

// Builds posthatchd's processes for simulated fleets. Stateless and thread-safe.
class SimulatedNodeFactory : public server::ProcessFactory {
 public:
  std::unique_ptr<server::Process> MakeGateway(runtime::Runtime* runtime,
                                               const server::GatewaySettings& settings) override {
    return std::make_unique<server::GatewayNode>(runtime, settings);
  }
  std::unique_ptr<server::Process> MakeController(
      runtime::Runtime* runtime, const server::ControllerSettings& settings) override {
    return std::make_unique<server::ControllerNode>(runtime, settings);
  }
};

}  // namespace posthatch::fleettest
