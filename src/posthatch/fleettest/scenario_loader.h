#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "posthatch/fleettest/scenario.h"

namespace posthatch::fleettest {

// The result of reading a scenario file: a scenario, or all errors of the file.
struct LoadedScenario {
  Scenario scenario;
  // "FILE:LINE: KEY: what is wrong (allowed: ...)", in the order of the file's sections.
  std::vector<std::string> errors;
  bool ok() const { return errors.empty(); }
};

// Reads and validates a scenario: unknown keys, wrong types, values out of range, targets that
// can't exist at the given sizes, and times beyond the end are errors, all reported together.
LoadedScenario ParseScenario(std::string_view toml_text, const std::string& file_name);
LoadedScenario LoadScenarioFile(const std::string& path);

}  // namespace posthatch::fleettest
