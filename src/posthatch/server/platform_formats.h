#pragma once

#include "posthatch/control/admin/operator_format.h"
#include "posthatch/control/inventory/inventory_format.h"
#include "posthatch/index/kv_event_format.h"
#include "posthatch/rollout/worker_command_format.h"
#include "posthatch/routing/call_format.h"

namespace posthatch::server {

// The formats of a platform: the interfaces that an adapter implements to run posthatch there. The
// pointed-to formats outlive the process.
struct PlatformFormats {
  const control::InventoryFormat* inventory = nullptr;
  const control::OperatorFormat* operators = nullptr;
  const routing::CallFormat* calls = nullptr;
  const index::KvEventFormat* cache_events = nullptr;
  const rollout::WorkerCommandFormat* worker_commands = nullptr;
};

}  // namespace posthatch::server
