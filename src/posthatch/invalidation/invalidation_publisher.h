#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/invalidation/publisher_source.h"
#include "posthatch/invalidation/registration_table.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::invalidation {

struct PublisherOptions {
  runtime::Duration heartbeat = std::chrono::seconds(1);
  runtime::Duration max_lifetime = std::chrono::minutes(5);
  // Invalidations that come within this time go out as one message (WCIP 5.3.1).
  runtime::Duration batch_period = std::chrono::milliseconds(20);
  // Maximum average rate of invalidation messages: with many registrations, invalidations are
  // batched for longer.
  double messages_per_second = 4000;
  // Above this many registrations on a channel, subscribers are redirected to a relay point of
  // their zone, if there is one (WCIP 5.2.4).
  size_t max_direct_registrations = 64;
  // Above this many registrations in all, no state is kept: lifetime 0 is granted (volume
  // validation, WCIP 5 step 5).
  size_t max_registrations = 100000;
};

// Counted since the publisher was created.
struct PublisherStats {
  uint64_t registrations_granted = 0;
  uint64_t registrations_refused = 0;
  uint64_t redirected = 0;
  uint64_t volume_validations = 0;
  uint64_t heartbeats_sent = 0;
  uint64_t invalidation_messages_sent = 0;
  uint64_t objects_sent = 0;
  uint64_t expired = 0;
};

// The serving side of WCIP 5.2 and 5.3: registrations, responses, batched invalidations,
// heartbeats. Owned by InvalidationServer or InvalidationRelay; event loop thread only.
//
// Invariant: a message never proves more than was sent before it. Pending invalidations of a
// channel go out before any heartbeat or response on it (WCIP 3.2).
class InvalidationPublisher {
 public:
  // The pointers must outlive this object.
  InvalidationPublisher(runtime::Runtime* runtime, PublisherOptions options,
                        PublisherSource* source);
  InvalidationPublisher(const InvalidationPublisher&) = delete;
  InvalidationPublisher& operator=(const InvalidationPublisher&) = delete;

  // A registration request or an acknowledgement has come.
  void HandleEnvelope(const runtime::Envelope& envelope, const ChannelEnvelope& content);

  // The newest version of `object` has risen, or it has become covered.
  void ObjectChanged(const std::string& object);
  // These objects are no longer covered: sent at once, with the proof of the last message.
  void ExcludeObjects(const std::string& channel, const std::vector<std::string>& objects,
                      runtime::MonotonicTime proven);
  // Sends pending invalidations, then a heartbeat to every registration of `channel`.
  void Renew(const std::string& channel);

  size_t registration_count() const { return registrations_.size(); }
  const PublisherStats& stats() const { return stats_; }

 private:
  void HandleRequest(const runtime::Envelope& envelope, const RegistrationRequest& request);
  void HandleIncrement(const runtime::Envelope& envelope, const RegistrationRequest& request,
                       const PublisherProof& proof);
  // Endpoint of a relay point that should serve this subscriber instead, or empty.
  std::string ChooseRelay(const RegistrationRequest& request, const std::string& endpoint) const;
  void Grant(const runtime::Envelope& envelope, const RegistrationRequest& request,
             const PublisherProof& proof);
  void SendGrant(const std::string& endpoint, const RegistrationRequest& request,
                 const PublisherProof& proof, runtime::Duration lifetime,
                 runtime::Duration heartbeat);
  void AddRegistration(const runtime::Envelope& envelope, const RegistrationRequest& request,
                       const PublisherProof& proof, runtime::Duration lifetime,
                       runtime::Duration heartbeat);
  void RespondWithoutObjects(const runtime::Envelope& envelope, const RegistrationRequest& request,
                             RegistrationResponse::Status status, const std::string& redirect_to);

  // How long invalidations are batched with the registrations of this moment.
  runtime::Duration BatchPeriod() const;
  // Sends pending invalidations; those of a channel that is not live stay pending.
  void Flush();
  void FlushChannel(const std::string& channel, const PublisherProof& proof,
                    const std::vector<std::string>& objects);
  void SendHeartbeat(Registration* registration, const PublisherProof& proof);
  void SendMessage(Registration* registration, runtime::MonotonicTime proven,
                   std::vector<ObjectState> objects);
  void SendEnvelope(const std::string& endpoint, const ChannelEnvelope& envelope);

  void ScheduleTick();
  void Tick();

  runtime::Runtime* const runtime_;
  const PublisherOptions options_;
  PublisherSource* const source_;
  RegistrationTable registrations_;
  // Changed objects not sent yet, by channel.
  absl::btree_map<std::string, absl::btree_set<std::string>> pending_objects_;
  runtime::Timer batch_timer_;
  runtime::Timer tick_timer_;
  PublisherStats stats_;
};

}  // namespace posthatch::invalidation
