#pragma once

#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// All errors of a traffic configuration, one line each; empty if it is valid. Depends only on
// `configuration`, so that every controller gets the same result.
std::vector<std::string> ValidateTraffic(const TrafficConfiguration& configuration);

}  // namespace posthatch::control
