#include "posthatch/gateway/admission_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace posthatch::gateway {
namespace {

constexpr double kLowestPriorityShare = 0.7;
constexpr uint32_t kHighestPriority = 9;
constexpr int kOverloadRetrySeconds = 1;
// Usage records of removed tenants are kept until there are more records than this; then all idle
// ones are removed.
constexpr size_t kMaxUsages = 8192;

}  // namespace

AdmissionSlot::AdmissionSlot(AdmissionSlot&& other) noexcept
    : control_(std::exchange(other.control_, nullptr)), usage_(std::move(other.usage_)) {}

AdmissionSlot& AdmissionSlot::operator=(AdmissionSlot&& other) noexcept {
  if (this != &other) {
    Release();
    control_ = std::exchange(other.control_, nullptr);
    usage_ = std::move(other.usage_);
  }
  return *this;
}

void AdmissionSlot::Release() {
  if (control_ != nullptr) control_->Release(usage_.get());
  control_ = nullptr;
}

double AdmissionControl::AllowedShare(uint32_t priority) {
  const double level = std::min(priority, kHighestPriority) / static_cast<double>(kHighestPriority);
  return kLowestPriorityShare + (1.0 - kLowestPriorityShare) * level;
}

std::optional<int> AdmissionControl::TakeToken(const control::Tenant& tenant, TenantUsage* usage) {
  if (tenant.rate_limit() <= 0.0) return std::nullopt;
  const double gateways = options_->LiveGateways();
  const double rate = tenant.rate_limit() / gateways;
  const double burst = std::max(1.0, std::max(tenant.burst() / gateways, rate));
  const runtime::MonotonicTime now = clock_->Now();
  if (!usage->initialized) {
    usage->tokens = burst;
    usage->initialized = true;
  } else {
    const double elapsed = std::chrono::duration<double>(now - usage->refilled_at).count();
    usage->tokens = std::min(burst, usage->tokens + elapsed * rate);
  }
  usage->refilled_at = now;
  if (usage->tokens < 1.0) {
    return std::max(1, static_cast<int>(std::ceil((1.0 - usage->tokens) / rate)));
  }
  usage->tokens -= 1.0;
  return std::nullopt;
}

std::optional<ApiError> AdmissionControl::Admit(const control::Tenant& tenant,
                                                AdmissionSlot* slot) {
  const double allowed =
      AllowedShare(tenant.priority()) * static_cast<double>(options_->max_concurrent_requests);
  if (static_cast<double>(in_flight_ + 1) > allowed) {
    return ApiError{ErrorCode::kOverloaded, "too many requests in flight at this gateway",
                    Executed::kNo, kOverloadRetrySeconds};
  }
  if (usages_.size() > kMaxUsages) {
    absl::erase_if(usages_, [](const auto& entry) { return entry.second->in_flight == 0; });
  }
  std::shared_ptr<TenantUsage>& usage = usages_[tenant.name()];
  if (usage == nullptr) usage = std::make_shared<TenantUsage>();
  if (tenant.max_concurrency() > 0) {
    const uint32_t gateways = options_->LiveGateways();
    const uint32_t share = (tenant.max_concurrency() + gateways - 1) / gateways;
    if (usage->in_flight >= share) {
      return ApiError{ErrorCode::kTooManyRequests, "the tenant has too many requests in flight",
                      Executed::kNo, kOverloadRetrySeconds};
    }
  }
  const std::optional<int> wait_seconds = TakeToken(tenant, usage.get());
  if (wait_seconds.has_value()) {
    return ApiError{ErrorCode::kRateLimited, "the tenant's request rate is used up", Executed::kNo,
                    *wait_seconds};
  }
  ++usage->in_flight;
  ++in_flight_;
  metrics_->requests_in_flight.Set(static_cast<double>(in_flight_));
  *slot = AdmissionSlot(this, usage);
  return std::nullopt;
}

void AdmissionControl::Release(TenantUsage* usage) {
  --usage->in_flight;
  --in_flight_;
  metrics_->requests_in_flight.Set(static_cast<double>(in_flight_));
}

}  // namespace posthatch::gateway
