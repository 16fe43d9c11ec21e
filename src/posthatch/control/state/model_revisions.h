#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// The newest revision of each model's weights: 1, 2, 3 ... in the order in which orders were
// accepted. Part of the replicated state; owned by ControlState.
class ModelRevisions {
 public:
  // OK with the new revision; NOT_FOUND if `configuration` has no such model; VERSION_CONFLICT if
  // `expected_revision` isn't the newest; INVALID.
  CommandResult Apply(const std::string& request_id, const SetModelRevision& order,
                      const Configuration& configuration);

  // Takes the operator's own number for a revision. One that is not above the newest changes
  // nothing and is acknowledged, so that an order may be sent again at any time.
  CommandResult SetNumberedRevision(const std::string& request_id, const SetModelRevision& order);

  // Gives a model that has no revision yet its first one; returns whether it did.
  bool EnsureFirstRevision(const std::string& model);

  static constexpr uint64_t kFirstRevision = 1;

  // 0 if there was no order yet.
  uint64_t Current(const std::string& model) const;

  void Save(google::protobuf::RepeatedPtrField<ModelRevision>* revisions) const;
  void Restore(const google::protobuf::RepeatedPtrField<ModelRevision>& revisions);

 private:
  std::map<std::string, ModelRevision> revisions_;
};

}  // namespace posthatch::control
