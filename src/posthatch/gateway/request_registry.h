#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::gateway {

// A request in progress.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
 public:
  virtual ~ActiveRequest() = default;
  virtual void Begin() = 0;
};

// Owns the requests in progress. Ended requests are destroyed in a later event loop turn, because
// they usually end within one of their own callbacks. Event loop thread only.
class RequestRegistry {
 public:
  explicit RequestRegistry(runtime::TimerService* timers) : sweep_timer_(timers) {}

  // Takes ownership of the request and begins it.
  void Start(std::shared_ptr<ActiveRequest> request);
  // Removes a request that has ended; it is destroyed in a later event loop turn.
  void Retire(ActiveRequest* request);
  // Destroys `object` in a later event loop turn.
  void Discard(std::shared_ptr<void> object);
  size_t size() const { return active_.size(); }
  // Runs `callback` as soon as no request is in progress, possibly within this call.
  void OnEmpty(std::function<void()> callback);

 private:
  void Sweep();

  absl::flat_hash_map<ActiveRequest*, std::shared_ptr<ActiveRequest>> active_;
  std::vector<std::shared_ptr<void>> discarded_;
  std::function<void()> on_empty_;
  runtime::Timer sweep_timer_;
};

}  // namespace posthatch::gateway
