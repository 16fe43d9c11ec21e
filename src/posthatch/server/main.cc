#include "posthatch/server/command_line.h"
#include "posthatch/server/controller_node.h"
#include "posthatch/server/gateway_node.h"

namespace posthatch::server {
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
}  // namespace posthatch::server

int main(int argc, char** argv) {
  posthatch::server::NodeFactory factory;
  return posthatch::server::RunCommandLine(argc, argv, &factory);
}
