#include "posthatch/invalidation/channel_subscription.h"

#include <gtest/gtest.h>

#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/fake_runtime-test.h"
#include "posthatch/invalidation/invalidation_subscriber.h"

namespace posthatch::invalidation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kServer[] = "10.0.0.9:7000";
constexpr char kModel[] = "model/m";
// The server's clock has another origin than the subscriber's.
constexpr int64_t kServerClockOriginNs = 77'000'000'000;
constexpr uint64_t kServerEpoch = 3;

// The test acts as the server of the channel "models".
class ChannelSubscriptionTest : public testing::Test {
 protected:
  ChannelSubscriptionTest() { subscriber_.Start(); }

  // The newest registration request for "models" since the last call.
  RegistrationRequest TakeRequest() {
    RegistrationRequest newest;
    for (const ChannelEnvelope& sent : fake_.TakeSent()) {
      if (sent.request().channel() == "models") newest = sent.request();
    }
    return newest;
  }
  int64_t ServerNow() const {
    return kServerClockOriginNs + runtime::ToNanoseconds(fake_.clock.now) - 1'000'000'000'000;
  }
  ChannelEnvelope MakeResponse(const RegistrationRequest& request, uint32_t lifetime_ms = 60000) {
    ChannelEnvelope reply;
    RegistrationResponse* response = reply.mutable_response();
    response->set_channel("models");
    response->set_registration(request.registration());
    response->set_status(RegistrationResponse::OK);
    response->set_server_epoch(kServerEpoch);
    response->set_server_ns(ServerNow());
    response->set_proven_ns(ServerNow());
    response->set_lifetime_ms(lifetime_ms);
    response->set_heartbeat_ms(1000);
    response->set_next_sequence(1);
    *response->add_objects() = MakeState(1, UNKNOWN);
    return reply;
  }
  static ObjectState MakeState(uint64_t epoch, Freshness freshness) {
    ObjectState state;
    state.set_object(kModel);
    *state.mutable_version() = MakeVersion(epoch, 0);
    state.set_freshness(freshness);
    state.set_guarantee_ms(4000);
    return state;
  }
  ChannelEnvelope MakeMessage(uint64_t registration, uint64_t sequence) {
    ChannelEnvelope envelope;
    ChannelMessage* message = envelope.mutable_message();
    message->set_channel("models");
    message->set_registration(registration);
    message->set_server_epoch(kServerEpoch);
    message->set_sequence(sequence);
    message->set_server_ns(ServerNow());
    message->set_remaining_lifetime_ms(60000);
    return envelope;
  }
  // Registers and returns the registration's number.
  uint64_t Register(uint32_t lifetime_ms = 60000) {
    const RegistrationRequest request = TakeRequest();
    fake_.Deliver(kServer, MakeResponse(request, lifetime_ms));
    return request.registration();
  }
  bool IsModelFresh(uint64_t epoch) const {
    return subscriber_.IsFresh(kModel, MakeVersion(epoch, 0));
  }
  const ChannelSubscription& subscription() const { return *subscriber_.Find("models"); }

  FakeRuntime fake_;
  InvalidationSubscriber subscriber_{
      &fake_.runtime, {}, [] { return std::vector<std::string>{kServer}; }};
};

TEST_F(ChannelSubscriptionTest, TrustsNothingBeforeResponse) {
  EXPECT_FALSE(IsModelFresh(1));
  ObjectVersion version;
  EXPECT_FALSE(subscriber_.CurrentVersion(kModel, &version));
  Register();
  EXPECT_TRUE(IsModelFresh(1));
  EXPECT_FALSE(IsModelFresh(2));
  EXPECT_FALSE(subscriber_.IsFresh("model/other", MakeVersion(0, 0)));
}

TEST_F(ChannelSubscriptionTest, TrustBoundCountsFromSendingOfRequest) {
  const RegistrationRequest request = TakeRequest();
  const ChannelEnvelope reply = MakeResponse(request);  // t2 = t1 in real time
  fake_.timers.Freeze(milliseconds(300));               // the response takes 300 ms
  fake_.Deliver(kServer, reply);
  fake_.timers.Freeze(milliseconds(1650));
  ChannelEnvelope heartbeat = MakeMessage(request.registration(), 1);
  fake_.Deliver(kServer, heartbeat);  // t3 = t1 + 1950 ms; bound t1 + 5950 ms
  fake_.timers.Freeze(milliseconds(1900));
  fake_.Deliver(kServer, MakeMessage(request.registration() - 1, 1));  // for another registration
  EXPECT_TRUE(IsModelFresh(1));
  heartbeat.mutable_message()->set_sequence(1);
  fake_.Deliver(kServer, heartbeat);  // the same t3 again: stays live, proves nothing newer
  fake_.timers.Freeze(milliseconds(1900));
  fake_.Deliver(kServer, heartbeat);
  EXPECT_TRUE(IsModelFresh(1)) << "5750 ms after t1";
  fake_.timers.Freeze(milliseconds(210));
  EXPECT_FALSE(IsModelFresh(1)) << "5960 ms after t1, though a message has just arrived";
}

