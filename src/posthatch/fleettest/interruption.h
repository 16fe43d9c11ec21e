#pragma once

#include <cstdint>

// Early end of a fleet test: the first SIGINT or SIGTERM ends the run and its children, the second
// kills the children immediately, and so does the hard time limit.
namespace posthatch::fleettest {

// Installs the handlers. After `hard_limit_s` seconds every child is killed and this process ends
// with kExitOverTime; 0: no limit.
void InstallInterruption(uint32_t hard_limit_s);
bool Interrupted();

}  // namespace posthatch::fleettest
