#include "posthatch/net/asio_runtime.h"

#include <google/protobuf/stubs/logging.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <optional>
#include <random>
#include <utility>

#include "posthatch/net/asio_clock.h"
#include "posthatch/net/asio_file_system.h"
#include "posthatch/net/asio_timer_service.h"
#include "posthatch/net/asio_transport.h"
#include "posthatch/net/beast_http_server.h"
#include "posthatch/net/tcp_stream.h"

namespace posthatch::net {
namespace {

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

// Runs a callback on the event loop thread each time one of `signals` is received, until it is
// destroyed.
class SignalWatch {
 public:
  template <typename... Signals>
  SignalWatch(boost::asio::io_context* io_context, std::function<void()> callback,
              Signals... signals)
      : signals_(*io_context, signals...), callback_(std::move(callback)) {
    Wait();
  }

 private:
  void Wait() {
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      callback_();
      Wait();
    });
  }

  boost::asio::signal_set signals_;
  const std::function<void()> callback_;
};

class AsioRuntimeImpl : public AsioRuntime {
 public:
  explicit AsioRuntimeImpl(std::unique_ptr<JsonTraceSink> trace)
      : trace_(std::move(trace)),
        work_(io_context_.get_executor()),
        timers_(&io_context_),
        random_(RandomSeed()) {
    environment_.io_context = &io_context_;
  }

  ~AsioRuntimeImpl() override {
    // Sockets kept open by an injected partition must not outlive the event loop.
    if (faults_ != nullptr) faults_->SetRules({});
  }

  absl::Status Open(const AsioRuntimeOptions& options) {
    if (options.enable_fault_injection) {
      faults_ = std::make_unique<FaultInjection>();
      environment_.faults = faults_.get();
      faults_->Subscribe([this] { CloseHealedSockets(&environment_); });
    }
    http_client_ = MakeBeastHttpClient(&environment_, options.http_client, &metrics_);
    http_servers_ = MakeBeastHttpServerFactory(&environment_, &metrics_);
    if (!options.data_folder.empty()) {
      auto file_system = MakeAsioFileSystem(
          {.data_folder = options.data_folder,
           .post = [this](std::function<void()> callback) { Post(std::move(callback)); },
           .faults = faults_.get()},
          &metrics_);
      if (!file_system.ok()) return file_system.status();
      file_system_ = *std::move(file_system);
    }
    if (!options.internal_endpoint.empty()) {
      auto transport = MakeAsioTransport(&environment_,
                                         {.node_id = options.node_id,
                                          .endpoint = options.internal_endpoint,
                                          .incarnation = random_()},
                                         options.transport, &random_, trace_.get(), &metrics_);
      if (!transport.ok()) return transport.status();
      transport_ = *std::move(transport);
    }
    FillRuntime();
    return absl::OkStatus();
  }

  runtime::Runtime* runtime() override { return &runtime_; }
  JsonTraceSink* trace() override { return trace_.get(); }
  FaultInjection* faults() override { return faults_.get(); }

  void Run() override {
    io_context_.restart();
    io_context_.run();
  }

  bool RunUntil(const std::function<bool()>& condition, runtime::Duration limit) override {
    io_context_.restart();
    const runtime::MonotonicTime deadline = BootNow() + limit;
    while (!condition()) {
      const runtime::Duration left = deadline - BootNow();
      if (left <= runtime::Duration::zero()) return condition();
      if (io_context_.run_one_for(left) == 0 && io_context_.stopped()) return condition();
    }
    return true;
  }

  void Stop() override { io_context_.stop(); }

  void Post(std::function<void()> callback) override {
    boost::asio::post(io_context_, std::move(callback));
  }

  void OnTerminationSignal(std::function<void()> callback) override {
    termination_watch_.emplace(&io_context_, std::move(callback), SIGTERM, SIGINT);
  }

  void OnReloadSignal(std::function<void()> callback) override {
    reload_watch_.emplace(&io_context_, std::move(callback), SIGHUP);
  }

 private:
  void FillRuntime() {
    runtime_.clock = &clock_;
    runtime_.timers = &timers_;
    runtime_.random = &random_;
    runtime_.transport = transport_.get();
    runtime_.file_system = file_system_.get();
    runtime_.http_client = http_client_.get();
    runtime_.http_servers = http_servers_.get();
    runtime_.trace = trace_.get();
    runtime_.metrics = &metrics_;
  }

  // The order of declaration matters: the event loop must outlive the objects that use it.
  const std::unique_ptr<JsonTraceSink> trace_;
  prometheus::Registry metrics_;
  std::unique_ptr<FaultInjection> faults_;
  IoEnvironment environment_;
  boost::asio::io_context io_context_{1};
  boost::asio::executor_work_guard<IoExecutor> work_;
  AsioClock clock_;
  AsioTimerService timers_;
  runtime::Random random_;
  std::optional<SignalWatch> termination_watch_;
  std::optional<SignalWatch> reload_watch_;
  std::unique_ptr<http::HttpClient> http_client_;
  std::unique_ptr<http::HttpServerFactory> http_servers_;
  std::unique_ptr<runtime::FileSystem> file_system_;
  std::unique_ptr<runtime::Transport> transport_;
  runtime::Runtime runtime_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<AsioRuntime>> AsioRuntime::Create(
    const AsioRuntimeOptions& options) {
  // Protobuf would write text to stderr for each malformed message; they are counted in a metric.
  google::protobuf::SetLogHandler(nullptr);
  auto trace = JsonTraceSink::Open(options.log_file, options.node_id, options.log_level);
  if (!trace.ok()) return trace.status();
  auto created = std::make_unique<AsioRuntimeImpl>(*std::move(trace));
  absl::Status status = created->Open(options);
  if (!status.ok()) return status;
  return created;
}

}  // namespace posthatch::net
