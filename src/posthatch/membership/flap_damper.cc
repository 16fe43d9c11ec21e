#include "posthatch/membership/flap_damper.h"

#include <algorithm>
#include <cmath>

namespace posthatch::membership {

double FlapDamper::FlapsNow(const MemberEntry& entry) const {
  const auto age = static_cast<double>((clock_->Now() - entry.flaps_updated_at).count());
  return entry.flaps * std::exp2(-age / static_cast<double>(options_->flap_half_life.count()));
}

void FlapDamper::CountFlap(MemberEntry* entry) const {
  entry->flaps = FlapsNow(*entry) + 1;
  entry->flaps_updated_at = clock_->Now();
}

bool FlapDamper::DampIfFlapping(MemberEntry* entry) {
  const double excess = FlapsNow(*entry) - options_->flap_limit;
  if (excess < 0) return false;
  const auto period = std::min(
      static_cast<double>(options_->flap_max_damping_period.count()),
      static_cast<double>(options_->flap_damping_period.count()) * std::exp2(std::floor(excess)));
  entry->damped_until = clock_->Now() + runtime::Duration(static_cast<int64_t>(period));
  if (entry->damped) return false;
  entry->damped = true;
  ++damped_count_;
  return true;
}

bool FlapDamper::Release(MemberEntry* entry) {
  if (!entry->damped) return false;
  entry->damped = false;
  --damped_count_;
  return true;
}

bool FlapDamper::IsReleasable(const MemberEntry& entry) const {
  return entry.damped && entry.damped_until <= clock_->Now();
}

}  // namespace posthatch::membership
