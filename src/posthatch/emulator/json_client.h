#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

// Sends requests and buffers their responses, which must be small. Owns its calls in flight: its
// destruction cancels them without running their callbacks. Event loop thread only.
class JsonClient {
 public:
  // The complete response, or the error of the call (http::CallError::status).
  using Done = std::function<void(absl::StatusOr<http::Response>)>;

  explicit JsonClient(runtime::Runtime* runtime) : runtime_(runtime) {}

  void Send(const std::string& endpoint, http::Request request, http::CallOptions options,
            Done done);
  size_t in_flight() const { return calls_.size(); }

 private:
  struct Running;
  void Finish(uint64_t id, absl::StatusOr<http::Response> result);

  runtime::Runtime* const runtime_;
  uint64_t next_id_ = 1;
  absl::flat_hash_map<uint64_t, std::shared_ptr<Running>> calls_;
};

// A request with a JSON body.
http::Request JsonRequest(std::string_view method, std::string_view target, std::string body);

// Destroys `object` in a later turn of the event loop: a call's own callback must not destroy it.
template <typename Object>
void ReleaseLater(runtime::Runtime* runtime, std::unique_ptr<Object> object) {
  if (object == nullptr) return;
  runtime->timers->Schedule(runtime::Duration::zero(),
                            [retained = std::shared_ptr<Object>(std::move(object))] {});
}

}  // namespace posthatch::emulator
