#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace posthatch::fleettest {

// Returns a port of `address` that is currently free for TCP and UDP, chosen by the kernel. The
// port is not reserved; since each process has its own address, another fleet test rarely takes it
// first.
absl::StatusOr<uint16_t> FindFreePort(const std::string& address);

}  // namespace posthatch::fleettest
