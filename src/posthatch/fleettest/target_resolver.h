#pragma once

#include <optional>
#include <string>
#include <vector>

#include "posthatch/fleettest/fleet.h"
#include "posthatch/runtime/random.h"

namespace posthatch::fleettest {

// Returns the processes that `target` currently selects; "random" picks `count` of the matching
// ones. `leader` is the name of the leading controller, if known; without it, "leader" picks a
// random one.
std::vector<ProcessInfo> ResolveTarget(const Target& target,
                                       const std::vector<ProcessInfo>& processes,
                                       const std::string& leader, runtime::Random* random);

// The target of a random fault: a random process of a role that the kind applies to.
Target ChaosTarget(FaultKind kind, runtime::Random* random);
// Draws the random faults of `chaos`, sorted by time.
std::vector<Fault> DrawChaos(const Chaos& chaos, runtime::Random* random);

}  // namespace posthatch::fleettest
