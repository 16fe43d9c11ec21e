#pragma once

#include <chrono>
#include <cstdint>

#include "posthatch/simulation/processor_model.h"

namespace posthatch::server {

// Bytes that this thread has allocated with `new` so far.
uint64_t AllocatedBytes();

// A processor whose time grows with what a callback allocates: copying, parsing and encoding
// messages allocate in proportion to their work. Unlike measured time it doesn't depend on the
// machine or its load. Runs of one seed may differ a little: hash tables grow at moments that
// depend on addresses.
class AllocationProcessor : public simulation::ProcessorModel {
 public:
  // `share`: the part of a core that the process may use.
  explicit AllocationProcessor(double share) : share_(share) {}

  void OnCallbackBegin() override { allocated_before_ = AllocatedBytes(); }
  runtime::Duration OnCallbackEnd() override;

 private:
  // Of a whole core of 2026.
  static constexpr double kNanosecondsPerByte = 1.4;
  // Allocations below this aren't counted, so that small hash tables make no difference.
  static constexpr uint64_t kCountedBytes = 16384;
  static constexpr double kNanosecondsPerCallback = 5000;

  const double share_;
  uint64_t allocated_before_ = 0;
};

}  // namespace posthatch::server
