#pragma once

#include "posthatch/fleettest/checks/recorded_history.h"

// Time limits that the users require (brief, "What must never happen").
namespace posthatch::fleettest {

inline constexpr int64_t kConfigurationBoundNs = 2 * kSecondNs;
inline constexpr int64_t kDrainBoundNs = 3 * kSecondNs;
inline constexpr int64_t kEvacuationBoundNs = 5 * kSecondNs;
inline constexpr int64_t kRevisionBoundNs = 12 * kSecondNs;

inline double Seconds(int64_t nanoseconds) {
  return static_cast<double>(nanoseconds) / static_cast<double>(kSecondNs);
}

// The longest time that an operator waits for a response, and so the longest duration of a state
// read that has no recorded start.
inline constexpr int64_t kMaxReadNs = 12 * kSecondNs;

// Start of a state read: the read must show every change acknowledged before this time.
inline int64_t ReadStartedAt(const HistoryEvent& event) {
  const int64_t started_ns = event.state_read().started_ns();
  return started_ns > 0 ? started_ns : event.time_ns() - kMaxReadNs;
}

}  // namespace posthatch::fleettest
