#pragma once

#include <functional>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/control/inventory/inventory_fetch.h"
#include "posthatch/control/inventory/inventory_format.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct InventoryPollerOptions {
  std::string endpoint;  // "ip:port" of the platform's inventory; empty: never read
  const InventoryFormat* format = NativeInventoryFormat();
  runtime::Duration poll_interval = std::chrono::milliseconds(500);
  runtime::Duration timeout = std::chrono::milliseconds(1000);
  // Upper bound of the retry delay that the platform requests.
  runtime::Duration max_retry_after = std::chrono::seconds(5);
};

// Reads the platform's inventory periodically while it is started, one fetch at a time; a 429
// delays the next one. Owned by InventoryPublisher; event loop thread only.
class InventoryPoller {
 public:
  // Receives a complete inventory and when it was requested: it is at least as new, except for the
  // platform's own lag.
  using ReadCallback =
      std::function<void(Inventory inventory, runtime::MonotonicTime requested_at)>;

  InventoryPoller(runtime::Runtime* runtime, InventoryPollerOptions options, ReadCallback done);
  void Start();
  void Stop();

 private:
  void Poll();
  void OnOutcome(InventoryFetch::Outcome outcome);

  runtime::Runtime* const runtime_;
  const InventoryPollerOptions options_;
  const ReadCallback done_;
  InventoryFetch fetch_;
  runtime::Timer timer_;
  bool running_ = false;
};

}  // namespace posthatch::control
