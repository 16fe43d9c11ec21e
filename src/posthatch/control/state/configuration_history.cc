#include "posthatch/control/state/configuration_history.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/control/state/configuration_patch.h"
#include "posthatch/control/state/configuration_validator.h"

namespace posthatch::control {

CommandResult ConfigurationHistory::Apply(uint64_t log_index, const std::string& request_id,
                                          const ChangeConfiguration& change) {
  CommandResult result;
  Configuration candidate;
  if (!MakeCandidate(change, &candidate, &result)) return result;
  const uint64_t newest_version = versions_.empty() ? 0 : versions_.back().version();
  if (change.expected_version() != 0 && change.expected_version() != newest_version) {
    result.set_code(CommandResult::VERSION_CONFLICT);
    result.set_version(newest_version);
    if (!versions_.empty()) {
      result.set_winner_request_id(versions_.back().request_id());
      for (std::string& line : DescribeDifferences(versions_.back().configuration(), candidate)) {
        result.add_differences(std::move(line));
      }
    }
    return result;
  }
  for (std::string& error : ValidateConfiguration(candidate)) {
    result.add_errors(std::move(error));
  }
  if (!result.errors().empty()) {
    result.set_code(CommandResult::INVALID);
    return result;
  }
  ConfigurationVersion version;
  version.set_version(newest_version + 1);
  version.set_log_index(log_index);
  version.set_request_id(request_id);
  *version.mutable_configuration() = std::move(candidate);
  Append(std::move(version));
  result.set_code(CommandResult::OK);
  result.set_version(newest_version + 1);
  return result;
}

bool ConfigurationHistory::MakeCandidate(const ChangeConfiguration& change,
                                         Configuration* candidate, CommandResult* result) const {
  std::vector<std::string> errors;
  switch (change.change_case()) {
    case ChangeConfiguration::kWhole:
      *candidate = change.whole();
      return true;
    case ChangeConfiguration::kPatch: {
      const Configuration empty;
      *candidate = ApplyPatch(versions_.empty() ? empty : versions_.back().configuration(),
                              change.patch(), &errors);
      break;
    }
    case ChangeConfiguration::kRollBackTo: {
      const ConfigurationVersion* version = Find(change.roll_back_to());
      if (version != nullptr) {
        *candidate = version->configuration();
        return true;
      }
      result->set_code(CommandResult::NOT_FOUND);
      result->add_errors(
          absl::StrCat("roll_back_to: version ", change.roll_back_to(), " isn't kept"));
      return false;
    }
    case ChangeConfiguration::CHANGE_NOT_SET:
      errors.emplace_back("one of configuration, patch and roll_back_to is needed");
      break;
  }
  if (errors.empty()) return true;
  for (std::string& error : ValidateConfiguration(*candidate)) errors.push_back(std::move(error));
  result->set_code(CommandResult::INVALID);
  for (std::string& error : errors) result->add_errors(std::move(error));
  return false;
}

const ConfigurationVersion* ConfigurationHistory::Find(uint64_t version) const {
  const auto found = std::find_if(
      versions_.rbegin(), versions_.rend(),
      [version](const ConfigurationVersion& entry) { return entry.version() == version; });
  return found == versions_.rend() ? nullptr : &*found;
}

const ConfigurationVersion* ConfigurationHistory::FindByLogIndex(uint64_t log_index) const {
  const auto found = std::lower_bound(
      versions_.begin(), versions_.end(), log_index,
      [](const ConfigurationVersion& entry, uint64_t index) { return entry.log_index() < index; });
  return found == versions_.end() || found->log_index() != log_index ? nullptr : &*found;
}

void ConfigurationHistory::Append(ConfigurationVersion version) {
  bytes_ += version.ByteSizeLong();
  versions_.push_back(std::move(version));
  while (versions_.size() > 1 && (versions_.size() > kMaxVersions || bytes_ > kMaxBytes)) {
    bytes_ -= versions_.front().ByteSizeLong();
    versions_.pop_front();
  }
}

void ConfigurationHistory::Save(
    google::protobuf::RepeatedPtrField<ConfigurationVersion>* history) const {
  for (const ConfigurationVersion& version : versions_) *history->Add() = version;
}

void ConfigurationHistory::Restore(
    const google::protobuf::RepeatedPtrField<ConfigurationVersion>& history) {
  versions_.clear();
  bytes_ = 0;
  for (const ConfigurationVersion& version : history) Append(version);
}

}  // namespace posthatch::control
