#include "posthatch/daemon/command_line.h"
#include "posthatch/daemon/controller_node.h"
#include "posthatch/daemon/gateway_node.h"

namespace posthatch::daemon {
namespace {

class NodeFactory : public ProcessFactory {
 public:
  std::unique_ptr<Process> MakeGateway(runtime::Runtime* runtime,
                                       const GatewaySettings& settings) override {
    return std::make_unique<GatewayNode>(runtime, settings);
  }
  std::unique_ptr<Process> MakeController(runtime::Runtime* runtime,
                                          const ControllerSettings& settings) override {
    return std::make_unique<ControllerNode>(runtime, settings);
  }
};

}  // namespace
}  // namespace posthatch::daemon

int main(int argc, char** argv) {
  posthatch::daemon::NodeFactory factory;
  return posthatch::daemon::RunCommandLine(argc, argv, &factory);
}
