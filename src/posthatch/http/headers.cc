#include "absl/strings/match.h"
#include "posthatch/http/http.h"
#include "posthatch/util/string_view.h"

namespace posthatch::http {

std::string_view Headers::Get(std::string_view name) const {
  for (const auto& [field_name, value] : fields_) {
    if (absl::EqualsIgnoreCase(util::ToAbsl(field_name), util::ToAbsl(name))) return value;
  }
  return {};
}

bool Headers::Has(std::string_view name) const {
  for (const auto& [field_name, value] : fields_) {
    if (absl::EqualsIgnoreCase(util::ToAbsl(field_name), util::ToAbsl(name))) return true;
  }
  return false;
}

void Headers::Add(std::string_view name, std::string_view value) {
  fields_.emplace_back(std::string(name), std::string(value));
}

}  // namespace posthatch::http
