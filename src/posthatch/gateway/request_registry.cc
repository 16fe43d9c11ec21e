#include "posthatch/gateway/request_registry.h"

#include <utility>

namespace posthatch::gateway {

void RequestRegistry::Start(std::shared_ptr<ActiveRequest> request) {
  ActiveRequest* const key = request.get();
  active_[key] = std::move(request);
  key->Begin();
}

void RequestRegistry::Retire(ActiveRequest* request) {
  const auto found = active_.find(request);
  if (found == active_.end()) return;
  std::shared_ptr<ActiveRequest> ended = std::move(found->second);
  active_.erase(found);
  Discard(std::move(ended));
  if (active_.empty() && on_empty_) std::exchange(on_empty_, nullptr)();
}

void RequestRegistry::Discard(std::shared_ptr<void> object) {
  discarded_.push_back(std::move(object));
  if (!sweep_timer_.running()) sweep_timer_.Start(runtime::Duration::zero(), [this] { Sweep(); });
}

void RequestRegistry::Sweep() {
  const std::vector<std::shared_ptr<void>> ended = std::exchange(discarded_, {});
}

void RequestRegistry::OnEmpty(std::function<void()> callback) {
  if (active_.empty()) {
    callback();
    return;
  }
  on_empty_ = std::move(callback);
}

}  // namespace posthatch::gateway
