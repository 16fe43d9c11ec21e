#pragma once

#include <cstdint>
#include <random>

#include "posthatch/runtime/clock.h"

namespace posthatch::runtime {

// Source of every random choice. Seeded by the simulator, or from std::random_device in real
// processes. Satisfies UniformRandomBitGenerator, so the standard distributions accept it.
class Random {
 public:
  using result_type = uint64_t;

  explicit Random(uint64_t seed) : engine_(seed) {}

  static constexpr result_type min() { return std::mt19937_64::min(); }
  static constexpr result_type max() { return std::mt19937_64::max(); }
  result_type operator()() { return engine_(); }

  // Uniform in [0, bound); `bound` must be positive.
  uint64_t Uniform(uint64_t bound) {
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_);
  }
  // Uniform in [0, 1).
  double UniformReal() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }
  bool Chance(double probability) { return UniformReal() < probability; }
  // Uniform in [low, high).
  Duration Between(Duration low, Duration high) {
    return low + Duration(static_cast<int64_t>(UniformReal() *
                                               static_cast<double>((high - low).count())));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace posthatch::runtime
