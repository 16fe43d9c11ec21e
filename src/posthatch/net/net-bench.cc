// Measures requests per second and latency of the HTTP server and client on loopback. Server and
// client share one event loop thread, so a request includes the work of both.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <vector>

#include "posthatch/net/asio_runtime.h"

namespace posthatch::net {
namespace {

std::unique_ptr<AsioRuntime> MakeRuntime() {
  AsioRuntimeOptions options;
  options.node_id = "bench";
  options.log_level = runtime::Severity::kError;
  return AsioRuntime::Create(options).value();
}

// Keeps `concurrency` calls in flight until `total` calls have ended.
class Load {
 public:
  Load(runtime::Runtime* runtime, std::string endpoint, int64_t total)
      : runtime_(runtime),
        endpoint_(std::move(endpoint)),
        calls_to_start_(total),
        calls_to_end_(total) {
    latencies_.reserve(static_cast<size_t>(total));
  }

  void Start(int concurrency) {
    calls_.resize(static_cast<size_t>(concurrency));
    for (size_t slot = 0; slot < calls_.size(); ++slot) StartCall(slot);
  }

  bool done() const { return calls_to_end_ == 0; }
  int64_t errors() const { return errors_; }
  double PercentileMicroseconds(double fraction) {
    std::sort(latencies_.begin(), latencies_.end());
    const size_t index = static_cast<size_t>(fraction * static_cast<double>(latencies_.size() - 1));
    return static_cast<double>(latencies_[index].count()) / 1000.0;
  }

 private:
  void StartCall(size_t slot) {
    if (calls_to_start_ == 0) return;
    --calls_to_start_;
    http::Request request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers.Add("Content-Type", "application/json");
    request.headers.Add("Authorization", "Bearer 0123456789abcdef");
    request.headers.Add("X-Request-Id", "request-1");
    request.body = std::string(200, 'x');
    const runtime::MonotonicTime start = runtime_->clock->Now();
    http::CallObserver observer;
    observer.on_head = [](const http::Response&) {};
    observer.on_chunk = [](const std::string&) {};
    observer.on_end = [this, slot, start] { OnCallEnded(slot, start); };
    observer.on_error = [this, slot, start](const http::CallError&) {
      ++errors_;
      OnCallEnded(slot, start);
    };
    calls_[slot] = runtime_->http_client->Start(endpoint_, std::move(request), {}, observer);
  }

  void OnCallEnded(size_t slot, runtime::MonotonicTime start) {
    latencies_.push_back(runtime_->clock->Now() - start);
    --calls_to_end_;
    StartCall(slot);
  }

  runtime::Runtime* const runtime_;
  const std::string endpoint_;
  int64_t calls_to_start_;
  int64_t calls_to_end_;
  int64_t errors_ = 0;
  std::vector<std::unique_ptr<http::Call>> calls_;
  std::vector<runtime::Duration> latencies_;
};

void BenchmarkCompleteResponses(benchmark::State& state) {
  constexpr int64_t kCalls = 20000;
  const auto asio_runtime = MakeRuntime();
  auto server = asio_runtime->runtime()->http_servers->Listen(
      "127.0.0.1:0", {},
      [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
        http::Response response;
        response.headers.Add("Content-Type", "application/json");
        response.body = std::string(300, 'y');
        writer->SendResponse(std::move(response));
      });
  double p50 = 0;
  double p99 = 0;
  for (auto _ : state) {
    Load load(asio_runtime->runtime(), (*server)->endpoint(), kCalls);
    load.Start(static_cast<int>(state.range(0)));
    asio_runtime->RunUntil([&load] { return load.done(); }, std::chrono::seconds(60));
    if (load.errors() > 0 || !load.done()) state.SkipWithError("calls failed");
    p50 = load.PercentileMicroseconds(0.5);
    p99 = load.PercentileMicroseconds(0.99);
  }
  state.SetItemsProcessed(state.iterations() * kCalls);
  state.counters["p50_us"] = p50;
  state.counters["p99_us"] = p99;
}
BENCHMARK(BenchmarkCompleteResponses)->Arg(1)->Arg(32)->Arg(256)->Unit(benchmark::kMillisecond);

void BenchmarkStreamedChunks(benchmark::State& state) {
  constexpr int kChunks = 50;
  constexpr int64_t kCalls = 1000;
  const auto asio_runtime = MakeRuntime();
  auto server = asio_runtime->runtime()->http_servers->Listen(
      "127.0.0.1:0", {},
      [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
        writer->StartStream({});
        for (int chunk = 0; chunk < kChunks; ++chunk) writer->WriteChunk(std::string(100, 'z'));
        writer->FinishStream();
      });
  for (auto _ : state) {
    Load load(asio_runtime->runtime(), (*server)->endpoint(), kCalls);
    load.Start(32);
    asio_runtime->RunUntil([&load] { return load.done(); }, std::chrono::seconds(60));
    if (load.errors() > 0 || !load.done()) state.SkipWithError("calls failed");
  }
  state.SetItemsProcessed(state.iterations() * kCalls * kChunks);
}
BENCHMARK(BenchmarkStreamedChunks)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace posthatch::net
