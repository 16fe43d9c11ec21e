#include "posthatch/invalidation/invalidation_server.h"

#include <gtest/gtest.h>

#include <map>

#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/fake_runtime-test.h"

namespace posthatch::invalidation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeObjects : public ObjectSource {
 public:
  std::vector<RegisteredObject> Objects() const override {
    std::vector<RegisteredObject> all;
    for (const auto& [name, version] : versions) {
      all.emplace_back().set_object(name);
      *all.back().mutable_version() = version;
    }
    return all;
  }
  bool Find(const std::string& object, ObjectVersion* version) const override {
    const auto found = versions.find(object);
    if (found == versions.end()) return false;
    *version = found->second;
    return true;
  }
  void AddListener(Listener listener) override { listeners.push_back(std::move(listener)); }
  void RaiseVersion(const std::string& object) {
    ObjectVersion& version = versions[object];
    version.set_epoch(version.epoch() + 1);
    for (const Listener& listener : listeners) listener(object, version);
  }
  std::map<std::string, ObjectVersion> versions;
  std::vector<Listener> listeners;
};

class InvalidationServerTest : public testing::Test {
 protected:
  InvalidationServerTest() {
    for (const char* object : {"model/a", "model/b", "tenant/t"}) objects_.RaiseVersion(object);
    options_.publisher.max_direct_registrations = 3;
    server_ = std::make_unique<InvalidationServer>(&fake_.runtime, options_, &objects_, [this] {
      return ServingState{serving_ && fake_.clock.now < lease_end_, epoch_};
    });
  }
  RegistrationRequest MakeRequest(uint64_t number) {
    RegistrationRequest request;
    request.set_channel("models");
    request.set_registration(number);
    request.set_lifetime_ms(10000);
    request.set_heartbeat_ms(5000);
    request.set_base(RegistrationRequest::INCLUDE_ALL);
    request.set_zone("z1");
    request.set_sent_ns(42);
    return request;
  }
  // Delivers a request and returns all messages sent to `from`, among them the response.
  std::vector<ChannelEnvelope> SendRequest(const RegistrationRequest& request,
                                           const std::string& from = "sub:1") {
    ChannelEnvelope envelope;
    *envelope.mutable_request() = request;
    fake_.Deliver(from, envelope);
    return fake_.TakeSent(from);
  }
  std::vector<ChannelEnvelope> AdvanceAndTakeSent(runtime::Duration duration,
                                                  const std::string& to = "sub:1") {
    fake_.timers.Advance(duration);
    return fake_.TakeSent(to);
  }

  FakeRuntime fake_;
  FakeObjects objects_;
  InvalidationServerOptions options_;
  bool serving_ = true;
  uint64_t epoch_ = 5;
  runtime::MonotonicTime lease_end_ = runtime::MonotonicTime::max();
  std::unique_ptr<InvalidationServer> server_;
};

TEST_F(InvalidationServerTest, ResponseStatesLifetimeHeartbeatAndFreshness) {
  RegistrationRequest request = MakeRequest(1);
  request.set_lifetime_ms(3'600'000);
  const auto include = [&request](const char* object, uint64_t epoch) {
    RegisteredObject* included = request.add_include();
    included->set_object(object);
    *included->mutable_version() = MakeVersion(epoch, 0);
  };
  include("model/a", 1);
  include("tenant/t", 1);  // object of another channel
  const RegistrationResponse response = SendRequest(request)[0].response();
  EXPECT_EQ(response.status(), RegistrationResponse::OK);
  EXPECT_EQ(response.request_sent_ns(), 42);
  EXPECT_EQ(response.server_epoch(), 5u);
  EXPECT_LE(response.lifetime_ms(), request.lifetime_ms());
  EXPECT_LT(milliseconds(response.heartbeat_ms()), LowestGuarantee("models"));
  ASSERT_EQ(response.objects_size(), 3);
  EXPECT_EQ(response.objects(0).freshness(), FRESH);
  EXPECT_EQ(response.objects(1).freshness(), UNKNOWN);
  EXPECT_EQ(response.objects(1).version().epoch(), 1u)
      << "UNKNOWN states also carry the newest version";
  EXPECT_EQ(response.objects(2).freshness(), EXCLUDED);
}

