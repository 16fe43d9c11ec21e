#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::invalidation {

// The objects of a channel as its subscriber knows them. Versions never decrease: an object whose
// server states an older version than the known one is not covered until the server states one at
// least as new. Owned by ChannelSubscription; event loop thread only.
class SubscribedObjects {
 public:
  struct Object {
    ObjectVersion version;  // newest known version
    runtime::Duration guarantee{};
    bool covered = false;
  };

  void Apply(const google::protobuf::RepeatedPtrField<ObjectState>& states);
  void MarkNotCovered(const std::string& object);
  void MarkAllNotCovered();

  // Returns null if the object is not covered.
  const Object* FindCovered(const std::string& name) const;
  // Finds covered and uncovered objects; returns null if no message has named the object.
  const Object* FindKnown(const std::string& name) const;
  // Covered objects, sorted by name.
  std::vector<RegisteredObject> Covered() const;
  // Names of all objects, covered or not, sorted.
  std::vector<std::string> KnownNames() const;

 private:
  absl::flat_hash_map<std::string, Object> objects_;
};

}  // namespace posthatch::invalidation
