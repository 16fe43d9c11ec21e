#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

struct StoreSettings {
  std::string id;
  std::string zone;
  std::string listen = "127.0.0.1:0";  // "ip:port"; port 0: chosen by the system
  uint64_t capacity_blocks = 200000;   // the least recently used block is evicted first
  uint64_t kv_bytes_per_block = 2ull * 1024 * 1024;
  uint64_t link_bytes_per_second = 1024ull * 1024 * 1024;
};

// Emulates the store of KV blocks (docs/BACKENDS.md). Its blocks are in memory only, and each
// start begins a new epoch. Checks neither tenants nor model revisions. Event loop thread only.
class StoreEmulator {
 public:
  StoreEmulator(runtime::Runtime* runtime, StoreSettings settings,
                fleettest::HistoryRecorder* recorder);
  ~StoreEmulator();
  StoreEmulator(const StoreEmulator&) = delete;
  StoreEmulator& operator=(const StoreEmulator&) = delete;

  // Listens and serves. Errors: those of HttpServerFactory::Listen.
  absl::Status Start();
  const std::string& endpoint() const;
  // Drops all blocks and begins a new epoch, as a restart would.
  void EmulateRestart();
  uint64_t epoch() const;
  uint64_t cached_blocks() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace posthatch::emulator
