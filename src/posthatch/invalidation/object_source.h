#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "posthatch/invalidation/invalidation.pb.h"

namespace posthatch::invalidation {

// The durable versions of a controller's objects, as an invalidation server sees them
// (implementation: control::ControlState). Event loop thread only.
class ObjectSource {
 public:
  // Called for each object whose version rose, after the change is committed and applied.
  using Listener = std::function<void(const std::string& object, const ObjectVersion& version)>;

  virtual ~ObjectSource() = default;
  // All known objects, sorted by name.
  virtual std::vector<RegisteredObject> Objects() const = 0;
  // False if there is no such object; `version` is then left alone.
  virtual bool Find(const std::string& object, ObjectVersion* version) const = 0;
  virtual void AddListener(Listener listener) = 0;
};

// Whether this process may act as the server of a channel now: it leads, and its objects reflect
// every accepted invalidation. `epoch` is different in each term in which it does.
struct ServingState {
  bool serving = false;
  uint64_t epoch = 0;
};

}  // namespace posthatch::invalidation
