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

// The token bucket and the concurrency of one tenant at this gateway.
struct TenantUsage {
  double tokens = 0.0;  // tokens in the bucket, one per request
  runtime::MonotonicTime refilled_at;
  bool initialized = false;
  uint32_t in_flight = 0;
};

// An admitted request's slot; the destructor releases it.
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

// Decides without queueing whether a request may start: by the tenant's rate and concurrency limits
// and the gateway's concurrency limit, where low priorities are shed first. Tenant limits are
// fleet-wide; each live gateway enforces an equal share. Event loop thread only; outlives its
// slots.
class AdmissionControl {
 public:
  AdmissionControl(const runtime::Clock* clock, const GatewayOptions* options,
                   GatewayMetrics* metrics)
      : clock_(clock), options_(options), metrics_(metrics) {}

  // Fills `slot`, or returns the error. `executed` of the error is "no"; the caller changes it to
  // "unknown" if an earlier request with the same idempotency key may have been executed.
  std::optional<ApiError> Admit(const control::Tenant& tenant, AdmissionSlot* slot);

  // Fraction of a capacity, in (0, 1], that requests of this priority (0 to 9) may use.
  static double AllowedShare(uint32_t priority);

  size_t in_flight() const { return in_flight_; }

 private:
  friend class AdmissionSlot;

  // Takes a token from the bucket; if there is none, returns the seconds until the next one.
  std::optional<int> TakeToken(const control::Tenant& tenant, TenantUsage* usage);
  void Release(TenantUsage* usage);

  const runtime::Clock* const clock_;
  const GatewayOptions* const options_;
  GatewayMetrics* const metrics_;
  size_t in_flight_ = 0;
  absl::flat_hash_map<std::string, std::shared_ptr<TenantUsage>> usages_;
};

}  // namespace posthatch::gateway
