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
  // Invalidations within this period are sent as one message (WCIP 5.3.1).
  runtime::Duration batch_period = std::chrono::milliseconds(20);
  // Maximum average rate of invalidation messages: with many registrations, invalidations are
  // batched for longer.
  double messages_per_second = 4000;
  // Above this many registrations on a channel, subscribers are redirected to a relay point of
  // their zone, if there is one (WCIP 5.2.4).
  size_t max_direct_registrations = 64;
  // Above this many registrations in total, no further ones are stored: lifetime 0 is granted
  // (volume validation, WCIP 5 step 5).
  size_t max_registrations = 100000;
};

// Counters since the publisher was created.
struct PublisherStats {
  uint64_t registrations_granted = 0;
  uint64_t registrations_refused = 0;
  uint64_t redirected = 0;
  uint64_t volume_validations = 0;
  uint64_t heartbeats_sent = 0;
  uint64_t invalidation_messages_sent = 0;
  uint64_t objects_sent = 0;
  uint64_t expired = 0;  // registrations removed: expired, or granted in another epoch
};

// The serving side of WCIP 5.2 and 5.3: registrations, responses, batched invalidations,
// heartbeats. Owned by InvalidationServer or InvalidationRelay; event loop thread only.
//
// Invariant: a message never proves a time for which an earlier invalidation is still unsent.
// Pending invalidations of a channel are sent before any heartbeat or response on it (WCIP 3.2).
class InvalidationPublisher {
 public:
  // `runtime` and `source` must outlive this object.
  InvalidationPublisher(runtime::Runtime* runtime, PublisherOptions options,
                        PublisherSource* source);
  InvalidationPublisher(const InvalidationPublisher&) = delete;
  InvalidationPublisher& operator=(const InvalidationPublisher&) = delete;

  // Handles a registration request or an acknowledgement.
  void HandleEnvelope(const runtime::Envelope& envelope, const ChannelEnvelope& content);

  // Called when the newest version of `object` has increased, or `object` has become covered.
  void OnObjectChanged(const std::string& object);
  // Announces immediately that `channel` no longer covers `objects`. Instead of the source's
  // current proof the messages carry `proven_until`, up to which `channel` was proved while it
  // covered them.
  void ExcludeObjects(const std::string& channel, const std::vector<std::string>& objects,
                      runtime::MonotonicTime proven_until);
  // Sends pending invalidations, then a heartbeat to every registration of `channel`.
  void Renew(const std::string& channel);

  size_t registration_count() const { return registrations_.size(); }
  const PublisherStats& stats() const { return stats_; }

 private:
  void HandleRequest(const runtime::Envelope& envelope, const RegistrationRequest& request);
  void HandleIncrement(const runtime::Envelope& envelope, const RegistrationRequest& request,
                       const PublisherProof& proof);
  // Returns the endpoint of a relay point to which the subscriber is redirected, or empty.
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

  // Batch period of invalidations for the current number of registrations.
  runtime::Duration BatchPeriod() const;
  // Sends pending invalidations. Those of a channel that is not live stay pending; those of a
  // channel without registrations are dropped.
  void Flush();
  void FlushChannel(const std::string& channel, const PublisherProof& proof,
                    const std::vector<std::string>& objects);
  void SendHeartbeat(Registration* registration, const PublisherProof& proof);
  void SendMessage(Registration* registration, runtime::MonotonicTime proven_until,
                   std::vector<ObjectState> objects);
  void SendEnvelope(const std::string& endpoint, const ChannelEnvelope& envelope);

  void ScheduleHeartbeatTimer();
  void SendHeartbeatsAndRemoveExpired();

  runtime::Runtime* const runtime_;
  const PublisherOptions options_;
  PublisherSource* const source_;
  RegistrationTable registrations_;
  // Changed objects that have not been sent yet, keyed by channel.
  absl::btree_map<std::string, absl::btree_set<std::string>> pending_objects_;
  runtime::Timer batch_timer_;
  runtime::Timer heartbeat_timer_;
  PublisherStats stats_;
};

}  // namespace posthatch::invalidation