TEST_F(InvalidationServerTest, TargetedSubscribersReceiveOnlyRequestedObjects) {
  RegistrationRequest request = MakeRequest(1);
  request.set_base(RegistrationRequest::EXCLUDE_ALL);
  request.add_include()->set_object("model/b");
  EXPECT_EQ(SendRequest(request)[0].response().objects(0).freshness(), STALE);
  objects_.RaiseVersion("model/a");
  EXPECT_TRUE(AdvanceAndTakeSent(milliseconds(30)).empty());
  RegistrationRequest increment = MakeRequest(1);
  increment.set_base(RegistrationRequest::INCREMENT);
  increment.set_increment(1);
  increment.add_include()->set_object("model/a");
  increment.add_exclude("model/b");
  const RegistrationResponse response = SendRequest(increment)[0].response();
  EXPECT_EQ(response.increment(), 1u);
  EXPECT_EQ(response.objects(0).version().epoch(), 2u);
  objects_.RaiseVersion("model/a");
  objects_.RaiseVersion("model/b");
  const auto messages = AdvanceAndTakeSent(milliseconds(30));
  ASSERT_EQ(messages.size(), 1u);
  ASSERT_EQ(messages[0].message().objects_size(), 1);
  EXPECT_EQ(messages[0].message().objects(0).object(), "model/a");
  increment.set_registration(99);
  EXPECT_EQ(SendRequest(increment)[0].response().status(), RegistrationResponse::REFUSED);
}

TEST_F(InvalidationServerTest, InvalidationsAreBatchedAndNumbered) {
  SendRequest(MakeRequest(1));
  objects_.RaiseVersion("model/a");
  objects_.RaiseVersion("model/b");
  objects_.RaiseVersion("tenant/t");
  EXPECT_TRUE(AdvanceAndTakeSent(milliseconds(19)).empty());
  const auto messages = AdvanceAndTakeSent(milliseconds(2));
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].message().objects_size(), 2);
  EXPECT_EQ(messages[0].message().sequence(), 1u);
  EXPECT_EQ(messages[0].message().server_epoch(), 5u);
  EXPECT_LE(messages[0].message().remaining_lifetime_ms(), 9980u);
  const auto heartbeats = AdvanceAndTakeSent(milliseconds(1400));
  ASSERT_EQ(heartbeats.size(), 1u);
  EXPECT_EQ(heartbeats[0].message().sequence(), 2u) << "the next invalidation's number";
  EXPECT_EQ(heartbeats[0].message().server_ns() - messages[0].message().server_ns(), 1'000'000'000)
      << "each proves its own sending time";
}

TEST_F(InvalidationServerTest, HeartbeatNeverOvertakesPendingInvalidation) {
  SendRequest(MakeRequest(1));
  const uint32_t heartbeat_ms = 1000;
  fake_.timers.Advance(milliseconds(heartbeat_ms - 5));
  fake_.TakeSent();
  objects_.RaiseVersion("model/a");  // the batch period ends 15 ms after the heartbeat is due
  const auto messages = AdvanceAndTakeSent(milliseconds(10));
  ASSERT_GE(messages.size(), 1u);
  EXPECT_EQ(messages[0].message().objects_size(), 1);
}

TEST_F(InvalidationServerTest, RegistrationNeverOvertakesPendingInvalidation) {
  SendRequest(MakeRequest(1));
  objects_.RaiseVersion("model/a");
  ChannelEnvelope envelope;
  *envelope.mutable_request() = MakeRequest(1);
  fake_.Deliver("sub:2", envelope);
  const auto sent = fake_.TakeSent();
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_TRUE(sent[0].has_message());
  EXPECT_EQ(sent[1].response().objects(0).version().epoch(), 2u);
}

TEST_F(InvalidationServerTest, SendsNothingAfterLeaseExpiry) {
  SendRequest(MakeRequest(1));
  lease_end_ = fake_.clock.now + milliseconds(500);
  fake_.timers.Freeze(seconds(3));  // the process is frozen, then thawed
  objects_.RaiseVersion("model/a");
  EXPECT_TRUE(AdvanceAndTakeSent(seconds(3)).empty());
  EXPECT_EQ(SendRequest(MakeRequest(2), "sub:2")[0].response().status(),
            RegistrationResponse::REFUSED);
}

