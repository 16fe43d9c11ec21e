#include "posthatch/gateway/selector_matcher.h"

#include <algorithm>
#include <optional>
#include <string>

namespace posthatch::gateway {
namespace {

std::optional<std::string> LabelValue(const control::Backend& backend, const std::string& key) {
  if (key == "zone") return backend.zone();
  if (key == "id") return backend.id();
  const auto found = backend.labels().find(key);
  if (found != backend.labels().end()) return found->second;
  if (key == "model" && !backend.model().empty()) return backend.model();
  if (key == "service" && !backend.service().empty()) return backend.service();
  return std::nullopt;
}

bool Holds(const control::Requirement& requirement, const control::Backend& backend) {
  const std::optional<std::string> value = LabelValue(backend, requirement.key());
  const bool listed = value.has_value() &&
                      std::find(requirement.values().begin(), requirement.values().end(), *value) !=
                          requirement.values().end();
  switch (requirement.operator_()) {
    case control::Requirement::IN:
      return listed;
    case control::Requirement::NOT_IN:
      return !listed;
    case control::Requirement::EXISTS:
      return value.has_value();
    case control::Requirement::NOT_EXISTS:
      return !value.has_value();
    default:
      return false;
  }
}

}  // namespace

bool MatchesBackend(const control::Selector& selector, const control::Backend& backend) {
  if (selector.match_all()) return true;
  if (selector.requirements().empty()) return false;
  return std::all_of(selector.requirements().begin(), selector.requirements().end(),
                     [&](const auto& requirement) { return Holds(requirement, backend); });
}

}  // namespace posthatch::gateway
