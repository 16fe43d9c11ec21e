#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/invalidation/invalidation.pb.h"

namespace posthatch::control {

// Versions of the objects that index entries rest on (names: invalidation.proto). A version never
// goes back. Part of the replicated state; owned by ControlState.
class ObjectVersions {
 public:
  static constexpr size_t kMaxNameLength = 256;

  // An object that wasn't known gets version (0, 0); returns whether it wasn't.
  bool Ensure(const std::string& object);
  // Sets the version to (epoch, 0) if that is higher; returns whether it rose.
  bool RaiseEpoch(const std::string& object, uint64_t epoch);
  // Raises the epoch by one.
  void IncrementEpoch(const std::string& object);
  // Applies an observation; returns whether the version rose. `result` gets OK with the sequence,
  // or INVALID. An observation of an older epoch changes nothing.
  bool Observe(const ObserveObject& observation, CommandResult* result);

  bool Find(const std::string& object, invalidation::ObjectVersion* version) const;
  std::vector<invalidation::RegisteredObject> All() const;

  void Save(google::protobuf::RepeatedPtrField<ObjectRecord>* objects) const;
  void Restore(const google::protobuf::RepeatedPtrField<ObjectRecord>& objects);

 private:
  struct Version {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
  };

  std::map<std::string, Version> versions_;
};

}  // namespace posthatch::control
