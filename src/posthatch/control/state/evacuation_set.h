#pragma once

#include <map>
#include <string>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// Active evacuations, keyed by name. Part of the replicated state; owned by ControlState.
class EvacuationSet {
 public:
  static constexpr size_t kMaxEvacuations = 1000;

  // OK, INVALID (all errors), or NOT_FOUND if there is no evacuation to lift. An active evacuation
  // of the same name is replaced.
  CommandResult Apply(const SetEvacuation& command);

  void Save(google::protobuf::RepeatedPtrField<Evacuation>* evacuations) const;
  void Restore(const google::protobuf::RepeatedPtrField<Evacuation>& evacuations);

 private:
  std::map<std::string, Evacuation> evacuations_;
};

}  // namespace posthatch::control
