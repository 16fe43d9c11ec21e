#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::invalidation {

// What a publisher may say about a channel at this moment.
struct PublisherProof {
  bool live = false;              // false: nothing may be sent that renews trust
  uint64_t epoch = 0;             // of the publisher's clock and sequence numbers
  runtime::MonotonicTime proven;  // its objects are the newest up to here, by the publisher's clock
};

// Where a publisher's objects come from: the control state at an invalidation server, the upstream
// subscription at a relay point.
class PublisherSource {
 public:
  virtual ~PublisherSource() = default;
  virtual PublisherProof CurrentProof(const std::string& channel) = 0;
  // Objects that the channel covers now, with their newest versions, sorted by name.
  virtual std::vector<RegisteredObject> Objects(const std::string& channel) const = 0;
  // False if the channel does not cover `object`.
  virtual bool Find(const std::string& channel, const std::string& object,
                    ObjectVersion* version) const = 0;
};

struct PublisherOptions {
  runtime::Duration heartbeat = std::chrono::seconds(1);
  runtime::Duration max_lifetime = std::chrono::minutes(5);
  // Invalidations that come within this time go out as one message (WCIP 5.3.1).
  runtime::Duration batch_period = std::chrono::milliseconds(20);
  // Invalidation messages sent on average at the most: with many registrations, invalidations are
  // batched for longer.
  double messages_per_second = 4000;
  // Above this many registrations on a channel, subscribers are sent to a relay point of their
  // zone, if there is one (WCIP 5.2.4).
  size_t max_direct_registrations = 64;
  // Above this many registrations in all, no state is kept: lifetime 0 is granted (volume
  // validation, WCIP 5 step 5).
  size_t max_registrations = 100000;
};

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

// The serving side of WCIP 5.2 and 5.3: registrations, answers, batched invalidations, heartbeats.
// Owned by InvalidationServer or InvalidationRelay; event loop thread only.
class InvalidationPublisher {
 public:
  InvalidationPublisher(runtime::Runtime* runtime, PublisherOptions options,
                        PublisherSource* source);
  InvalidationPublisher(const InvalidationPublisher&) = delete;
  InvalidationPublisher& operator=(const InvalidationPublisher&) = delete;

  // A registration request or an acknowledgement has come.
  void HandleEnvelope(const runtime::Envelope& envelope, const ChannelEnvelope& content);

  // The newest version of `object` has risen, or it has become covered.
  void ObjectChanged(const std::string& object);
  // These objects are no longer covered: said at once, with the proof of the last message.
  void ExcludeObjects(const std::string& channel, const std::vector<std::string>& objects,
                      runtime::MonotonicTime proven);
  // Sends what waits, then a heartbeat to every registration of `channel`.
  void Renew(const std::string& channel);

  size_t registration_count() const { return registrations_.size(); }
  const PublisherStats& stats() const { return stats_; }

 private:
  struct Registration {
    std::string endpoint;
    std::string channel;
    std::string zone;
    uint64_t incarnation = 0;
    uint64_t number = 0;
    uint64_t epoch = 0;
    uint64_t next_sequence = 1;
    bool all_objects = false;
    bool relay = false;
    absl::flat_hash_set<std::string>
        listed_objects;  // included ones, or excluded ones if all_objects
    runtime::Duration heartbeat{};
    runtime::MonotonicTime expires_at;
    runtime::MonotonicTime next_heartbeat_at;  // of its next heartbeat
    bool Covers(const std::string& object) const {
      return all_objects != listed_objects.contains(object);
    }
  };
  using Key = std::pair<std::string, std::string>;  // channel, endpoint

  void HandleRequest(const runtime::Envelope& envelope, const RegistrationRequest& request);
  void HandleIncrement(const runtime::Envelope& envelope, const RegistrationRequest& request,
                       const PublisherProof& proof);
  // Endpoint of a relay point that should serve this subscriber instead, or empty.
  std::string ChooseRelay(const RegistrationRequest& request, const std::string& endpoint) const;
  void Grant(const runtime::Envelope& envelope, const RegistrationRequest& request,
             const PublisherProof& proof);
  void FillObjects(const RegistrationRequest& request, RegistrationResponse* response) const;
  void RespondWithoutObjects(const runtime::Envelope& envelope, const RegistrationRequest& request,
                             RegistrationResponse::Status status, const std::string& redirect_to);

  // How long invalidations are batched with the registrations of this moment.
  runtime::Duration BatchPeriod() const;
  // Sends waiting invalidations; those of a channel that is not live go on waiting.
  void Flush();
  void FlushChannel(const std::string& channel, const PublisherProof& proof,
                    const std::vector<std::string>& objects);
  void SendHeartbeat(Registration* registration, const PublisherProof& proof);
  void SendMessage(Registration* registration, runtime::MonotonicTime proven,
                   std::vector<ObjectState> objects);
  ObjectState StateOf(const std::string& channel, const std::string& object) const;
  void SendEnvelope(const std::string& endpoint, const ChannelEnvelope& envelope);

  void ScheduleHeartbeat(Registration* registration, runtime::MonotonicTime next_heartbeat_at);
  void Erase(const Key& key);
  void StartTicking();
  void Tick();

  runtime::Runtime* const runtime_;
  const PublisherOptions options_;
  PublisherSource* const source_;
  // Ordered, so that equal seeds send in equal order; channel first, so that a channel's
  // registrations are adjacent.
  absl::btree_map<Key, std::unique_ptr<Registration>> registrations_;
  absl::btree_set<std::pair<runtime::MonotonicTime, Key>> heartbeat_schedule_;
  // Changed objects not sent yet, by channel.
  absl::btree_map<std::string, absl::btree_set<std::string>> pending_objects_;
  absl::flat_hash_map<std::string, size_t> registrations_by_channel_;
  runtime::Timer batch_timer_;
  runtime::Timer tick_timer_;
  PublisherStats stats_;
};

}  // namespace posthatch::invalidation
