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
  bool relay = false;     // whether this process runs a relay point
  bool targeted = false;  // whether only objects given to Include() are requested
};

// Counters since the subscription was created.
struct SubscriptionStats {
  uint64_t requests_sent = 0;
  uint64_t responses = 0;
  uint64_t refusals = 0;
  uint64_t redirections = 0;
  uint64_t messages = 0;
  uint64_t ignored = 0;  // messages that were duplicate, not requested, or for an old registration
  uint64_t gaps = 0;
  uint64_t epoch_changes = 0;
  uint64_t heartbeat_timeouts = 0;  // no message for two heartbeats, or the lifetime ended
};

// One subscriber's registration on one channel (WCIP 5.2, 5.3), which decides whether the channel's
// objects are fresh. Trust depends only on this process's monotonic clock and the times stated by
// the server: an object may be used until t1 + (t3 - t2) + X, where t1 is the sending time of the
// request, t2 the server's time of the response, t3 the server's time up to which its last message
// proves the objects, and X the freshness guarantee. Owned by InvalidationSubscriber; event loop
// thread only.
//
// States: requesting (an attempt is in flight, or the retry timer runs), registered, and both while
// a registration is renewed. A sequence gap, another server epoch, missed heartbeats or the end of
// the lifetime drop the registration, and a new one is requested.
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

  // Changes the requested objects, by an increment if registered; for targeted service only.
  void Include(const std::string& object);
  void Exclude(const std::string& object);

  bool IsFresh(const std::string& object, const ObjectVersion& version) const;
  bool CurrentVersion(const std::string& object, ObjectVersion* version) const;

  // Whether the channel is registered, its lifetime has not ended, and a message was received
  // within the last two heartbeats. Evaluated against the current clock.
  bool IsLive() const;
  // Time, by this process's clock, up to which the channel's objects are proved to be the newest.
  runtime::MonotonicTime proven_until() const;
  // Covered objects, sorted by name.
  std::vector<RegisteredObject> Objects() const { return objects_.Covered(); }
  // Names of all objects that messages have named, covered or not, sorted.
  std::vector<std::string> KnownObjectNames() const { return objects_.KnownNames(); }
  // Returns false if the object is not covered.
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
    runtime::MonotonicTime proven_until;
    runtime::MonotonicTime last_received_at;
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
  // Converts server time `server_ns` to this process's clock. The result is never later than the
  // true time, nor than now.
  runtime::MonotonicTime ToLocalTime(const ActiveRegistration& registration,
                                     int64_t server_ns) const;
  // Time at which the registration expires, or counts as lost if no further message arrives.
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
  std::optional<ActiveRegistration> registration_;
  SubscribedObjects objects_;
  // Targeted service: the requested objects, and the changes of the increment in flight.
  absl::btree_set<std::string> targets_;
  absl::btree_set<std::string> increment_include_;
  absl::btree_set<std::string> increment_exclude_;
  uint64_t last_increment_number_ = 0;
  runtime::Timer response_timer_;
  runtime::Timer renewal_timer_;
  runtime::Timer heartbeat_timeout_timer_;
  runtime::Timer increment_timer_;
  SubscriptionStats stats_;
};

}  // namespace posthatch::invalidation
