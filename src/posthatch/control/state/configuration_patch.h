#pragma once

#include <string>
#include <vector>

#include "posthatch/control/configuration.pb.h"

namespace posthatch::control {

// `base` after the patch's removals and upserts by name, in that order; `routing` is replaced as a
// whole if the patch has it. Names to remove that `base` doesn't have are added to `errors`.
Configuration ApplyPatch(const Configuration& base, const ConfigurationPatch& patch,
                         std::vector<std::string>* errors);

// The patch that turns `from` into `to`, except for the order of entries.
ConfigurationPatch MakePatch(const Configuration& from, const Configuration& to);

// What differs between two configurations, entry by entry ("tenant alpha: changed", "model m:
// added"), at most kMaxDifferences lines. Empty if they are equal except for the order of entries.
std::vector<std::string> DescribeDifferences(const Configuration& from, const Configuration& to);

inline constexpr size_t kMaxDifferences = 100;

}  // namespace posthatch::control
