#pragma once

#include <cstdint>

// How a fleet test ends before its time: SIGINT or SIGTERM once (it ends its work and its
// children), twice (children are killed at once), or the hard time limit.
namespace posthatch::fleettest {

// Installs the handlers. After `hard_limit_s` seconds every child is killed and this process ends
// with kExitOverTime, whatever it is doing; 0: no limit.
void InstallInterruption(uint32_t hard_limit_s);
bool Interrupted();

}  // namespace posthatch::fleettest
