#pragma once

#include "posthatch/server/process_factory.h"

namespace posthatch::fleettest {

inline constexpr int kExitPassed = 0;
inline constexpr int kExitFailed = 1;    // a violation, a check without cases, or an incomplete run
inline constexpr int kExitBadInput = 2;  // command line or scenario file
inline constexpr int kExitOverTime = 3;  // the hard time limit

// Implements posthatch-fleettest list | run | simulate and returns its exit code. `factory` builds
// the processes of simulated fleets.
int RunCommandLine(int argc, const char* const* argv, server::ProcessFactory* factory);

}  // namespace posthatch::fleettest
