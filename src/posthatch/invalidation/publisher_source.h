#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::invalidation {

// What a publisher may say about a channel at this moment.
struct PublisherProof {
  bool live = false;              // false: nothing may be sent that renews trust
  uint64_t epoch = 0;             // of the publisher's clock and sequence numbers
  runtime::MonotonicTime proven;  // its objects are the newest up to here, by the publisher's clock
};

// Where a publisher's objects come from: the control state at an invalidation server, the upstream
// subscription at a relay point. Event loop thread only.
class PublisherSource {
 public:
  virtual ~PublisherSource() = default;
  // By the clock at this moment; called again before everything that is sent.
  virtual PublisherProof CurrentProof(const std::string& channel) = 0;
  // Objects that the channel covers now, with their newest versions, sorted by name.
  virtual std::vector<RegisteredObject> Objects(const std::string& channel) const = 0;
  // False if the channel does not cover `object`; `version` is then left alone.
  virtual bool Find(const std::string& channel, const std::string& object,
                    ObjectVersion* version) const = 0;
};

}  // namespace posthatch::invalidation
