#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/control/inventory/inventory_format.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// Reads a platform's whole inventory once, page by page. Owned by InventoryPoller or by a gateway's
// own watch on the inventory; event loop thread only.
class InventoryFetch {
 public:
  struct Outcome {
    // The whole list, sorted by id. ResourceExhausted: read too often; Unavailable: no answer;
    // InvalidArgument: an answer that isn't an inventory.
    absl::StatusOr<Inventory> inventory;
    // Asked for by a refusal; zero if it named none.
    runtime::Duration pause{0};
    // When the first page was asked for: the list is not older, but for the platform's own lag.
    runtime::MonotonicTime requested_at;
    // Calls that it took: the platform counts each page.
    int calls = 0;
  };
  using Done = std::function<void(Outcome)>;

  InventoryFetch(runtime::Runtime* runtime, std::string endpoint, const InventoryFormat* format,
                 runtime::Duration timeout);

  // Gives up a fetch that is under way. `done` runs once, unless Cancel or Start comes first.
  void Start(Done done);
  void Cancel();
  bool running() const { return call_ != nullptr; }

 private:
  static constexpr int kMaxCalls = 10'000;

  void RequestPage(const std::string& page);
  void OnPage();
  void Finish(absl::StatusOr<Inventory> inventory, runtime::Duration pause);

  runtime::Runtime* const runtime_;
  const std::string endpoint_;
  const InventoryFormat* const format_;
  const runtime::Duration timeout_;
  Done done_;
  std::unique_ptr<http::Call> call_;
  http::Response response_;
  Inventory collected_;
  int calls_ = 0;
  runtime::MonotonicTime requested_at_;
  runtime::Timer next_;  // the next page is not asked for from within the last one's callback
};

}  // namespace posthatch::control
