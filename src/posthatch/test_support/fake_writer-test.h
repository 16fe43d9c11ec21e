#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "posthatch/http/http.h"

namespace posthatch::test_support {

// Records the response to one request.
class FakeWriter : public http::ResponseWriter {
 public:
  void SendResponse(http::Response response) override {
    sent_response = std::move(response);
    ++responses;
  }
  void StartStream(http::Response) override { started = true; }
  void WriteChunk(std::string chunk) override {
    written += chunk;
    if (slow) buffered += chunk.size();
  }
  void FinishStream() override { finished = true; }
  void Abort() override { aborted = true; }
  size_t buffered_bytes() const override { return buffered; }
  void OnWritable(std::function<void()> callback) override { on_writable = std::move(callback); }
  void OnCallerDisconnected(std::function<void()> callback) override {
    on_disconnect = std::move(callback);
  }
  // Whether the body passed to SendResponse contains `text`.
  bool BodyContains(const std::string& text) const {
    return sent_response.body.find(text) != std::string::npos;
  }

  http::Response sent_response;  // the argument of the last SendResponse
  int responses = 0;             // number of calls of SendResponse
  bool started = false;
  bool finished = false;
  bool aborted = false;
  bool slow = false;  // the caller reads nothing: chunks stay buffered
  size_t buffered = 0;
  std::string written;  // the chunks, concatenated
  std::function<void()> on_writable;
  std::function<void()> on_disconnect;
};

}  // namespace posthatch::test_support
