#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::invalidation {

// A publisher's proof for a channel at the time of the call.
struct PublisherProof {
  bool live = false;                    // whether messages that renew trust may be sent
  uint64_t epoch = 0;                   // scopes the publisher's clock and sequence numbers
  runtime::MonotonicTime proven_until;  // objects are the newest up to here, by publisher's clock
};

// Where a publisher's objects come from: the control state at an invalidation server, the upstream
// subscription at a relay point. Event loop thread only.
class PublisherSource {
 public:
  virtual ~PublisherSource() = default;
  // Evaluated against the current clock; called again before each send.
  virtual PublisherProof CurrentProof(const std::string& channel) = 0;
  // Returns the objects that the channel covers now, with their newest versions, sorted by name.
  virtual std::vector<RegisteredObject> Objects(const std::string& channel) const = 0;
  // Returns false and leaves `version` unchanged if the channel does not cover `object`.
  virtual bool Find(const std::string& channel, const std::string& object,
                    ObjectVersion* version) const = 0;
};

}  // namespace posthatch::invalidation
