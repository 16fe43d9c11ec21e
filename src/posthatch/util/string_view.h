#pragma once

#include <string_view>

#include "absl/strings/string_view.h"

namespace posthatch::util {

// Debian builds Abseil with its own string_view, which std::string_view doesn't convert to.
inline absl::string_view ToAbsl(std::string_view text) { return {text.data(), text.size()}; }
inline std::string_view ToStd(absl::string_view text) { return {text.data(), text.size()}; }

}  // namespace posthatch::util