TEST_F(ChannelSubscriptionTest, ResponsesAndMessagesDelayedByFreezeRenewNothing) {
  const RegistrationRequest request = TakeRequest();
  const ChannelEnvelope reply = MakeResponse(request);
  const ChannelEnvelope heartbeat = MakeMessage(request.registration(), 1);
  fake_.timers.Freeze(seconds(25));
  fake_.Deliver(kServer, reply);
  EXPECT_FALSE(IsModelFresh(1));
  fake_.Deliver(kServer, heartbeat);
  EXPECT_FALSE(IsModelFresh(1));
  EXPECT_TRUE(subscription().IsLive()) << "registration kept: the next heartbeat renews trust";
  fake_.Deliver(kServer, MakeMessage(request.registration(), 1));
  EXPECT_TRUE(IsModelFresh(1));
}

TEST_F(ChannelSubscriptionTest, InvalidationReplacesVersionImmediately) {
  const uint64_t number = Register();
  ChannelEnvelope message = MakeMessage(number, 1);
  *message.mutable_message()->add_objects() = MakeState(2, STALE);
  fake_.Deliver(kServer, message);
  EXPECT_FALSE(IsModelFresh(1));
  EXPECT_TRUE(IsModelFresh(2));
  fake_.Deliver(kServer, message);  // duplicate
  EXPECT_EQ(subscription().stats().ignored, 1u);
  EXPECT_TRUE(IsModelFresh(2));
  ASSERT_EQ(fake_.TakeSent().back().ack().sequence(), 1u);
}

TEST_F(ChannelSubscriptionTest, GapEndsTrustUntilNextResponse) {
  const uint64_t number = Register();
  fake_.Deliver(kServer, MakeMessage(number, 2));  // a heartbeat after a lost invalidation
  EXPECT_EQ(subscription().stats().gaps, 1u);
  EXPECT_FALSE(IsModelFresh(1));
  const RegistrationRequest again = TakeRequest();
  EXPECT_GT(again.registration(), number);
  fake_.Deliver(kServer, MakeMessage(number, 1));  // delayed message of the old registration
  EXPECT_FALSE(IsModelFresh(1));
  fake_.Deliver(kServer, MakeResponse(again));
  EXPECT_TRUE(IsModelFresh(1));
}

TEST_F(ChannelSubscriptionTest, DelayedMessagesOfOldRegistrationAreIgnored) {
  const uint64_t old_number = Register();
  const ChannelEnvelope late = MakeMessage(old_number, 1);
  fake_.timers.Advance(milliseconds(1000));
  fake_.Deliver(kServer, MakeMessage(old_number, 5));  // gap
  const uint64_t number = TakeRequest().registration();
  ASSERT_NE(number, old_number);
  RegistrationRequest request;
  request.set_registration(number);
  fake_.Deliver(kServer, MakeResponse(request));
  ChannelEnvelope wrong = late;
  *wrong.mutable_message()->add_objects() = MakeState(9, STALE);
  fake_.Deliver(kServer, wrong);
  EXPECT_TRUE(IsModelFresh(1));
  fake_.Deliver("10.0.0.8:7000", MakeMessage(number, 1));  // another server than the registration's
  EXPECT_EQ(subscription().stats().ignored, 2u);
}

TEST_F(ChannelSubscriptionTest, OtherServerEpochEndsTrust) {
  const uint64_t number = Register();
  ChannelEnvelope message = MakeMessage(number, 1);
  message.mutable_message()->set_server_epoch(kServerEpoch + 1);
  fake_.Deliver(kServer, message);
  EXPECT_FALSE(IsModelFresh(1));
  EXPECT_GT(TakeRequest().registration(), number);
}

TEST_F(ChannelSubscriptionTest, TwoMissedHeartbeatsEndTrustEvenWithoutTimer) {
  Register();
  fake_.timers.Freeze(milliseconds(1990));
  EXPECT_TRUE(IsModelFresh(1));
  fake_.timers.Freeze(milliseconds(20));
  EXPECT_FALSE(IsModelFresh(1));
  fake_.timers.Advance(milliseconds(1));
  EXPECT_EQ(subscription().stats().heartbeat_timeouts, 1u);
  EXPECT_NE(TakeRequest().registration(), 0u);
}

