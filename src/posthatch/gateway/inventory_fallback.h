#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "posthatch/control/control_client.h"
#include "posthatch/gateway/gateway_metrics.h"
#include "posthatch/gateway/gateway_options.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::gateway {

// Reads the platform's list itself while the leader's reading is older than kStaleAge, at this
// gateway's share of the fleet's read budget and no faster than a 429 allows. Event loop thread
// only.
class InventoryFallback {
 public:
  static constexpr runtime::Duration kStaleAge = std::chrono::seconds(2);
  // From this age on nothing is decided until the list was asked for anew: a draining mark may be
  // nearly 3 s old by then (invariant N7).
  static constexpr runtime::Duration kOldestAge = std::chrono::milliseconds(2800);

  // `on_change` runs after own() changed.
  InventoryFallback(runtime::Runtime* runtime, const GatewayOptions* options,
                    const control::FleetView* view, GatewayMetrics* metrics,
                    std::function<void()> on_change);

  void Start();
  // This gateway's own reading while it is newer than the leader's; null otherwise.
  const control::Inventory* own() const { return own_.has_value() ? &*own_ : nullptr; }
  // False while the newest reading is older than kOldestAge and the platform wasn't asked since.
  // When the platform doesn't answer, the last list is used.
  bool MayDecide() const;

 private:
  void Check();
  void Read();
  void OnAnswer(const http::Response& answer);
  void OnUnreachable();
  // Age of the newer one of the two readings.
  runtime::Duration Age() const;
  runtime::Duration ReadInterval() const;

  runtime::Runtime* const runtime_;
  const GatewayOptions* const options_;
  const control::FleetView* const view_;
  GatewayMetrics* const metrics_;
  const std::function<void()> on_change_;
  runtime::Timer timer_;
  std::unique_ptr<http::Call> call_;
  http::Response answer_;
  std::optional<control::Inventory> own_;
  runtime::MonotonicTime own_asked_at_;
  runtime::MonotonicTime asked_at_;        // of the read in progress or the last one
  runtime::MonotonicTime unreachable_at_;  // when the platform last failed to answer
  bool was_unreachable_ = false;
  runtime::MonotonicTime next_read_;
};

// The list as the platform writes it (docs/BACKENDS.md); InvalidArgument if it isn't one.
absl::StatusOr<control::Inventory> ParsePlatformInventory(const std::string& body);

}  // namespace posthatch::gateway
