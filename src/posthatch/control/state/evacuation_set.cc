#include "posthatch/control/state/evacuation_set.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/control/state/configuration_validator.h"
#include "posthatch/control/state/selector.h"

namespace posthatch::control {

CommandResult EvacuationSet::Apply(uint64_t log_index, const SetEvacuation& command) {
  CommandResult result;
  std::vector<std::string> errors = Validate(command);
  if (!errors.empty()) {
    result.set_code(CommandResult::INVALID);
    for (std::string& error : errors) result.add_errors(std::move(error));
    return result;
  }
  const std::string& name = command.evacuation().name();
  if (command.has_expected_version() && command.expected_version() != VersionOf(name)) {
    result.set_code(CommandResult::VERSION_CONFLICT);
    result.set_version(VersionOf(name));
    return result;
  }
  result = Change(command);
  if (command.has_expected_version()) {
    RecordVersion(log_index, name);
  } else if (result.code() == CommandResult::OK) {
    RecordVersionOfAllNames(log_index);
  }
  return result;
}

std::vector<std::string> EvacuationSet::Validate(const SetEvacuation& command) const {
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
  return errors;
}

CommandResult EvacuationSet::Change(const SetEvacuation& command) {
  CommandResult result;
  const std::string& name = command.evacuation().name();
  if (!command.lifted()) {
    evacuations_[name] = command.evacuation();
  } else if (evacuations_.erase(name) == 0) {
    result.set_code(CommandResult::NOT_FOUND);
    result.add_errors("name: no such evacuation: " + name);
    return result;
  }
  result.set_code(CommandResult::OK);
  return result;
}

uint64_t EvacuationSet::VersionOf(const std::string& name) const {
  const auto found = versions_.find(name);
  return found == versions_.end() ? version_floor_ : found->second;
}

uint64_t EvacuationSet::newest_version() const {
  return names_by_version_.empty() ? version_floor_ : names_by_version_.rbegin()->first;
}

void EvacuationSet::RecordVersion(uint64_t log_index, const std::string& name) {
  const auto previous = versions_.find(name);
  if (previous != versions_.end()) names_by_version_.erase(previous->second);
  versions_[name] = log_index;
  names_by_version_[log_index] = name;
  if (versions_.size() <= kMaxVersions) return;
  const auto oldest = names_by_version_.begin();
  version_floor_ = oldest->first;
  versions_.erase(oldest->second);
  names_by_version_.erase(oldest);
}

void EvacuationSet::RecordVersionOfAllNames(uint64_t log_index) {
  versions_.clear();
  names_by_version_.clear();
  version_floor_ = log_index;
}

void EvacuationSet::Save(google::protobuf::RepeatedPtrField<Evacuation>* evacuations) const {
  for (const auto& [name, evacuation] : evacuations_) *evacuations->Add() = evacuation;
}

void EvacuationSet::SaveVersions(ControlSnapshot* snapshot) const {
  if (versions_.empty()) return;
  for (const auto& [version, name] : names_by_version_) {
    EvacuationVersion* saved = snapshot->add_evacuation_versions();
    saved->set_name(name);
    saved->set_version(version);
  }
  snapshot->set_evacuation_version_floor(version_floor_);
}

void EvacuationSet::Restore(const ControlSnapshot& snapshot) {
  evacuations_.clear();
  for (const Evacuation& evacuation : snapshot.fleet().evacuations()) {
    evacuations_[evacuation.name()] = evacuation;
  }
  RecordVersionOfAllNames(snapshot.evacuation_versions().empty()
                              ? snapshot.fleet().evacuations_index()
                              : snapshot.evacuation_version_floor());
  for (const EvacuationVersion& saved : snapshot.evacuation_versions()) {
    versions_[saved.name()] = saved.version();
    names_by_version_[saved.version()] = saved.name();
  }
}

}  // namespace posthatch::control
