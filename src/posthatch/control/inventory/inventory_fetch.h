#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/control/inventory/inventory_format.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// Reads a platform's complete inventory once, page by page. Owned by InventoryPoller or
// InventoryWatch; event loop thread only.
class InventoryFetch {
 public:
  struct Outcome {
    // Backends of all pages, sorted by id. ResourceExhausted: rate-limited by the platform (429);
    // Unavailable: no response, or another status; InvalidArgument: the body isn't an inventory.
    absl::StatusOr<Inventory> inventory;
    // With ResourceExhausted: the retry delay that the platform requested; zero if none.
    runtime::Duration retry_after{0};
    // When the first page was requested: the inventory is at least as new, except for the
    // platform's own lag.
    runtime::MonotonicTime requested_at;
    // Number of HTTP calls, one per page: the platform's rate limit counts each.
    int calls = 0;
  };
  using Done = std::function<void(Outcome)>;

  InventoryFetch(runtime::Runtime* runtime, std::string endpoint, const InventoryFormat* format,
                 runtime::Duration timeout);

  // Cancels a fetch in flight. `done` runs once, unless Cancel or Start is called before.
  void Start(Done done);
  void Cancel();
  bool running() const { return call_ != nullptr; }

 private:
  static constexpr int kMaxCalls = 10'000;

  void RequestPage(const std::string& page);
  void OnPage();
  void Finish(absl::StatusOr<Inventory> inventory, runtime::Duration retry_after);
  void Fail(const absl::Status& status) { Finish(status, runtime::Duration::zero()); }

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
  // Defers replacing or destroying the HTTP call until its own callback has returned.
  runtime::Timer deferral_timer_;
};

}  // namespace posthatch::control
