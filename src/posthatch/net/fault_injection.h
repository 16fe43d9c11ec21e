#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::net {

// Faults to inject, as parsed from `PUT /debug/faults`. Endpoints are the peers' listening
// endpoints, "ip:port", or a bare "ip" for every port of that address.
struct FaultRules {
  absl::flat_hash_set<std::string> drop_to;
  absl::flat_hash_set<std::string> drop_from;
  absl::flat_hash_map<std::string, runtime::Duration> delay_to;
  absl::flat_hash_map<std::string, runtime::Duration> delay_from;
  runtime::Duration disk_sync_delay = runtime::Duration::zero();
  bool disk_full = false;
};

// Reads {"drop_to": [..], "drop_from": [..], "delay_to": [{"endpoint": .., "ms": ..}],
// "delay_from": [..], "disk_sync_delay_ms": n, "disk_full": bool}; every key may be missing.
// Errors: InvalidArgument for anything else, unknown keys included.
absl::StatusOr<FaultRules> ParseFaultRules(std::string_view json);

// Injected network and disk faults of this process, for fleet tests: exists only in a process
// started with --enable-fault-injection. A partition behaves like a real one: connection attempts
// hang until their timeout, open connections transfer nothing, and closing one is not seen by the
// peer until the partition heals. Owned by AsioRuntime. Event loop thread only, except for the two
// disk accessors.
class FaultInjection {
 public:
  // Replaces all rules and notifies the listeners.
  void SetRules(FaultRules rules);

  bool DropsTo(const std::string& endpoint) const;
  bool DropsFrom(const std::string& endpoint) const;
  runtime::Duration DelayTo(const std::string& endpoint) const;
  runtime::Duration DelayFrom(const std::string& endpoint) const;
  // The disk accessors may be called on any thread.
  runtime::Duration disk_sync_delay() const;
  bool disk_full() const { return disk_full_.load(std::memory_order_relaxed); }

  // Runs `changed` after each change of the rules until Unsubscribe. A listener may subscribe or
  // unsubscribe any listener while it runs.
  uint64_t Subscribe(std::function<void()> changed);
  void Unsubscribe(uint64_t subscription);

 private:
  FaultRules rules_;
  std::atomic<int64_t> disk_sync_delay_ns_{0};
  std::atomic<bool> disk_full_{false};
  uint64_t last_subscription_ = 0;
  absl::flat_hash_map<uint64_t, std::function<void()>> listeners_;
};

}  // namespace posthatch::net
