#pragma once

#include <optional>
#include <string>

#include "absl/time/time.h"

namespace posthatch::server {

// Reads a decimal number with a unit of ms, s, min or h, for example "7.5s", "3000.0ms" or "1e3
// ms". Returns nullopt for any other text. Numbers too large for a duration give an infinite one.
std::optional<absl::Duration> ParseDurationText(const std::string& text);

}  // namespace posthatch::server
