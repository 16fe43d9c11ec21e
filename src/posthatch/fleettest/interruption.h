#pragma once

#include <cstdint>

// Early end of a fleet test: SIGINT or SIGTERM once (ends the run and its children), twice (kills
// the children immediately), or the hard time limit.
namespace posthatch::fleettest {

// Installs the handlers. After `hard_limit_s` seconds every child is killed and this process ends
// with kExitOverTime; 0: no limit.
void InstallInterruption(uint32_t hard_limit_s);
bool Interrupted();

}  // namespace posthatch::fleettest
