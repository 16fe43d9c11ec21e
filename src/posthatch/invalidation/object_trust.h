#pragma once

#include <string>

#include "posthatch/invalidation/invalidation.pb.h"

namespace posthatch::invalidation {

// The subscriber's judgement (WCIP 3.1, 5.3): is this object fresh at this version right now?
class ObjectTrust {
 public:
  virtual ~ObjectTrust() = default;
  // True only if the object is covered, its newest known version equals `version`, and the
  // subscriber's monotonic clock is before t1 + (t3 - t2) + X of its channel.
  virtual bool IsFresh(const std::string& object, const ObjectVersion& version) const = 0;
  // Newest version known, for making new entries; false if the object isn't covered or its channel
  // has been silent for too long.
  virtual bool CurrentVersion(const std::string& object, ObjectVersion* version) const = 0;
};

}  // namespace posthatch::invalidation
