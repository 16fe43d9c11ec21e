#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "posthatch/control/configuration.pb.h"

namespace posthatch::control {

// Serialized size of a whole configuration, in bytes.
inline constexpr size_t kMaxConfigurationBytes = size_t{2} * 1024 * 1024;
// Errors reported at once; what is beyond is counted in a last line.
inline constexpr size_t kMaxReportedErrors = 100;

// Everything that is wrong with a whole configuration, each with the path of the field and the
// allowed range ("tenants[2].priority: 0 to 9"). Empty if it may be put in force.
std::vector<std::string> ValidateConfiguration(const Configuration& configuration);

// A name of a tenant, rule, service, operation or evacuation: 1 to 64 letters, digits or ._- and a
// letter or digit first. Model names may also hold '/' and ':'.
bool IsValidName(const std::string& name);

}  // namespace posthatch::control
