// posthatch-emulator: one emulated back end as a process, for fleet tests.
#include <iostream>
#include <memory>

#include "posthatch/emulator/fault_route.h"
#include "posthatch/emulator/program_options.h"
#include "posthatch/emulator/worker_emulator.h"
#include "posthatch/fleettest/history/recorders.h"
#include "posthatch/net/asio_runtime.h"

namespace posthatch::emulator {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitStartFailed = 1;

int ReportStartFailure(const absl::Status& status) {
  std::cerr << "posthatch-emulator: not started: " << status.ToString() << "\n";
  return kExitStartFailed;
}

// Serves until SIGTERM or SIGINT. Requests in flight are then aborted, as when any back end stops.
template <typename Emulator, typename Settings>
int Serve(net::AsioRuntime* asio_runtime, const std::string& id, const Settings& settings,
          const std::string& history) {
  FaultRoute fault_route(asio_runtime);
  runtime::Runtime runtime = *asio_runtime->runtime();
  runtime.http_servers = &fault_route;
  const auto recorder = fleettest::JsonlHistoryRecorder::Open(runtime.clock, id, history);
  if (!recorder.ok()) return ReportStartFailure(recorder.status());
  Emulator instance(&runtime, settings, recorder->get());
  const absl::Status started = instance.Start();
  if (!started.ok()) return ReportStartFailure(started);
  runtime.trace->Event(runtime::Severity::kInfo, "EmulatorStarted",
                       {{"id", id}, {"endpoint", instance.endpoint()}});
  asio_runtime->OnTerminationSignal([asio_runtime] { asio_runtime->Stop(); });
  asio_runtime->Run();
  runtime.trace->Event(runtime::Severity::kInfo, "EmulatorStopped",
                       {{"id", id}, {"lost_history_events", (*recorder)->lost_events()}});
  return kExitOk;
}

std::string IdOf(const ProgramOptions& options) {
  switch (options.role) {
    case EmulatorRole::kWorker:
      return options.worker.id;
    case EmulatorRole::kStore:
      return options.store.id;
    case EmulatorRole::kService:
      return options.service.id;
    case EmulatorRole::kInventory:
      break;
  }
  return "inventory";
}

int Run(const ProgramOptions& options) {
  const std::string id = IdOf(options);
  net::AsioRuntimeOptions runtime_options;
  runtime_options.node_id = id;
  runtime_options.log_file = options.log_file;
  runtime_options.enable_fault_injection = options.enable_fault_injection;
  const auto asio_runtime = net::AsioRuntime::Create(runtime_options);
  if (!asio_runtime.ok()) return ReportStartFailure(asio_runtime.status());
  net::AsioRuntime* const running = asio_runtime->get();
  switch (options.role) {
    case EmulatorRole::kWorker:
      return Serve<WorkerEmulator>(running, id, options.worker, options.history);
    case EmulatorRole::kStore:
      return Serve<StoreEmulator>(running, id, options.store, options.history);
    case EmulatorRole::kService:
      return Serve<ServiceEmulator>(running, id, options.service, options.history);
    case EmulatorRole::kInventory:
      return Serve<InventoryEmulator>(running, id, options.inventory, options.history);
  }
  return kExitStartFailed;
}

}  // namespace
}  // namespace posthatch::emulator

int main(int argc, char** argv) {
  const auto result = posthatch::emulator::ReadProgramOptions(argc, argv);
  if (result.run) return posthatch::emulator::Run(result.options);
  (result.exit_code == 0 ? std::cout : std::cerr) << result.message;
  return result.exit_code;
}
