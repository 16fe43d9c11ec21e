#include "posthatch/invalidation/invalidation_relay.h"

#include <gtest/gtest.h>

#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/fake_runtime-test.h"

namespace posthatch::invalidation {
namespace {

using std::chrono::milliseconds;

constexpr char kServer[] = "10.0.0.9:7000";
constexpr char kSubscriber[] = "10.0.0.3:7000";

// The test acts as the upstream server and the downstream subscribers. The server shares the
// relay point's clock, so that times proved upstream and downstream can be compared.
class InvalidationRelayTest : public testing::Test {
 protected:
  InvalidationRelayTest() {
    upstream_.Start();
    for (const ChannelEnvelope& sent : fake_.TakeSent()) {
      const std::string& channel = sent.request().channel();
      numbers_[channel] = sent.request().registration();
      if (channel != "models" && channel != "tenants") continue;
      ChannelEnvelope reply;
      RegistrationResponse* response = reply.mutable_response();
      response->set_channel(channel);
      response->set_registration(sent.request().registration());
      response->set_status(RegistrationResponse::OK);
      response->set_server_epoch(1);
      response->set_server_ns(Now());
      response->set_proven_ns(Now());
      response->set_lifetime_ms(60000);
      response->set_heartbeat_ms(1000);
      response->set_next_sequence(1);
      ObjectState* state = response->add_objects();
      state->set_object(channel == "models" ? "model/m" : "tenant/t");
      *state->mutable_version() = MakeVersion(1, 0);
      state->set_freshness(UNKNOWN);
      state->set_guarantee_ms(4000);
      fake_.Deliver(kServer, reply);
    }
    fake_.TakeSent();
  }
  int64_t Now() const { return runtime::ToNanoseconds(fake_.clock.now); }
  void DeliverUpstreamHeartbeat(const std::string& channel) {
    ChannelEnvelope envelope;
    ChannelMessage* message = envelope.mutable_message();
    message->set_channel(channel);
    message->set_registration(numbers_[channel]);
    message->set_server_epoch(1);
    message->set_sequence(1);
    message->set_server_ns(Now());
    fake_.Deliver(kServer, envelope);
  }
  ChannelEnvelope Register(const std::string& channel) {
    ChannelEnvelope request;
    request.mutable_request()->set_channel(channel);
    request.mutable_request()->set_registration(1);
    request.mutable_request()->set_lifetime_ms(60000);
    request.mutable_request()->set_base(RegistrationRequest::INCLUDE_ALL);
    fake_.Deliver(kSubscriber, request);
    return fake_.TakeSent(kSubscriber).back();
  }

  FakeRuntime fake_;
  InvalidationSubscriber upstream_{
      &fake_.runtime, {}, [] { return std::vector<std::string>{kServer}; }};
  InvalidationRelay relay_{&fake_.runtime, {}, &upstream_};
  std::map<std::string, uint64_t> numbers_;
};

TEST_F(InvalidationRelayTest, ResponsesProveOnlyWhatUpstreamHasProved) {
  const int64_t proved = Now();
  fake_.timers.Freeze(milliseconds(700));
  const RegistrationResponse response = Register("models").response();
  EXPECT_EQ(response.status(), RegistrationResponse::OK);
  EXPECT_EQ(response.server_ns(), Now()) << "t2 must not be before the subscriber's t1";
  EXPECT_EQ(response.proven_ns(), proved);
}

TEST_F(InvalidationRelayTest, MessagesProveWhatUpstreamHasProvedImmediately) {
  Register("models");
  fake_.timers.Freeze(milliseconds(800));
  DeliverUpstreamHeartbeat("models");
  const auto renewed = fake_.TakeSent(kSubscriber);
  ASSERT_EQ(renewed.size(), 1u);
  const int64_t proved = renewed[0].message().server_ns();
  EXPECT_LE(proved, Now());
  EXPECT_GE(proved, Now() - 1'000'000) << "reduced at most by the allowance for clock rates";
  fake_.timers.Advance(milliseconds(1100));  // the relay's own heartbeat, none from upstream
  const auto own = fake_.TakeSent(kSubscriber);
  ASSERT_GE(own.size(), 1u);
  EXPECT_EQ(own.back().message().server_ns(), proved);
}

TEST_F(InvalidationRelayTest, AggregateProvesOldestOfItsChannels) {
  const int64_t proved = Now();
  fake_.timers.Freeze(milliseconds(900));
  DeliverUpstreamHeartbeat("models");
  EXPECT_EQ(Register(kAggregateChannel).response().proven_ns(), proved);
  fake_.timers.Advance(milliseconds(1005));
  const auto heartbeats = fake_.TakeSent(kSubscriber);
  ASSERT_GE(heartbeats.size(), 1u);
  EXPECT_EQ(heartbeats.back().message().server_ns(), proved);
}

TEST_F(InvalidationRelayTest, LostChannelIsExcludedFromAggregateProof) {
  Register(kAggregateChannel);
  for (int i = 0; i < 3; ++i) {
    fake_.timers.Advance(milliseconds(900));
    DeliverUpstreamHeartbeat("models");  // no heartbeat for "tenants"
  }
  std::vector<std::string> excluded;
  int64_t proved = 0;
  fake_.timers.Advance(milliseconds(1100));
  for (const ChannelEnvelope& sent : fake_.TakeSent(kSubscriber)) {
    for (const ObjectState& state : sent.message().objects()) {
      if (state.freshness() == EXCLUDED) excluded.push_back(state.object());
    }
    proved = std::max<int64_t>(proved, sent.message().server_ns());
  }
  EXPECT_EQ(excluded, std::vector<std::string>{"tenant/t"});
  EXPECT_GT(proved, Now() - 1'300'000'000);
}

TEST_F(InvalidationRelayTest, RefusesAndSendsNothingWithoutLiveUpstream) {
  Register("models");
  fake_.timers.Freeze(milliseconds(2100));  // no timer has detected the loss yet
  ChannelEnvelope request;
  request.mutable_request()->set_channel("models");
  request.mutable_request()->set_registration(9);
  request.mutable_request()->set_base(RegistrationRequest::INCLUDE_ALL);
  fake_.Deliver("10.0.0.4:7000", request);
  EXPECT_EQ(fake_.TakeSent("10.0.0.4:7000")[0].response().status(), RegistrationResponse::REFUSED);
  fake_.timers.Advance(milliseconds(1));
  fake_.TakeSent();
  fake_.timers.Advance(milliseconds(3000));
  EXPECT_TRUE(fake_.TakeSent(kSubscriber).empty());
}

}  // namespace
}  // namespace posthatch::invalidation
