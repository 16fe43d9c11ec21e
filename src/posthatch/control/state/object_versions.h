#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/invalidation/object_source.h"

namespace posthatch::control {

// Versions (epoch, sequence) of the objects that index entries depend on; their names are in
// invalidation.proto. A version never decreases. Part of the replicated state; owned by
// ControlState.
//
// Changes are collected while a command is applied and reported to the listeners by
// NotifyListeners.
class ObjectVersions : public invalidation::ObjectSource {
 public:
  static constexpr size_t kMaxNameLength = 256;

  // Registers an unknown object at version (0, 0).
  void Ensure(const std::string& object);
  // Raises the version to (epoch, 0) if that is higher.
  void RaiseEpoch(const std::string& object, uint64_t epoch);
  // Raises the version to (epoch + 1, 0).
  void IncrementEpoch(const std::string& object);
  // OK with the sequence, or INVALID. An observation of an older epoch changes nothing.
  CommandResult Observe(const ObserveObject& observation);

  // Reports each change since the last call, in order.
  void NotifyListeners();

  // invalidation::ObjectSource.
  std::vector<invalidation::RegisteredObject> Objects() const override;
  bool Find(const std::string& object, invalidation::ObjectVersion* version) const override;
  void AddListener(Listener listener) override { listeners_.push_back(std::move(listener)); }

  void Save(google::protobuf::RepeatedPtrField<ObjectRecord>* objects) const;
  // Doesn't notify: the listeners read all objects after a restore.
  void Restore(const google::protobuf::RepeatedPtrField<ObjectRecord>& objects);

 private:
  struct Version {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
  };

  std::map<std::string, Version> versions_;
  std::vector<std::string> changed_;  // names of objects whose change isn't reported yet
  std::vector<Listener> listeners_;
};

}  // namespace posthatch::control
