#include "posthatch/server/process_runner.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_join.h"
#include "posthatch/runtime/timer_service.h"
#include "posthatch/server/common_http.h"
#include "posthatch/server/settings/settings_watch.h"

namespace posthatch::server {
namespace {

using runtime::Severity;

// How often a draining process checks whether its last responses have ended.
constexpr runtime::Duration kDrainPollInterval = std::chrono::milliseconds(10);

// The notice takes at most this part of the drain deadline: requests that come during it need the
// rest to end, and a process whose deadline comes first would cut them all.
constexpr int kMaxNoticePart = 3;

class ProcessRunner : private ProcessControls {
 public:
  ProcessRunner(net::AsioRuntime* asio_runtime, const NodeSettings& node,
                const http::ServerLimits& limits, const SettingsFile& settings_file)
      : asio_runtime_(asio_runtime),
        runtime_(asio_runtime->runtime()),
        node_(node),
        limits_(limits),
        settings_watch_(runtime_, settings_file, node.seeds,
                        [this](const std::vector<std::string>& seeds) { OnSeedsChanged(seeds); }),
        drain_notice_(runtime_->timers),
        drain_deadline_(runtime_->timers),
        drain_poll_(runtime_->timers) {}

  absl::Status Run(const MakeProcess& make_process) {
    // The handler may use `process_`: no request is read before the event loop runs.
    auto server = runtime_->http_servers->Listen(
        node_.http_endpoint, limits_,
        [this](http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
          if (readiness_server_ == nullptr) {
            common_http_->Handle(std::move(request), std::move(writer));
          } else {
            process_->HandleHttp(std::move(request), std::move(writer));
          }
        });
    if (!server.ok()) return server.status();
    server_ = *std::move(server);
    absl::Status readiness = ListenForReadiness();
    if (!readiness.ok()) return readiness;
    process_ = make_process(server_->endpoint());
    common_http_.emplace(MakeOptions());
    absl::Status started = process_->Start();
    if (!started.ok()) return started;
    runtime_->trace->Event(Severity::kInfo, "ProcessStarted",
                           {{"http_endpoint", server_->endpoint()},
                            {"internal_endpoint", InternalEndpoint()},
                            {"zone", node_.zone}});
    LogAdjustedSettings();
    asio_runtime_->OnTerminationSignal([this] { BeginDrain(); });
    asio_runtime_->OnReloadSignal([this] { settings_watch_.Reload(); });
    settings_watch_.Start();
    asio_runtime_->Run();
    runtime_->trace->Event(Severity::kInfo, "ProcessStopped",
                           {{"complete", process_drained_ && server_->open_connections() == 0}});
    return absl::OkStatus();
  }

 private:
  CommonHttpOptions MakeOptions() {
    CommonHttpOptions options;
    options.process = process_.get();
    options.metrics = runtime_->metrics;
    options.controls = this;
    options.admin_token_sha256 = node_.admin_token_sha256;
    return options;
  }

  void LogAdjustedSettings() {
    for (const AdjustedSetting& setting : node_.adjusted) {
      runtime_->trace->Event(
          Severity::kWarning, "SettingAdjusted",
          {{"setting", setting.key}, {"given", setting.given}, {"used", setting.used}});
    }
  }

  absl::Status SetLogLevel(std::string_view name) override {
    const auto level = net::ParseSeverity(name);
    if (!level.ok()) return level.status();
    asio_runtime_->trace()->SetLevel(*level);
    return absl::OkStatus();
  }

  bool FaultInjectionEnabled() const override { return asio_runtime_->faults() != nullptr; }

  absl::Status SetFaults(std::string_view json) override {
    auto rules = net::ParseFaultRules(json);
    if (!rules.ok()) return rules.status();
    // Applies the rules only after this request's response is sent: they may partition its caller.
    asio_runtime_->Post([this, rules = *std::move(rules)]() mutable {
      asio_runtime_->faults()->SetRules(std::move(rules));
    });
    runtime_->trace->Event(Severity::kWarning, "FaultsInjected", {{"rules", json}});
    return absl::OkStatus();
  }

  // Starts the readiness listener, which continues to respond while the callers' listener drains.
  absl::Status ListenForReadiness() {
    if (node_.readiness_endpoint.empty()) return absl::OkStatus();
    auto server = runtime_->http_servers->Listen(
        node_.readiness_endpoint, http::ServerLimits(),
        [this](http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
          common_http_->HandleReadiness(std::move(request), std::move(writer));
        });
    if (!server.ok()) return server.status();
    readiness_server_ = *std::move(server);
    return absl::OkStatus();
  }

  void OnSeedsChanged(const std::vector<std::string>& seeds) {
    runtime_->trace->Event(Severity::kInfo, "SeedsChanged", {{"seeds", absl::StrJoin(seeds, ",")}});
    process_->OnSeedsChanged(seeds);
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
    server_->DisableKeepAlive();
    drain_deadline_.Start(node_.drain_deadline, [this] { asio_runtime_->Stop(); });
    drain_notice_.Start(std::min(node_.drain_notice, node_.drain_deadline / kMaxNoticePart),
                        [this] { CloseConnections(); });
  }

  void CloseConnections() {
    server_->Drain();
    process_->Drain([this] {
      process_drained_ = true;
      StopWhenIdle();
    });
  }

  void StopWhenIdle() {
    if (server_->open_connections() == 0) {
      asio_runtime_->Stop();
      return;
    }
    drain_poll_.Start(kDrainPollInterval, [this] { StopWhenIdle(); });
  }

  net::AsioRuntime* const asio_runtime_;
  runtime::Runtime* const runtime_;
  const NodeSettings node_;
  const http::ServerLimits limits_;
  std::unique_ptr<Process> process_;
  std::optional<CommonHttp> common_http_;
  std::unique_ptr<http::HttpServer> server_;
  std::unique_ptr<http::HttpServer> readiness_server_;
  SettingsWatch settings_watch_;
  bool draining_ = false;
  bool process_drained_ = false;
  runtime::Timer drain_notice_;
  runtime::Timer drain_deadline_;
  runtime::Timer drain_poll_;
};

}  // namespace

absl::Status RunProcess(net::AsioRuntime* asio_runtime, const NodeSettings& node,
                        const http::ServerLimits& limits, const SettingsFile& settings_file,
                        const MakeProcess& make_process) {
  return ProcessRunner(asio_runtime, node, limits, settings_file).Run(make_process);
}

}  // namespace posthatch::server