TEST_F(InvalidationServerTest, KeepsInvalidationsWhileNotServingAndSendsThemFirst) {
  SendRequest(MakeRequest(1));
  serving_ = false;
  objects_.RaiseVersion("model/a");
  EXPECT_TRUE(AdvanceAndTakeSent(milliseconds(1500)).empty());
  serving_ = true;
  const auto messages = AdvanceAndTakeSent(milliseconds(1500));
  ASSERT_GE(messages.size(), 1u);
  EXPECT_EQ(messages[0].message().objects_size(), 1);
}

TEST_F(InvalidationServerTest, EarlierEpochRegistrationsReceiveNothing) {
  SendRequest(MakeRequest(1));
  epoch_ = 6;
  objects_.RaiseVersion("model/a");
  EXPECT_TRUE(AdvanceAndTakeSent(seconds(2)).empty());
  EXPECT_EQ(server_->registration_count(), 0u);
}

TEST_F(InvalidationServerTest, DeadSubscriberExpiresWithItsLifetime) {
  RegistrationRequest request = MakeRequest(1);
  request.set_lifetime_ms(3000);
  SendRequest(request);
  EXPECT_EQ(server_->registration_count(), 1u);
  fake_.timers.Advance(seconds(5));
  EXPECT_EQ(server_->registration_count(), 0u);
  fake_.TakeSent();
  EXPECT_TRUE(AdvanceAndTakeSent(seconds(5)).empty());
}

TEST_F(InvalidationServerTest, DuplicateAndOvertakenRequestsAreIgnored) {
  SendRequest(MakeRequest(2));
  objects_.RaiseVersion("model/a");
  EXPECT_EQ(AdvanceAndTakeSent(milliseconds(30)).size(), 1u);
  EXPECT_TRUE(SendRequest(MakeRequest(2)).empty()) << "the sequence must not restart";
  EXPECT_TRUE(SendRequest(MakeRequest(1)).empty());
  objects_.RaiseVersion("model/a");
  const auto messages = AdvanceAndTakeSent(milliseconds(30));
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].message().sequence(), 2u);
}

TEST_F(InvalidationServerTest, ZeroLifetimeKeepsNoState) {
  RegistrationRequest request = MakeRequest(1);
  request.set_lifetime_ms(0);
  const RegistrationResponse response = SendRequest(request)[0].response();
  EXPECT_EQ(response.status(), RegistrationResponse::OK);
  EXPECT_EQ(response.lifetime_ms(), 0u);
  EXPECT_EQ(server_->registration_count(), 0u);
}

TEST_F(InvalidationServerTest, RedirectsSubscribersBeyondLimitToRelayInTheirZone) {
  RegistrationRequest relay = MakeRequest(1);
  relay.set_relay(true);
  SendRequest(relay, "relay:1");
  SendRequest(MakeRequest(1), "sub:2");
  SendRequest(MakeRequest(1), "sub:3");
  const RegistrationResponse redirected = SendRequest(MakeRequest(1), "sub:4")[0].response();
  EXPECT_EQ(redirected.status(), RegistrationResponse::REDIRECT);
  EXPECT_EQ(redirected.redirect_to(), "relay:1");
  RegistrationRequest elsewhere = MakeRequest(1);
  elsewhere.set_zone("z2");
  EXPECT_EQ(SendRequest(elsewhere, "sub:5")[0].response().status(), RegistrationResponse::OK);
  RegistrationRequest avoiding = MakeRequest(2);
  avoiding.add_avoid("relay:1");
  EXPECT_EQ(SendRequest(avoiding, "sub:4")[0].response().status(), RegistrationResponse::OK);
  relay.set_registration(2);
  EXPECT_EQ(SendRequest(relay, "relay:1")[0].response().status(), RegistrationResponse::OK);
}

}  // namespace
}  // namespace posthatch::invalidation
