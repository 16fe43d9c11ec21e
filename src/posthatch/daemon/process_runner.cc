#include "posthatch/daemon/process_runner.h"

#include <optional>
#include <utility>

#include "posthatch/daemon/common_http.h"
#include "posthatch/runtime/timer_service.h"

namespace posthatch::daemon {
namespace {

using runtime::Severity;

// How often a draining process looks whether its last answers have ended.
constexpr runtime::Duration kDrainPollInterval = std::chrono::milliseconds(10);

class ProcessRunner {
 public:
  ProcessRunner(asio::AsioRuntime* asio_runtime, const NodeSettings& node,
                const http::ServerLimits& limits)
      : asio_runtime_(asio_runtime),
        runtime_(asio_runtime->runtime()),
        node_(node),
        limits_(limits),
        drain_deadline_(runtime_->timers),
        drain_poll_(runtime_->timers) {}

  absl::Status Run(const MakeProcess& make_process) {
    // No request is read before the event loop runs, and then the process is there.
    auto server = runtime_->http_servers->Listen(
        node_.http_endpoint, limits_,
        [this](http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
          common_http_->Handle(std::move(request), std::move(writer));
        });
    if (!server.ok()) return server.status();
    server_ = *std::move(server);
    process_ = make_process(server_->endpoint());
    common_http_.emplace(MakeOptions());
    absl::Status started = process_->Start();
    if (!started.ok()) return started;
    runtime_->trace->Event(Severity::kInfo, "ProcessStarted",
                           {{"http_endpoint", server_->endpoint()},
                            {"internal_endpoint", InternalEndpoint()},
                            {"zone", node_.zone}});
    asio_runtime_->OnTerminationSignal([this] { BeginDrain(); });
    asio_runtime_->Run();
    runtime_->trace->Event(Severity::kInfo, "ProcessEnded",
                           {{"complete", process_drained_ && server_->open_connections() == 0}});
    return absl::OkStatus();
  }

 private:
  CommonHttpOptions MakeOptions() {
    CommonHttpOptions options;
    options.process = process_.get();
    options.metrics = runtime_->metrics;
    options.admin_token_sha256 = node_.admin_token_sha256;
    options.set_log_level = [this](std::string_view name) -> absl::Status {
      const auto level = asio::ParseSeverity(name);
      if (!level.ok()) return level.status();
      asio_runtime_->trace()->SetLevel(*level);
      return absl::OkStatus();
    };
    if (asio_runtime_->faults() == nullptr) return options;
    options.set_faults = [this](std::string_view json) -> absl::Status {
      auto rules = asio::ParseFaultRules(json);
      if (!rules.ok()) return rules.status();
      // After the answer to this call has gone out: it may cut its own caller off.
      asio_runtime_->Post([this, rules = *std::move(rules)]() mutable {
        asio_runtime_->faults()->SetRules(std::move(rules));
      });
      runtime_->trace->Event(Severity::kWarning, "FaultsInjected", {{"rules", json}});
      return absl::OkStatus();
    };
    return options;
  }

  std::string InternalEndpoint() const {
    return runtime_->transport == nullptr ? "" : runtime_->transport->endpoint();
  }

  void BeginDrain() {
    if (draining_) return;
    draining_ = true;
    runtime_->trace->Event(Severity::kInfo, "DrainStarted",
                           {{"connections", server_->open_connections()}});
    common_http_->SetDraining();
    server_->Drain();
    drain_deadline_.Start(node_.drain_deadline, [this] { asio_runtime_->Stop(); });
    process_->Drain([this] {
      process_drained_ = true;
      StopWhenQuiet();
    });
  }

  void StopWhenQuiet() {
    if (server_->open_connections() == 0) {
      asio_runtime_->Stop();
      return;
    }
    drain_poll_.Start(kDrainPollInterval, [this] { StopWhenQuiet(); });
  }

  asio::AsioRuntime* const asio_runtime_;
  runtime::Runtime* const runtime_;
  const NodeSettings node_;
  const http::ServerLimits limits_;
  std::unique_ptr<Process> process_;
  std::optional<CommonHttp> common_http_;
  std::unique_ptr<http::HttpServer> server_;
  bool draining_ = false;
  bool process_drained_ = false;
  runtime::Timer drain_deadline_;
  runtime::Timer drain_poll_;
};

}  // namespace

absl::Status RunProcess(asio::AsioRuntime* asio_runtime, const NodeSettings& node,
                        const http::ServerLimits& limits, const MakeProcess& make_process) {
  return ProcessRunner(asio_runtime, node, limits).Run(make_process);
}

}  // namespace posthatch::daemon
