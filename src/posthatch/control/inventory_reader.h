#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct InventoryReaderOptions {
  std::string endpoint;  // "ip:port" of the platform's inventory; empty: nothing is read
  runtime::Duration poll_interval = std::chrono::milliseconds(500);
  runtime::Duration timeout = std::chrono::milliseconds(1000);
  // Longest pause that a 429 may ask for.
  runtime::Duration max_pause = std::chrono::seconds(5);
};

// Reads the platform's inventory (docs/BACKENDS.md) again and again while it runs, one call at a
// time; a 429 puts the next one off by its Retry-After-Ms. Owned by ControllerService.
class InventoryReader {
 public:
  // A whole list, and when it was asked for: it is not older than that, but for the platform's own
  // lateness.
  using ReadingDone = std::function<void(Inventory inventory, runtime::MonotonicTime asked_at)>;

  InventoryReader(runtime::Runtime* runtime, InventoryReaderOptions options, ReadingDone done);
  void Start();
  void Stop();

 private:
  void Poll();
  void OnEnd();
  void PollAfter(runtime::Duration delay);

  runtime::Runtime* const runtime_;
  const InventoryReaderOptions options_;
  const ReadingDone done_;
  runtime::Timer timer_;
  std::unique_ptr<http::Call> call_;
  runtime::MonotonicTime asked_at_;
  int status_ = 0;
  runtime::Duration pause_{};
  std::string body_;
  bool running_ = false;
};

// Reads the platform's JSON. InvalidArgument if it isn't a whole inventory.
absl::StatusOr<Inventory> ParseInventory(const std::string& json);

}  // namespace posthatch::control
