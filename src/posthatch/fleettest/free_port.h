#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace posthatch::fleettest {

// A port of `address` that is free for TCP and UDP right now, chosen by the kernel. It is not held:
// addresses are one a process, so that another fleet test seldom takes it before the process does.
absl::StatusOr<uint16_t> FindFreePort(const std::string& address);

}  // namespace posthatch::fleettest
