#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

struct KeyProbeOptions {
  std::vector<std::string> gateways;  // HTTP endpoints; each is probed in every interval
  std::string name = "probe";
  std::string tenant = "key-probe";
  std::string model = "race-7b";  // each probe requests one token of it
  runtime::Duration interval = std::chrono::milliseconds(500);
  runtime::Duration head_timeout = std::chrono::seconds(5);
  // Returns the newest key generation that an operator has sent
  // (OperatorEmulator::newest_generation).
  std::function<uint64_t()> newest_generation;
};

// Probes every gateway with the newest key of the probe tenant and with the previous one: status
// 401 shows which configuration a gateway has applied. Records CallSent (with `probe`
// and the key's id) and CallEnded. Event loop thread only.
class KeyProbe {
 public:
  KeyProbe(runtime::Runtime* runtime, KeyProbeOptions options,
           fleettest::HistoryRecorder* recorder);
  ~KeyProbe();
  KeyProbe(const KeyProbe&) = delete;
  KeyProbe& operator=(const KeyProbe&) = delete;

  void Start();
  // Stops probing; calls in flight are recorded as disconnected by the caller.
  void Stop();
  void SetGateways(std::vector<std::string> gateways);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace posthatch::emulator
