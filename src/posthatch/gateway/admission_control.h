#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/gateway/api_error.h"
#include "posthatch/gateway/gateway_metrics.h"
#include "posthatch/gateway/gateway_options.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

class AdmissionControl;

// What one tenant uses at this gateway.
struct TenantUsage {
  double tokens = 0.0;  // of the token bucket, in requests
  runtime::MonotonicTime refilled;
  bool seen = false;
  uint32_t in_flight = 0;
};

// An admitted request's place; gives it back when destroyed.
class AdmissionSlot {
 public:
  AdmissionSlot() = default;
  AdmissionSlot(AdmissionControl* control, std::shared_ptr<TenantUsage> usage)
      : control_(control), usage_(std::move(usage)) {}
  AdmissionSlot(AdmissionSlot&& other) noexcept;
  AdmissionSlot& operator=(AdmissionSlot&& other) noexcept;
  ~AdmissionSlot() { Release(); }

 private:
  void Release();

  AdmissionControl* control_ = nullptr;
  std::shared_ptr<TenantUsage> usage_;
};

// Decides at once whether a request may start: the tenant's rate and concurrency, and the gateway's
// concurrency, where low priorities are shed first. Never queues and never holds an answer back.
// Tenant limits are those of the fleet; this gateway enforces its equal share. Event loop thread
// only; outlives its slots.
class AdmissionControl {
 public:
  AdmissionControl(const runtime::Clock* clock, const GatewayOptions* options,
                   GatewayMetrics* metrics)
      : clock_(clock), options_(options), metrics_(metrics) {}

  // Fills `slot`, or says why not. `executed` of the refusal is "no": the caller of this function
  // weakens it where an idempotency key may name an earlier send.
  std::optional<ApiError> Admit(const control::Tenant& tenant, AdmissionSlot* slot);

  // Share of a capacity, in (0, 1], that requests of this priority (0 to 9) may fill.
  static double AllowedShare(uint32_t priority);

  size_t in_flight() const { return in_flight_; }

 private:
  friend class AdmissionSlot;

  // Takes a token; otherwise the seconds until there is one.
  std::optional<int> TakeToken(const control::Tenant& tenant, TenantUsage* usage);
  void Release(TenantUsage* usage);

  const runtime::Clock* const clock_;
  const GatewayOptions* const options_;
  GatewayMetrics* const metrics_;
  size_t in_flight_ = 0;
  absl::flat_hash_map<std::string, std::shared_ptr<TenantUsage>> usages_;
};

}  // namespace posthatch::gateway
