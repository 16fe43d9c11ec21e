#include "posthatch/control/state/selector.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "posthatch/util/string_view.h"

namespace posthatch::control {
namespace {

constexpr size_t kMaxTokenLength = 128;
constexpr int kMaxRequirements = 32;
constexpr int kMaxValues = 256;

bool IsTokenCharacter(char character) {
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '.' ||
         character == '_' || character == '-' || character == '/' || character == ':';
}

bool IsToken(std::string_view text) {
  return !text.empty() && text.size() <= kMaxTokenLength &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool HasValue(const Requirement& requirement, const std::string& value) {
  return std::find(requirement.values().begin(), requirement.values().end(), value) !=
         requirement.values().end();
}

bool RequirementHolds(const Requirement& requirement, const LabelMap& labels) {
  const auto label = labels.find(requirement.key());
  const bool present = label != labels.end();
  switch (requirement.operator_()) {
    case Requirement::IN:
      return present && HasValue(requirement, label->second);
    case Requirement::NOT_IN:
      return !present || !HasValue(requirement, label->second);
    case Requirement::EXISTS:
      return present;
    case Requirement::NOT_EXISTS:
      return !present;
    default:
      return false;
  }
}

// Recursive-descent parser of the grammar in the header. `position_` is the index of the next
// character.
class SelectorParser {
 public:
  explicit SelectorParser(std::string_view text) : text_(text) {}

  absl::StatusOr<Selector> Parse() {
    Selector selector;
    SkipSpaces();
    if (Consume("*")) {
      selector.set_match_all(true);
      return AtEnd() ? absl::StatusOr<Selector>(selector) : Error("nothing may follow '*'");
    }
    do {
      absl::Status status = ParseRequirement(selector.add_requirements());
      if (!status.ok()) return status;
    } while (Consume(","));
    if (!AtEnd()) return Error("expected ',' or the end");
    return selector;
  }

 private:
  absl::Status ParseRequirement(Requirement* requirement) {
    const bool negated = Consume("!");
    absl::Status status = ParseToken("a label's name", requirement->mutable_key());
    if (!status.ok()) return status;
    if (negated) {
      requirement->set_operator_(Requirement::NOT_EXISTS);
      return absl::OkStatus();
    }
    if (Consume("!=")) return ParseValue(Requirement::NOT_IN, requirement);
    if (Consume("==") || Consume("=")) return ParseValue(Requirement::IN, requirement);
    if (ConsumeKeyword("in")) return ParseValues(Requirement::IN, requirement);
    if (ConsumeKeyword("notin")) return ParseValues(Requirement::NOT_IN, requirement);
    requirement->set_operator_(Requirement::EXISTS);
    return absl::OkStatus();
  }

  absl::Status ParseValue(Requirement::Operator kind, Requirement* requirement) {
    requirement->set_operator_(kind);
    return ParseToken("a value", requirement->add_values());
  }

  absl::Status ParseValues(Requirement::Operator kind, Requirement* requirement) {
    requirement->set_operator_(kind);
    if (!Consume("(")) return Error("expected '('");
    do {
      absl::Status status = ParseToken("a value", requirement->add_values());
      if (!status.ok()) return status;
    } while (Consume(","));
    return Consume(")") ? absl::OkStatus() : Error("expected ')'");
  }

  absl::Status ParseToken(std::string_view expected, std::string* token) {
    SkipSpaces();
    const size_t start = position_;
    while (position_ < text_.size() && IsTokenCharacter(text_[position_])) ++position_;
    *token = std::string(text_.substr(start, position_ - start));
    SkipSpaces();
    if (IsToken(*token)) return absl::OkStatus();
    return Error(absl::StrCat("expected ", util::ToAbsl(expected), " of 1 to ", kMaxTokenLength,
                              " letters, digits or ._-/:"));
  }

  bool Consume(std::string_view token) {
    SkipSpaces();
    if (text_.substr(position_, token.size()) != token) return false;
    position_ += token.size();
    SkipSpaces();
    return true;
  }

  bool ConsumeKeyword(std::string_view keyword) {
    const size_t end = position_ + keyword.size();
    if (end < text_.size() && IsTokenCharacter(text_[end])) return false;
    return Consume(keyword);
  }

  void SkipSpaces() {
    while (position_ < text_.size() && text_[position_] == ' ') ++position_;
  }
  bool AtEnd() const { return position_ == text_.size(); }
  absl::Status Error(const std::string& reason) const {
    return absl::InvalidArgumentError(
        absl::StrCat("selector, character ", position_ + 1, ": ", reason));
  }

  std::string_view text_;
  size_t position_ = 0;
};

void ValidateRequirement(const Requirement& requirement, const std::string& path,
                         std::vector<std::string>* errors) {
  if (!IsToken(requirement.key())) {
    errors->push_back(
        absl::StrCat(path, ".key: 1 to ", kMaxTokenLength, " letters, digits or ._-/:"));
  }
  const bool takes_values =
      requirement.operator_() == Requirement::IN || requirement.operator_() == Requirement::NOT_IN;
  if (requirement.operator_() == Requirement::OPERATOR_UNSPECIFIED ||
      !Requirement::Operator_IsValid(requirement.operator_())) {
    errors->push_back(absl::StrCat(path, ".operator: one of IN, NOT_IN, EXISTS, NOT_EXISTS"));
  } else if (takes_values && requirement.values().empty()) {
    errors->push_back(absl::StrCat(path, ".values: IN and NOT_IN need at least one"));
  } else if (!takes_values && !requirement.values().empty()) {
    errors->push_back(absl::StrCat(path, ".values: EXISTS and NOT_EXISTS take none"));
  }
  if (requirement.values_size() > kMaxValues) {
    errors->push_back(absl::StrCat(path, ".values: at most ", kMaxValues));
  }
  for (const std::string& value : requirement.values()) {
    if (IsToken(value)) continue;
    errors->push_back(
        absl::StrCat(path, ".values: 1 to ", kMaxTokenLength, " letters, digits or ._-/:"));
    break;
  }
}

}  // namespace

bool SelectorMatches(const Selector& selector, const LabelMap& labels) {
  if (selector.match_all()) return true;
  if (selector.requirements().empty()) return false;
  return std::all_of(
      selector.requirements().begin(), selector.requirements().end(),
      [&labels](const Requirement& requirement) { return RequirementHolds(requirement, labels); });
}

LabelMap BackendLabels(const Backend& backend) {
  LabelMap labels(backend.labels().begin(), backend.labels().end());
  labels["id"] = backend.id();
  labels["zone"] = backend.zone();
  if (backend.kind() == BACKEND_KIND_WORKER) labels["kind"] = "worker";
  if (backend.kind() == BACKEND_KIND_STORE) labels["kind"] = "store";
  if (backend.kind() == BACKEND_KIND_SERVICE) labels["kind"] = "service";
  if (!backend.model().empty()) labels["model"] = backend.model();
  if (!backend.service().empty()) labels["service"] = backend.service();
  return labels;
}

LabelMap TenantLabels(const Tenant& tenant) {
  LabelMap labels(tenant.labels().begin(), tenant.labels().end());
  labels["name"] = tenant.name();
  return labels;
}

absl::StatusOr<Selector> ParseSelector(std::string_view text) {
  return SelectorParser(text).Parse();
}

void ValidateSelector(const Selector& selector, std::string_view path,
                      std::vector<std::string>* errors) {
  const std::string prefix(path);
  if (selector.match_all() && !selector.requirements().empty()) {
    errors->push_back(prefix + ": either match_all or requirements");
  }
  if (!selector.match_all() && selector.requirements().empty()) {
    errors->push_back(prefix + ": needs match_all or at least one requirement");
  }
  if (selector.requirements_size() > kMaxRequirements) {
    errors->push_back(absl::StrCat(prefix, ".requirements: at most ", kMaxRequirements));
  }
  for (int position = 0; position < selector.requirements_size(); ++position) {
    ValidateRequirement(selector.requirements(position),
                        absl::StrCat(prefix, ".requirements[", position, "]"), errors);
  }
}

}  // namespace posthatch::control
