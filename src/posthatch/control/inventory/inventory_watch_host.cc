#include "posthatch/control/inventory/inventory_watch_host.h"

namespace posthatch::control {

std::string_view MetricLabel(InventoryReadResult result) {
  switch (result) {
    case InventoryReadResult::kOk:
      return "ok";
    case InventoryReadResult::kRateLimited:
      return "rate_limited";
    case InventoryReadResult::kFailed:
      return "failed";
  }
  return "";
}

}  // namespace posthatch::control