TEST_F(ChannelSubscriptionTest, EndOfLifetimeEndsTrust) {
  const uint64_t number = Register(/*lifetime_ms=*/1500);
  fake_.timers.Freeze(milliseconds(1400));
  fake_.Deliver(kServer, MakeMessage(number, 1));
  EXPECT_TRUE(IsModelFresh(1));
  fake_.timers.Freeze(milliseconds(110));
  fake_.Deliver(kServer, MakeMessage(number, 1));
  EXPECT_FALSE(IsModelFresh(1));
}

TEST_F(ChannelSubscriptionTest, RenewsBeforeExpiryWithoutLosingTrust) {
  const uint64_t number = Register(/*lifetime_ms=*/3000);
  for (int i = 0; i < 2; ++i) {
    fake_.timers.Advance(milliseconds(1000));
    fake_.Deliver(kServer, MakeMessage(number, 1));
  }
  const RegistrationRequest renewal = TakeRequest();
  ASSERT_GT(renewal.registration(), number);
  EXPECT_TRUE(IsModelFresh(1));
  fake_.Deliver(kServer, MakeResponse(renewal));
  EXPECT_TRUE(IsModelFresh(1));
  fake_.Deliver(kServer, MakeResponse(renewal));  // duplicate
  EXPECT_EQ(subscription().stats().ignored, 1u);
}

TEST_F(ChannelSubscriptionTest, VersionsNeverDecrease) {
  uint64_t number = Register();
  ChannelEnvelope message = MakeMessage(number, 1);
  *message.mutable_message()->add_objects() = MakeState(5, STALE);
  fake_.Deliver(kServer, message);
  fake_.Deliver(kServer, MakeMessage(number, 9));
  Register();  // the response states only version 1
  EXPECT_FALSE(IsModelFresh(1));
  EXPECT_FALSE(IsModelFresh(5));
}

TEST_F(ChannelSubscriptionTest, ExcludedObjectsAreNotTrusted) {
  const uint64_t number = Register();
  ChannelEnvelope message = MakeMessage(number, 1);
  *message.mutable_message()->add_objects() = MakeState(1, EXCLUDED);
  fake_.Deliver(kServer, message);
  EXPECT_FALSE(IsModelFresh(1));
}

TEST_F(ChannelSubscriptionTest, VolumeValidationTrustsOnlyTheResponse) {
  Register(/*lifetime_ms=*/0);
  EXPECT_TRUE(IsModelFresh(1));
  fake_.timers.Advance(milliseconds(1001));
  const RegistrationRequest again = TakeRequest();
  ASSERT_NE(again.registration(), 0u);
  fake_.Deliver(kServer, MakeResponse(again, 0));
  EXPECT_TRUE(IsModelFresh(1));
}

TEST_F(ChannelSubscriptionTest, RefusalMovesToNextServer) {
  RegistrationRequest request = TakeRequest();
  ChannelEnvelope refusal;
  refusal.mutable_response()->set_channel("models");
  refusal.mutable_response()->set_registration(request.registration());
  refusal.mutable_response()->set_status(RegistrationResponse::REFUSED);
  fake_.Deliver(kServer, refusal);
  fake_.timers.Advance(milliseconds(110));
  EXPECT_GT(TakeRequest().registration(), request.registration());
  EXPECT_FALSE(IsModelFresh(1));
}

TEST_F(ChannelSubscriptionTest, FollowsRedirectionAndAvoidsUnresponsiveRelay) {
  const RegistrationRequest request = TakeRequest();
  ChannelEnvelope redirection;
  redirection.mutable_response()->set_channel("models");
  redirection.mutable_response()->set_registration(request.registration());
  redirection.mutable_response()->set_status(RegistrationResponse::REDIRECT);
  redirection.mutable_response()->set_redirect_to("10.0.0.5:7000");
  fake_.Deliver(kServer, redirection);
  std::string to;
  for (const auto& sent : fake_.transport.sent) to = sent.to;
  EXPECT_EQ(to, "10.0.0.5:7000");
  EXPECT_EQ(TakeRequest().redirected_from(), kServer);
  fake_.timers.Advance(milliseconds(410));  // no response
  const RegistrationRequest again = TakeRequest();
  ASSERT_EQ(again.avoid_size(), 1);
  EXPECT_EQ(again.avoid(0), "10.0.0.5:7000");
}

TEST_F(ChannelSubscriptionTest, WallClockJumpsChangeNothing) {
  Register();
  fake_.clock.wall += 3'600'000'000'000;
  EXPECT_TRUE(IsModelFresh(1));
  fake_.clock.wall -= 9'600'000'000'000;
  EXPECT_TRUE(IsModelFresh(1));
}

}  // namespace
}  // namespace posthatch::invalidation
