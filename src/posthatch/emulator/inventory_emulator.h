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

// An entry of the platform's inventory.
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
  // A change becomes visible after a random delay between half of this and all of it.
  // PUT /debug/behaviour {"lateness_ms", "reads_per_second"} changes these two settings.
  runtime::Duration lateness = std::chrono::seconds(1);
  // Rate limit on the reads of all callers together; more get 429 with Retry-After-Ms.
  double reads_per_second = 10;
};

// Emulates the platform's inventory (docs/BACKENDS.md). PUT /debug/backends
// {"backends": [...]} replaces the list, PUT /debug/draining {"id", "draining"} sets a
// back end's draining mark. Records DrainingShown when a changed mark becomes visible. Event loop
// thread only.
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
  // Replaces the list, as PUT /debug/backends does.
  void SetBackends(std::vector<InventoryBackend> backends);
  // Sets a draining mark, as PUT /debug/draining does. Errors: NotFound for an unknown id.
  absl::Status SetDraining(const std::string& id, bool draining);
  void SetLateness(runtime::Duration lateness);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace posthatch::emulator
