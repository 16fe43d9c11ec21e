#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// The newest revision of each model's weights: 1, 2, 3 ... in the order of the accepted commands,
// or the operator's own increasing numbers. Part of the replicated state; owned by ControlState.
class ModelRevisions {
 public:
  // OK with the new revision; NOT_FOUND if `configuration` has no such model; VERSION_CONFLICT if
  // `expected_revision` isn't the newest; INVALID.
  CommandResult Apply(const std::string& request_id, const SetModelRevision& command,
                      const Configuration& configuration);

  // Sets a revision under the operator's own number: OK with the newest revision, or INVALID. A
  // number that isn't above the newest changes nothing, so that resends are idempotent.
  CommandResult SetNumberedRevision(const std::string& request_id, const SetModelRevision& command);

  // Sets kFirstRevision for a model without a revision; returns whether it did.
  bool EnsureFirstRevision(const std::string& model);

  static constexpr uint64_t kFirstRevision = 1;

  // 0 if the model has no revision.
  uint64_t Current(const std::string& model) const;

  void Save(google::protobuf::RepeatedPtrField<ModelRevision>* revisions) const;
  void Restore(const google::protobuf::RepeatedPtrField<ModelRevision>& revisions);

 private:
  std::map<std::string, ModelRevision> revisions_;
};

}  // namespace posthatch::control
