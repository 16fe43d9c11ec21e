#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "posthatch/control/control_client.h"
#include "posthatch/control/inventory_fetch.h"
#include "posthatch/control/inventory_format.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct InventoryWatchOptions {
  std::string endpoint;  // "ip:port" of the platform's inventory; empty: never read here
  const InventoryFormat* format = NativeInventoryFormat();
  // From this age of the leader's reading on, this gateway reads for itself.
  runtime::Duration stale_age = std::chrono::seconds(2);
  // From this age on nothing is decided until the list was asked for anew: a draining mark may be
  // nearly 3 s old by then (invariant N7).
  runtime::Duration oldest_age = std::chrono::milliseconds(2800);
  runtime::Duration timeout = std::chrono::milliseconds(500);
  // Readings that all gateways together may make, per second.
  double reads_per_second = 4.0;
  // Live gateways of the fleet with this one.
  std::function<uint32_t()> live_gateways;
  // Whether the list is of any use now; null: always. Asked at each look at the list's age. A fleet
  // that starts as a whole would otherwise read the list once for each gateway.
  std::function<bool()> needed;
  // Runs after own() changed.
  std::function<void()> on_change;
  // Counts a reading: "ok", "rate_limited" or "failed".
  std::function<void(std::string_view outcome)> on_read;
};

// A gateway's own watch on the platform's inventory: reads it itself while the leader's reading is
// stale, at this gateway's share of the fleet's rate and no faster than a refusal allows. Owned by
// the gateway; event loop thread only.
class InventoryWatch {
 public:
  InventoryWatch(runtime::Runtime* runtime, InventoryWatchOptions options, const FleetView* view);

  void Start();
  // This gateway's own reading while it is newer than the leader's; null otherwise.
  const Inventory* own() const { return own_.has_value() ? &*own_ : nullptr; }
  // False while the newest reading is older than `oldest_age` and the platform wasn't asked since.
  // When the platform doesn't answer, the last list is used.
  bool MayDecide() const;

 private:
  void Check();
  void Read();
  void OnOutcome(InventoryFetch::Outcome outcome);
  // Age of the newer one of the two readings.
  runtime::Duration Age() const;
  runtime::Duration ReadInterval() const;

  runtime::Runtime* const runtime_;
  const InventoryWatchOptions options_;
  const FleetView* const view_;
  InventoryFetch fetch_;
  runtime::Timer timer_;
  std::optional<Inventory> own_;
  runtime::MonotonicTime own_asked_at_;
  runtime::MonotonicTime asked_at_;        // of the read in progress or the last one
  runtime::MonotonicTime unreachable_at_;  // when the platform last failed to answer
  bool was_unreachable_ = false;
  bool reading_ = false;
  runtime::MonotonicTime next_read_;
};

}  // namespace posthatch::control
