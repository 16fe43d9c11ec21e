#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

// One entry of the platform's inventory.
struct InventoryBackend {
  std::string id;
  std::string kind;  // "worker", "store" or "service"
  std::string endpoint;
  std::string zone;
  std::string model;
  std::string service;
  std::map<std::string, std::string> labels;
  bool draining = false;
};

struct InventorySettings {
  std::string listen = "127.0.0.1:0";  // "ip:port"; port 0: chosen by the system
  std::vector<InventoryBackend> backends;
  // A change becomes visible after between half of this and all of it. Changed by
  // PUT /debug/behaviour {"lateness_ms", "reads_per_second"}.
  runtime::Duration lateness = std::chrono::seconds(1);
  // Rate limit of reads by all callers together; beyond it: 429 with Retry-After-Ms.
  double reads_per_second = 10;
};

// Emulates the platform's inventory (docs/BACKENDS.md). PUT /debug/backends
// {"backends": [...]} replaces the list, PUT /debug/draining {"id", "draining"} sets a mark.
// Records DrainingShown when a mark can first be read. Event loop thread only.
class InventoryEmulator {
 public:
  InventoryEmulator(runtime::Runtime* runtime, InventorySettings settings,
                    fleettest::HistoryRecorder* recorder);
  ~InventoryEmulator();
  InventoryEmulator(const InventoryEmulator&) = delete;
  InventoryEmulator& operator=(const InventoryEmulator&) = delete;

  // Listens and serves. Errors: those of HttpServerFactory::Listen.
  absl::Status Start();
  const std::string& endpoint() const;
  // As PUT /debug/backends.
  void SetBackends(std::vector<InventoryBackend> backends);
  // As PUT /debug/draining. NotFound if there is no such back end.
  absl::Status SetDraining(const std::string& id, bool draining);
  void SetLateness(runtime::Duration lateness);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace posthatch::emulator
