#include "posthatch/control/state/evacuation_set.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/control/state/configuration_validator.h"
#include "posthatch/control/state/selector.h"

namespace posthatch::control {

CommandResult EvacuationSet::Apply(const SetEvacuation& command) {
  CommandResult result;
  const std::string& name = command.evacuation().name();
  std::vector<std::string> errors;
  if (!IsValidName(name)) {
    errors.emplace_back("name: 1 to 64 letters, digits or ._- and a letter or digit first");
  }
  if (!command.lifted()) {
    ValidateSelector(command.evacuation().selector(), "selector", &errors);
    if (!evacuations_.contains(name) && evacuations_.size() >= kMaxEvacuations) {
      errors.push_back(absl::StrCat("evacuations: at most ", kMaxEvacuations));
    }
  }
  if (!errors.empty()) {
    result.set_code(CommandResult::INVALID);
    for (std::string& error : errors) result.add_errors(std::move(error));
    return result;
  }
  if (command.lifted()) {
    if (evacuations_.erase(name) == 0) {
      result.set_code(CommandResult::NOT_FOUND);
      result.add_errors("name: no such evacuation: " + name);
      return result;
    }
  } else {
    evacuations_[name] = command.evacuation();
  }
  result.set_code(CommandResult::OK);
  return result;
}

void EvacuationSet::Save(google::protobuf::RepeatedPtrField<Evacuation>* evacuations) const {
  for (const auto& [name, evacuation] : evacuations_) *evacuations->Add() = evacuation;
}

void EvacuationSet::Restore(const google::protobuf::RepeatedPtrField<Evacuation>& evacuations) {
  evacuations_.clear();
  for (const Evacuation& evacuation : evacuations) evacuations_[evacuation.name()] = evacuation;
}

}  // namespace posthatch::control
