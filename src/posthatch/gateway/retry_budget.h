#pragma once

#include <array>
#include <cstdint>

#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// Limits retries to a ratio of the first attempts in a sliding window of 10 s (invariant N11), with
// no allowance beyond the ratio. A first attempt of which no byte was sent is reverted, so that the
// ratio also holds as back ends see it. Event loop thread only.
class RetryBudget {
 public:
  explicit RetryBudget(const runtime::Clock* clock) : clock_(clock) {}

  void RecordFirstAttempt();
  // Takes back the newest first attempt, which was never sent.
  void RevertFirstAttempt();
  // Counts and allows a retry if the retries in the window stay at or below `ratio` of the first
  // attempts in it.
  bool TryRetry(double ratio);

 private:
  static constexpr int kBuckets = 100;
  static constexpr runtime::Duration kBucketLength = std::chrono::milliseconds(100);

  struct Bucket {
    int64_t number = -1;  // index of its interval on the clock, in units of kBucketLength
    int64_t first_attempts = 0;
    int64_t retries = 0;
  };

  // The bucket of the current interval, reset if it counted an older one.
  Bucket& Current();
  int64_t CurrentNumber() const;

  const runtime::Clock* const clock_;
  std::array<Bucket, kBuckets> buckets_;
};

}  // namespace posthatch::gateway
