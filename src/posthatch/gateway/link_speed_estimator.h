#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// Learns how long a block takes to prefill and to fetch, from the first pieces of streams: without
// a source the time is prefill alone, with one it is prefill of the rest plus the fetch. Used to
// decide whether fetching is worth it. Event loop thread only.
class LinkSpeedEstimator {
 public:
  explicit LinkSpeedEstimator(const runtime::Clock* clock) : clock_(clock) {}

  // `elapsed` passed from dispatch to the first piece, in which `blocks` blocks were prefilled.
  void RecordPrefill(uint64_t blocks, runtime::Duration elapsed);
  // As above, with `fetched` blocks of them taken from `source` by `worker`.
  void RecordFetch(const std::string& source, const std::string& worker, uint64_t fetched,
                   uint64_t prefilled, runtime::Duration elapsed);

  // Milliseconds a block.
  double PrefillCost() const { return prefill_milliseconds_ / prefill_blocks_; }
  // Milliseconds a block from `source` to `worker`; a link that wasn't measured for
  // kMeasurementTtl counts as good, so that it is tried again.
  double FetchCost(const std::string& source, const std::string& worker) const;
  // Whether fetching beats prefilling clearly enough.
  bool FetchIsWorthwhile(const std::string& source, const std::string& worker) const;

 private:
  static constexpr runtime::Duration kMeasurementTtl = std::chrono::seconds(30);
  static constexpr size_t kMaxLinks = 65536;

  struct Link {
    double milliseconds = 0.0;
    runtime::MonotonicTime measured;
  };

  const runtime::Clock* const clock_;
  // Decaying sums, so that short prompts, whose time is mostly waiting, weigh little.
  double prefill_milliseconds_ = 20.0;
  double prefill_blocks_ = 10.0;
  absl::flat_hash_map<std::string, Link> links_;
};

}  // namespace posthatch::gateway
