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

CommandResult ModelRevisions::Apply(const std::string& request_id, const SetModelRevision& order,
                                    const Configuration& configuration) {
  CommandResult result;
  if (order.weights().empty() || order.weights().size() > kMaxWeightsNameLength) {
    result.set_code(CommandResult::INVALID);
    result.add_errors("weights: 1 to 256 bytes");
    return result;
  }
  if (!HasModel(configuration, order.model())) {
    result.set_code(CommandResult::NOT_FOUND);
    result.add_errors("model: no such model in the configuration: " + order.model());
    return result;
  }
  const uint64_t current = Current(order.model());
  result.set_version(current);
  if (order.expected_revision() != 0 && order.expected_revision() != current) {
    result.set_code(CommandResult::VERSION_CONFLICT);
    const auto newest = revisions_.find(order.model());
    if (newest != revisions_.end()) {
      result.set_winner_request_id(newest->second.request_id());
      result.add_differences("weights: newest are " + newest->second.weights());
    }
    return result;
  }
  ModelRevision& revision = revisions_[order.model()];
  revision.set_model(order.model());
  revision.set_revision(current + 1);
  revision.set_weights(order.weights());
  revision.set_request_id(request_id);
  result.set_code(CommandResult::OK);
  result.set_version(current + 1);
  return result;
}

CommandResult ModelRevisions::SetNumberedRevision(const std::string& request_id,
                                                  const SetModelRevision& order) {
  CommandResult result;
  if (order.model().empty()) {
    result.set_code(CommandResult::INVALID);
    result.add_errors("model: missing");
    return result;
  }
  result.set_code(CommandResult::OK);
  if (order.revision() > Current(order.model())) {
    ModelRevision& revision = revisions_[order.model()];
    revision.set_model(order.model());
    revision.set_revision(order.revision());
    revision.set_weights(order.weights());
    revision.set_request_id(request_id);
  }
  result.set_version(Current(order.model()));
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
