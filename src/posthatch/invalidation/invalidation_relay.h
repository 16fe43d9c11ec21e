#pragma once

#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "posthatch/invalidation/invalidation_subscriber.h"
#include "posthatch/invalidation/publishing_source.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::invalidation {

// A channel relay point (WCIP 4.1): fans the channels of this process's InvalidationSubscriber out
// to further subscribers, channel by channel or aggregated into one.
//
// Its messages prove its objects up to P, the time by its own clock up to which its upstream has
// proved them, never up to now (docs/WCIP.md, "Relays"). So a relay point that was suspended, or
// whose upstream became unresponsive, can't extend any subscriber's trust.
//
// Owned by index::IndexNode; `upstream` must outlive this object. Event loop thread only.
class InvalidationRelay : public PublishingSource, private InvalidationSubscriber::Listener {
 public:
  InvalidationRelay(runtime::Runtime* runtime, PublisherOptions options,
                    InvalidationSubscriber* upstream);
  ~InvalidationRelay() override;

 private:
  PublisherProof CurrentProof(const std::string& channel) override;
  std::vector<RegisteredObject> Objects(const std::string& channel) const override;
  bool Find(const std::string& channel, const std::string& object,
            ObjectVersion* version) const override;

  void OnObjectsChanged(const std::string& channel,
                        const std::vector<std::string>& objects) override;
  void OnSynchronized(const std::string& channel) override;
  void OnRenewed(const std::string& channel) override;
  void OnLost(const std::string& channel) override;

  // Time up to which all channels that are relayed now have been proved.
  runtime::MonotonicTime AggregateProvenUntil() const;
  // Object names of a channel, as last announced downstream.
  std::vector<std::string> ObjectNames(const std::string& channel) const;

  InvalidationSubscriber* const upstream_;
  // Time up to which each relayed channel is proved, keyed by upstream channel. A lost channel is
  // removed only together with the exclusion of its objects downstream.
  absl::btree_map<std::string, runtime::MonotonicTime> relayed_;
};

}  // namespace posthatch::invalidation
