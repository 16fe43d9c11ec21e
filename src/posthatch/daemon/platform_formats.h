#pragma once

#include "posthatch/control/inventory_format.h"
#include "posthatch/control/operator_format.h"
#include "posthatch/index/kv_event_format.h"
#include "posthatch/orders/worker_command_format.h"
#include "posthatch/traffic/call_format.h"

namespace posthatch::daemon {

// How a platform speaks, seam by seam: what an adapter implements to run posthatch there. All of
// them live as long as the process.
struct PlatformFormats {
  const control::InventoryFormat* inventory = nullptr;
  const control::OperatorFormat* operators = nullptr;
  const traffic::CallFormat* calls = nullptr;
  const index::KvEventFormat* cache_events = nullptr;
  const orders::WorkerCommandFormat* orders = nullptr;
};

}  // namespace posthatch::daemon
