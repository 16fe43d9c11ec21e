#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "absl/status/status.h"

namespace posthatch::storage {

// Drops the completions of file operations that end after their owner. A member of the owner,
// declared after whatever the callbacks use; event loop thread only.
class CallbackGuard {
 public:
  using Callback = std::function<void(absl::Status)>;

  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  // `next`, or nothing once this object is destroyed.
  Callback Wrap(Callback next) const {
    return [alive = std::weak_ptr<bool>(alive_), next = std::move(next)](absl::Status status) {
      if (!alive.expired()) next(std::move(status));
    };
  }

 private:
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace posthatch::storage
