#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/emulator/response_reader.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

// A call to make: what is sent and how the caller behaves.
struct CallPlan {
  fleettest::CallSent sent;  // recorded; also gives the gateway, nonce and idempotency key
  std::string key;           // bearer key: sent, but never recorded
  std::string target;
  std::string body;
  http::CallOptions options;
  // The caller disconnects this long after sending; zero: never.
  runtime::Duration disconnect_after = runtime::Duration::zero();
  // Pause in reading after each chunk, as of a slow reader; zero: none.
  runtime::Duration reading_pause = runtime::Duration::zero();
};

// Sends one call, reads its response strictly, records CallSent and CallEnded. Owned by its load;
// `done` runs once, from the event loop, after CallEnded was recorded; the owner may release the
// call then with ReleaseLater. Event loop thread only.
class RecordedCall {
 public:
  using Done = std::function<void(const fleettest::CallEnded&)>;

  RecordedCall(runtime::Runtime* runtime, fleettest::HistoryRecorder* recorder, CallPlan plan,
               Done done);

  void Start();
  // Closes the connection, as a caller that disconnects; sets `caller_left` in CallEnded.
  void Disconnect();

 private:
  http::Request BuildRequest() const;
  void OnHead(const http::Response& head);
  void OnBodyBytes(const std::string& bytes);
  void RecordTokens(uint32_t chunks);
  void StopReading();
  void OnEnd();
  void OnError(const http::CallError& error);
  void CopyFindings(const ResponseFindings& findings);
  void Finish();

  runtime::Runtime* const runtime_;
  fleettest::HistoryRecorder* const recorder_;
  const CallPlan plan_;
  const Done done_;
  StreamReader stream_reader_;
  std::string complete_body_;
  bool streamed_ = false;
  fleettest::CallEnded ended_;
  runtime::MonotonicTime sent_at_;
  runtime::MonotonicTime last_token_at_;
  runtime::Timer disconnect_timer_;
  runtime::Timer reading_timer_;
  bool finished_ = false;
  std::unique_ptr<http::Call> call_;
};

}  // namespace posthatch::emulator
