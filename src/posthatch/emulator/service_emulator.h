#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

struct ServiceSettings {
  std::string id;
  std::string zone;
  std::string service = "lobby";
  std::string listen = "127.0.0.1:0";  // "ip:port"; port 0: chosen by the system
  runtime::Duration execution = std::chrono::milliseconds(15);
  uint32_t max_running = 256;  // beyond: 429 overloaded, not executed
};

// Faults of the service, changed by PUT /debug/behaviour (fields of the same names). Shares are
// probabilities for each operation.
struct ServiceBehaviour {
  uint32_t answers_late_ms = 0;  // delay of delayed responses after the execution
  double answers_late_share = 0;
  // Delay of a delayed start; the operation runs even if the caller has disconnected by then.
  uint32_t start_late_ms = 0;
  double start_late_share = 0;
  double answers_lost_share = 0;     // connection broken after the execution
  double requests_lost_share = 0;    // connection broken before any execution
  double answers_twice_share = 0;    // the response is sent again in place of the next request's
  double answers_crossed_share = 0;  // head and body of another request's response
  double answers_crossed_body_share = 0;  // the body alone; the head echoes this attempt
  double answers_cut_share = 0;           // connection broken after half of the body
  double slow_factor = 1;                 // multiplies `execution`
};

// Emulates an application service (docs/BACKENDS.md): records each start (RunStarted) and
// removes no duplicates. An execution continues when its caller disconnects. Event loop thread
// only.
class ServiceEmulator {
 public:
  ServiceEmulator(runtime::Runtime* runtime, ServiceSettings settings,
                  fleettest::HistoryRecorder* recorder);
  ~ServiceEmulator();
  ServiceEmulator(const ServiceEmulator&) = delete;
  ServiceEmulator& operator=(const ServiceEmulator&) = delete;

  // Listens and serves. Errors: those of HttpServerFactory::Listen.
  absl::Status Start();
  const std::string& endpoint() const;
  void SetBehaviour(const ServiceBehaviour& behaviour);
  const ServiceBehaviour& behaviour() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace posthatch::emulator
