#pragma once

#include <functional>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/control/inventory/inventory_fetch.h"
#include "posthatch/control/inventory/inventory_format.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct InventoryPollerOptions {
  std::string endpoint;  // "ip:port" of the platform's inventory; empty: nothing is read
  const InventoryFormat* format = NativeInventoryFormat();
  runtime::Duration poll_interval = std::chrono::milliseconds(500);
  runtime::Duration timeout = std::chrono::milliseconds(1000);
  // Longest pause that a refusal may ask for.
  runtime::Duration max_retry_after = std::chrono::seconds(5);
};

// Reads the platform's inventory again and again while it runs, one reading at a time; a refusal
// for reading too often puts the next one off. Owned by ControllerService.
class InventoryPoller {
 public:
  // A whole list, and when it was asked for: it is not older than that, but for the platform's own
  // lateness.
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
