#include "posthatch/daemon/command_line.h"

namespace posthatch::daemon {
namespace {

// Stands in until the nodes of both roles are there: alive, never ready.
class UnassembledProcess : public Process {
 public:
  absl::Status Start() override { return absl::OkStatus(); }
  bool Ready() const override { return false; }
  void Drain(std::function<void()> done) override { done(); }
  void HandleHttp(http::Request, std::shared_ptr<http::ResponseWriter> writer) override {
    writer->SendWhole({.status = 404, .headers = {}, .body = {}});
  }
};

class NodeFactory : public ProcessFactory {
 public:
  std::unique_ptr<Process> MakeGateway(runtime::Runtime*, const GatewaySettings&) override {
    return std::make_unique<UnassembledProcess>();
  }
  std::unique_ptr<Process> MakeController(runtime::Runtime*, const ControllerSettings&) override {
    return std::make_unique<UnassembledProcess>();
  }
};

}  // namespace
}  // namespace posthatch::daemon

int main(int argc, char** argv) {
  posthatch::daemon::NodeFactory factory;
  return posthatch::daemon::RunCommandLine(argc, argv, &factory);
}
