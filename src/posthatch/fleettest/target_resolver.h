#pragma once

#include <optional>
#include <string>
#include <vector>

#include "posthatch/fleettest/fleet.h"
#include "posthatch/runtime/random.h"

namespace posthatch::fleettest {

// Processes that `target` points at now; "random" picks `count` of the matching ones. `leader` is
// the name of the leading controller as far as known: without it, "leader" picks a random one.
std::vector<ProcessInfo> ResolveTarget(const Target& target,
                                       const std::vector<ProcessInfo>& processes,
                                       const std::string& leader, runtime::Random* random);

// The target of a fault that chaos draws: a random process of a role that the kind fits.
Target ChaosTarget(FaultKind kind, runtime::Random* random);
// The faults that `chaos` draws from `random`, by time.
std::vector<Fault> DrawChaos(const Chaos& chaos, runtime::Random* random);

}  // namespace posthatch::fleettest
