#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// Estimates the time to prefill and to fetch one block from the first chunks of streams: without a
// source the time is prefill alone, with one it is prefill of the rest plus the fetch. Event loop
// thread only.
class LinkSpeedEstimator {
 public:
  explicit LinkSpeedEstimator(const runtime::Clock* clock) : clock_(clock) {}

  // `blocks` blocks were prefilled in `elapsed`, the time from dispatch to the first chunk.
  void RecordPrefill(uint64_t blocks, runtime::Duration elapsed);
  // As above, with `fetched` blocks fetched from `source` by `worker`.
  void RecordFetch(const std::string& source, const std::string& worker, uint64_t fetched,
                   uint64_t prefilled, runtime::Duration elapsed);

  // Milliseconds per block.
  double PrefillCost() const { return prefill_milliseconds_ / prefill_blocks_; }
  // Milliseconds per block from `source` to `worker`. A link without a measurement in the last
  // kMeasurementTtl is assumed to be fast, so that it is measured again.
  double FetchCost(const std::string& source, const std::string& worker) const;
  // Whether fetching is sufficiently cheaper than prefilling.
  bool FetchIsWorthwhile(const std::string& source, const std::string& worker) const;

 private:
  static constexpr runtime::Duration kMeasurementTtl = std::chrono::seconds(30);
  static constexpr size_t kMaxLinks = 65536;

  struct Link {
    double milliseconds = 0.0;
    runtime::MonotonicTime measured;
  };

  const runtime::Clock* const clock_;
  // Exponentially decaying sums, so that short prompts, whose time is mostly queueing, have little
  // weight.
  double prefill_milliseconds_ = 20.0;
  double prefill_blocks_ = 10.0;
  absl::flat_hash_map<std::string, Link> links_;
};

}  // namespace posthatch::gateway
