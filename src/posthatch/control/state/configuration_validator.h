#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "posthatch/control/configuration.pb.h"

namespace posthatch::control {

// Serialized size of a complete configuration, in bytes.
inline constexpr size_t kMaxConfigurationBytes = size_t{2} * 1024 * 1024;
// Errors reported for one configuration; a final line counts the omitted ones.
inline constexpr size_t kMaxReportedErrors = 100;

// All errors of a configuration, each with the path of the field and the allowed range
// ("tenants[2].priority: 0 to 9"). Empty if it is valid. Depends only on `configuration`, so that
// every process gets the same result.
std::vector<std::string> ValidateConfiguration(const Configuration& configuration);

// Whether `name` may name a tenant, rule, service, operation or evacuation: 1 to 64 letters, digits
// or ._- with a letter or digit first. Model names may also contain '/' and ':'.
bool IsValidName(const std::string& name);

}  // namespace posthatch::control
