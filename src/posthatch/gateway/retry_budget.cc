#include "posthatch/gateway/retry_budget.h"

namespace posthatch::gateway {

int64_t RetryBudget::CurrentNumber() const {
  return runtime::ToNanoseconds(clock_->Now()) / kBucketLength.count();
}

RetryBudget::Bucket& RetryBudget::Current() {
  const int64_t number = CurrentNumber();
  Bucket& bucket = buckets_[static_cast<size_t>(number % kBuckets)];
  if (bucket.number != number) bucket = Bucket{number, 0, 0};
  return bucket;
}

void RetryBudget::RecordFirstAttempt() { ++Current().first_attempts; }

void RetryBudget::RevertFirstAttempt() { --Current().first_attempts; }

bool RetryBudget::TryRetry(double ratio) {
  Bucket& current = Current();
  const int64_t oldest = current.number - kBuckets + 1;
  int64_t first_attempts = 0;
  int64_t retries = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number < oldest) continue;
    first_attempts += bucket.first_attempts;
    retries += bucket.retries;
  }
  if (static_cast<double>(retries + 1) > ratio * static_cast<double>(first_attempts)) return false;
  ++current.retries;
  return true;
}

}  // namespace posthatch::gateway
