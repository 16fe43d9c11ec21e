#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "posthatch/invalidation/invalidation.pb.h"

namespace posthatch::invalidation {

// Read access of an invalidation server to the durable versions of a controller's objects.
// Implemented by control::ControlState. Event loop thread only.
class ObjectSource {
 public:
  // Called for each object whose version has increased, after the change is committed and applied.
  using Listener = std::function<void(const std::string& object, const ObjectVersion& version)>;

  virtual ~ObjectSource() = default;
  // Returns all known objects, sorted by name.
  virtual std::vector<RegisteredObject> Objects() const = 0;
  // Returns false and leaves `version` unchanged if there is no such object.
  virtual bool Find(const std::string& object, ObjectVersion* version) const = 0;
  virtual void AddListener(Listener listener) = 0;
};

// Whether this process may act as the server of a channel now: it is the leader, and its objects
// reflect every accepted invalidation. `epoch` differs in each term in which it serves.
struct ServingState {
  bool serving = false;
  uint64_t epoch = 0;
};

}  // namespace posthatch::invalidation
