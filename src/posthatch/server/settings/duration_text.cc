#include "posthatch/server/settings/duration_text.h"

#include <cmath>
#include <string_view>

#include "absl/strings/numbers.h"

namespace posthatch::server {
namespace {

struct Unit {
  std::string_view suffix;
  absl::Duration duration;
};

// A unit comes before those that its text ends with: "ms" before "s".
constexpr size_t kUnitCount = 4;
const Unit* Units() {
  static const Unit units[kUnitCount] = {{"ms", absl::Milliseconds(1)},
                                         {"s", absl::Seconds(1)},
                                         {"min", absl::Minutes(1)},
                                         {"h", absl::Hours(1)}};
  return units;
}

}  // namespace

std::optional<absl::Duration> ParseDurationText(const std::string& text) {
  for (size_t i = 0; i < kUnitCount; ++i) {
    const Unit& unit = Units()[i];
    if (!text.ends_with(unit.suffix)) continue;
    const std::string number_text = text.substr(0, text.size() - unit.suffix.size());
    const bool is_hexadecimal = number_text.find_first_of("xX") != std::string::npos;
    double number = 0;
    if (is_hexadecimal || !absl::SimpleAtod(number_text, &number) || std::isnan(number)) {
      return std::nullopt;
    }
    return number * unit.duration;
  }
  return std::nullopt;
}

}  // namespace posthatch::server
