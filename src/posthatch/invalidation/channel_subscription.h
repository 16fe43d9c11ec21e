#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_set.h"
#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/invalidation/server_selector.h"
#include "posthatch/invalidation/subscribed_objects.h"
#include "posthatch/invalidation/subscription_observer.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::invalidation {

struct SubscriptionOptions {
  runtime::Duration lifetime = std::chrono::minutes(2);   // requested; zero: volume validation
  runtime::Duration heartbeat = std::chrono::seconds(1);  // requested
  runtime::Duration response_timeout = std::chrono::milliseconds(400);
  runtime::Duration retry_delay = std::chrono::milliseconds(100);  // after a refusal
  std::string zone;
  bool relay = false;     // this process runs a relay point
  bool targeted = false;  // only objects given to Include(), not the whole channel
};

// Counted since the subscription was created.
struct SubscriptionStats {
  uint64_t requests_sent = 0;
  uint64_t responses = 0;
  uint64_t refusals = 0;
  uint64_t redirections = 0;
  uint64_t messages = 0;
  uint64_t ignored = 0;  // of an old registration, duplicated, or not requested
  uint64_t gaps = 0;
  uint64_t epoch_changes = 0;
  uint64_t heartbeat_timeouts = 0;  // no message for two heartbeats
};

// One subscriber's registration on one channel (WCIP 5.2, 5.3) and its judgement of the channel's
// objects. Trust rests on nothing but this process's monotonic clock and the server's stated times:
// an object may be used until t1 + (t3 - t2) + X. Owned by InvalidationSubscriber; event loop
// thread only.
//
// States: requesting (an attempt is in flight, or the retry timer runs), registered, and both while
// a registration is renewed. Any doubt (a gap, another epoch, missed heartbeats, the end of the
// lifetime) drops the registration and requests a new one.
class ChannelSubscription {
 public:
  using Endpoints = ServerSelector::Endpoints;

  // `observer` and `runtime` must outlive this object.
  ChannelSubscription(runtime::Runtime* runtime, SubscriptionOptions options, std::string channel,
                      Endpoints endpoints, SubscriptionObserver* observer);
  ChannelSubscription(const ChannelSubscription&) = delete;
  ChannelSubscription& operator=(const ChannelSubscription&) = delete;

  void Start();
  void HandleResponse(const runtime::Envelope& envelope, const RegistrationResponse& response);
  void HandleMessage(const runtime::Envelope& envelope, const ChannelMessage& message);

  // Targeted service only: changes the list of objects, by an increment if registered.
  void Include(const std::string& object);
  void Exclude(const std::string& object);

  bool IsFresh(const std::string& object, const ObjectVersion& version) const;
  bool CurrentVersion(const std::string& object, ObjectVersion* version) const;

  // Registered, and a message has come within two heartbeats, by the clock at this moment.
  bool IsLive() const;
  // This process's time up to which the channel's objects are proved to be the newest.
  runtime::MonotonicTime proven() const;
  // Covered objects, sorted by name.
  std::vector<RegisteredObject> Objects() const { return objects_.Covered(); }
  // Every object that any message named, covered or not, sorted.
  std::vector<std::string> KnownObjectNames() const { return objects_.KnownNames(); }
  // False if the object is not covered.
  bool Find(const std::string& object, ObjectVersion* version) const;
  const std::string& server() const;  // empty if not registered
  const SubscriptionStats& stats() const { return stats_; }

 private:
  struct Attempt {
    uint64_t number = 0;
    std::string server;
    runtime::MonotonicTime sent_at;  // t1
  };
  struct ActiveRegistration {
    uint64_t number = 0;
    std::string server;
    uint64_t epoch = 0;
    runtime::MonotonicTime sent_at;  // t1
    int64_t server_ns = 0;           // t2
    uint64_t expected_sequence = 1;
    runtime::Duration heartbeat{};
    bool volume_validation = false;
    runtime::MonotonicTime expires_at;
    runtime::MonotonicTime proven;
    runtime::MonotonicTime last_arrival;
  };

  void Register();
  void SendRequest(const std::string& server);
  void OnResponseTimeout();
  void TryNextServer();
  void OnRefused();
  ActiveRegistration MakeRegistration(const RegistrationResponse& response) const;
  void ApplyResponse(const RegistrationResponse& response);
  void ApplyIncrementResponse(const RegistrationResponse& response);
  void ApplyInvalidation(const ChannelMessage& message);
  void SendAck(const ChannelMessage& message);
  void SendIncrement();
  void SendEnvelope(const std::string& server, const ChannelEnvelope& envelope);
  // This process's time of the server's moment `server_ns` at the latest.
  runtime::MonotonicTime ProvenAt(const ActiveRegistration& registered, int64_t server_ns) const;
  // When the registration ends or counts as lost if no further message comes.
  runtime::MonotonicTime HeartbeatDeadline() const;
  void DropRegistration();
  void CheckHeartbeatTimeout();

  runtime::Runtime* const runtime_;
  const SubscriptionOptions options_;
  const std::string channel_;
  SubscriptionObserver* const observer_;

  uint64_t last_registration_number_;
  ServerSelector server_selector_;
  std::optional<Attempt> attempt_;
  std::optional<ActiveRegistration> registered_;
  SubscribedObjects objects_;
  // Targeted service: the requested objects, and what the increment in flight changes.
  absl::btree_set<std::string> targets_;
  absl::btree_set<std::string> increment_include_;
  absl::btree_set<std::string> increment_exclude_;
  uint64_t increment_ = 0;
  runtime::Timer response_timer_;
  runtime::Timer renewal_timer_;
  runtime::Timer heartbeat_timeout_timer_;
  runtime::Timer increment_timer_;
  SubscriptionStats stats_;
};

}  // namespace posthatch::invalidation
