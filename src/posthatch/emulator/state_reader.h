#pragma once

#include <functional>
#include <memory>
#include <string>

#include "posthatch/emulator/json_client.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

// Reads the operators' state back from one node (configuration history, evacuations, model
// revisions) and records it as StateRead, if all three reads succeed. Event loop thread only.
class StateReader {
 public:
  StateReader(runtime::Runtime* runtime, fleettest::HistoryRecorder* recorder,
              std::string admin_token, runtime::Duration response_timeout);

  // `done` receives whether a StateRead was recorded.
  void Read(const std::string& node, std::function<void(bool)> done);

 private:
  struct Reading;
  using ReadingPointer = std::shared_ptr<Reading>;

  void SendNextRead(const ReadingPointer& reading);
  static bool ParseResponse(Reading* reading, const http::Response& response);

  const runtime::Clock* const clock_;
  fleettest::HistoryRecorder* const recorder_;
  const std::string admin_token_;
  const runtime::Duration response_timeout_;
  JsonClient client_;
};

}  // namespace posthatch::emulator
