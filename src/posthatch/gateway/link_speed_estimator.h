#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// Estimates the time to prefill one block and to fetch one block, from the time to the first chunk
// of streams: without a fetch it is prefill alone, with one it is the fetch plus prefill of the
// remaining blocks. Event loop thread only.
class LinkSpeedEstimator {
 public:
  explicit LinkSpeedEstimator(const runtime::Clock* clock) : clock_(clock) {}

  // `blocks` blocks were prefilled in `elapsed`, the time from dispatch to the first chunk.
  void RecordPrefill(uint64_t blocks, runtime::Duration elapsed);
  // `worker` fetched `fetched` blocks from `source` and prefilled `prefilled` blocks in `elapsed`.
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
  // Exponentially decaying sums. Short prompts, whose time is mostly queueing, thus have little
  // weight.
  double prefill_milliseconds_ = 20.0;
  double prefill_blocks_ = 10.0;
  absl::flat_hash_map<std::string, Link> links_;
};

}  // namespace posthatch::gateway
