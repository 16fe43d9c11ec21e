#include "posthatch/control/state/model_revisions.h"

#include <algorithm>

namespace posthatch::control {
namespace {

constexpr size_t kMaxWeightsNameLength = 256;

bool HasModel(const Configuration& configuration, const std::string& name) {
  return std::any_of(configuration.models().begin(), configuration.models().end(),
                     [&name](const Model& model) { return model.name() == name; });
}

}  // namespace

CommandResult ModelRevisions::Apply(const std::string& request_id, const SetModelRevision& command,
                                    const Configuration& configuration) {
  CommandResult result;
  if (command.weights().empty() || command.weights().size() > kMaxWeightsNameLength) {
    result.set_code(CommandResult::INVALID);
    result.add_errors("weights: 1 to 256 bytes");
    return result;
  }
  if (!HasModel(configuration, command.model())) {
    result.set_code(CommandResult::NOT_FOUND);
    result.add_errors("model: no such model in the configuration: " + command.model());
    return result;
  }
  const uint64_t current = Current(command.model());
  result.set_version(current);
  if (command.expected_revision() != 0 && command.expected_revision() != current) {
    result.set_code(CommandResult::VERSION_CONFLICT);
    const auto newest = revisions_.find(command.model());
    if (newest != revisions_.end()) {
      result.set_winner_request_id(newest->second.request_id());
      result.add_differences("weights: newest are " + newest->second.weights());
    }
    return result;
  }
  ModelRevision& revision = revisions_[command.model()];
  revision.set_model(command.model());
  revision.set_revision(current + 1);
  revision.set_weights(command.weights());
  revision.set_request_id(request_id);
  result.set_code(CommandResult::OK);
  result.set_version(current + 1);
  return result;
}

CommandResult ModelRevisions::SetNumberedRevision(const std::string& request_id,
                                                  const SetModelRevision& command) {
  CommandResult result;
  if (command.model().empty()) {
    result.set_code(CommandResult::INVALID);
    result.add_errors("model: missing");
    return result;
  }
  result.set_code(CommandResult::OK);
  if (command.revision() > Current(command.model())) {
    ModelRevision& revision = revisions_[command.model()];
    revision.set_model(command.model());
    revision.set_revision(command.revision());
    revision.set_weights(command.weights());
    revision.set_request_id(request_id);
  }
  result.set_version(Current(command.model()));
  return result;
}

bool ModelRevisions::EnsureFirstRevision(const std::string& model) {
  if (Current(model) > 0) return false;
  ModelRevision& revision = revisions_[model];
  revision.set_model(model);
  revision.set_revision(kFirstRevision);
  return true;
}

uint64_t ModelRevisions::Current(const std::string& model) const {
  const auto found = revisions_.find(model);
  return found == revisions_.end() ? 0 : found->second.revision();
}

void ModelRevisions::Save(google::protobuf::RepeatedPtrField<ModelRevision>* revisions) const {
  for (const auto& [model, revision] : revisions_) *revisions->Add() = revision;
}

void ModelRevisions::Restore(const google::protobuf::RepeatedPtrField<ModelRevision>& revisions) {
  revisions_.clear();
  for (const ModelRevision& revision : revisions) revisions_[revision.model()] = revision;
}

}  // namespace posthatch::control
