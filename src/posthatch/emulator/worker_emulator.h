#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "posthatch/emulator/worker_settings.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

// Emulates a language-model worker (docs/BACKENDS.md, "Worker"): a prefix cache in blocks,
// prefill and decoding by the timing model of WorkerTiming, KV events, weight loading under fencing
// tokens. Records RunStarted, RunEnded, OrderSeen and RevisionServed. Owned by its process; event
// loop thread only. Destroying it ends every run and connection at once.
class WorkerEmulator {
 public:
  // `runtime` and `recorder` outlive it.
  WorkerEmulator(runtime::Runtime* runtime, WorkerSettings settings,
                 fleettest::HistoryRecorder* recorder);
  ~WorkerEmulator();
  WorkerEmulator(const WorkerEmulator&) = delete;
  WorkerEmulator& operator=(const WorkerEmulator&) = delete;

  // Listens and serves. Errors: those of HttpServerFactory::Listen.
  absl::Status Start();
  // "ip:port" in use; valid after Start.
  const std::string& endpoint() const;

  // Replaces all faults, whereas PUT /debug/behaviour changes the given fields only; for tests and
  // the simulator.
  void SetBehaviour(const WorkerBehaviour& behaviour);
  const WorkerBehaviour& behaviour() const;
  // Drops all cached blocks and begins a new epoch, as a restart would.
  void EmulateRestart();
  uint64_t epoch() const;
  uint64_t model_revision() const;
  uint64_t cached_blocks() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace posthatch::emulator
