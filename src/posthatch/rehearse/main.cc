#include "posthatch/daemon/controller_node.h"
#include "posthatch/daemon/gateway_node.h"
#include "posthatch/rehearse/command_line.h"

namespace posthatch::rehearse {
namespace {

// The processes of simulated fleets are those of posthatchd.
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

}  // namespace
}  // namespace posthatch::rehearse

int main(int argc, char** argv) {
  posthatch::rehearse::SimulatedNodeFactory factory;
  return posthatch::rehearse::RunCommandLine(argc, argv, &factory);
}
