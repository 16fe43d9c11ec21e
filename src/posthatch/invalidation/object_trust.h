#pragma once

#include <string>

#include "posthatch/invalidation/invalidation.pb.h"

namespace posthatch::invalidation {

// Decides for a subscriber whether an object is fresh at a version now (WCIP 3.1, 5.3). Event loop
// thread only.
class ObjectTrust {
 public:
  virtual ~ObjectTrust() = default;
  // True only if the object is covered, its newest known version equals `version`, and the
  // subscriber's monotonic clock is before t1 + (t3 - t2) + X of its channel.
  virtual bool IsFresh(const std::string& object, const ObjectVersion& version) const = 0;
  // Sets `version` to the newest known version, for new index entries. Returns false if the object
  // isn't covered or the freshness guarantee of its channel has expired.
  virtual bool CurrentVersion(const std::string& object, ObjectVersion* version) const = 0;
};

}  // namespace posthatch::invalidation
