#include <gtest/gtest.h>

#include "posthatch/gateway/gateway_fixture-test.h"

// Non-idempotent operations run at most once and report correct `executed` values (invariants N1,
// N2 and N10).
namespace posthatch::gateway {
namespace {

class DeliveryTest : public GatewayTest {
 protected:
  // Like FakeFleet::Place, but through a second gateway that shares the log and the back ends.
  std::shared_ptr<FakeWriter> PlaceAtOtherGateway(const std::string& key) {
    if (other_ == nullptr) {
      other_runtime_ = runtime;
      other_runtime_.metrics = &other_registry_;
      other_ = std::make_unique<Gateway>(&other_runtime_, options, &view, &control, &locator);
    }
    std::swap(gateway, other_);
    auto writer = Place(key);
    std::swap(gateway, other_);
    return writer;
  }

 private:
  runtime::Runtime other_runtime_;
  prometheus::Registry other_registry_;
  std::unique_ptr<Gateway> other_;
};

TEST_F(DeliveryTest, ResendAtOtherGatewayGetsStoredOutcome) {
  StartGateway();
  Place("k");
  EXPECT_EQ(PlaceAtOtherGateway("k")->sent_response.status,
            409);  // the first request is still running
  LastCall().GoodOperation("place");
  const auto again = PlaceAtOtherGateway("k");
  EXPECT_EQ(again->sent_response.status, 200);
  EXPECT_TRUE(again->BodyContains(R"("result":1)"));
  EXPECT_EQ(client.calls.size(), 1u);
}

TEST_F(DeliveryTest, CrashAfterDispatchIsUnknownAndRunsOnce) {
  StartGateway();
  Place("k");
  gateway.reset();
  const auto again = PlaceAtOtherGateway("k");
  EXPECT_EQ(again->sent_response.status, 409);
  EXPECT_TRUE(again->BodyContains(R"("executed":"unknown")"));
  EXPECT_EQ(client.calls.size(), 1u);
}

TEST_F(DeliveryTest, LostResponseIsUnknownAndNotRetried) {
  StartGateway();
  const auto writer = Place("k");
  LastCall().Error(http::CallProgress::kSent);
  EXPECT_EQ(writer->sent_response.status, 502);
  EXPECT_TRUE(writer->BodyContains(R"("executed":"unknown")"));
  EXPECT_EQ(control.Outcome("k"), control::DeliveryOutcome::UNKNOWN);
  EXPECT_EQ(Place("k")->sent_response.status, 502);
  EXPECT_EQ(client.calls.size(), 1u);
}

TEST_F(DeliveryTest, MismatchedResponseIsUnknown) {
  StartGateway();
  const auto writer = Place("k");
  LastCall().HeadFor("another attempt");
  EXPECT_EQ(writer->sent_response.status, 502);
  EXPECT_EQ(control.Outcome("k"), control::DeliveryOutcome::UNKNOWN);
}

TEST_F(DeliveryTest, NoDispatchAfterFreezeFollowingBegin) {
  StartGateway();
  control.defer_results = true;
  const auto writer = Place("k");
  clock.now += std::chrono::seconds(20);  // timers don't run during a freeze
  control.defer_results = false;
  control.Release();
  EXPECT_TRUE(client.calls.empty());
  EXPECT_TRUE(writer->BodyContains(R"("executed":"no")"));
  EXPECT_EQ(control.Outcome("k"), control::DeliveryOutcome::NOT_EXECUTED);
  EXPECT_EQ(PlaceAtOtherGateway("k")->sent_response.status, 410);
  EXPECT_TRUE(client.calls.empty());
}

TEST_F(DeliveryTest, NoDispatchAfterLeaseExpiry) {
  StartGateway();
  control.defer_results = true;
  Place("k");
  view.expiry = clock.now;
  control.Release();
  EXPECT_TRUE(client.calls.empty());
}

TEST_F(DeliveryTest, NoDispatchAfterKeyRevocation) {
  StartGateway();
  control.defer_results = true;
  const auto writer = Place("k");
  view.fleet.mutable_configuration()->mutable_tenants(0)->clear_key_sha256();
  view.Changed();
  control.defer_results = false;
  control.Release();
  EXPECT_TRUE(client.calls.empty());
  EXPECT_EQ(writer->sent_response.status, 401);
}

TEST_F(DeliveryTest, BeginTimeoutIsUnknownAndClosedLater) {
  StartGateway();
  control.lost_results = 1;
  const auto writer = Place("k");
  EXPECT_EQ(writer->sent_response.status, 503);
  EXPECT_TRUE(writer->BodyContains(R"("executed":"unknown")"));
  EXPECT_TRUE(client.calls.empty());
  EXPECT_EQ(control.Outcome("k"), control::DeliveryOutcome::NOT_EXECUTED);
}

TEST_F(DeliveryTest, UncommittedOutcomeIsUnknown) {
  StartGateway();
  control.fail_finish = true;
  const auto writer = Place("k");
  LastCall().GoodOperation("place");
  EXPECT_EQ(writer->sent_response.status, 503);
  EXPECT_TRUE(writer->BodyContains(R"("executed":"unknown")"));
}

TEST_F(DeliveryTest, RejectsKeyReuseWithOtherBody) {
  StartGateway();
  Place("k");
  const auto writer = Send("/v1/services/lobby/place", R"({"seat":2})", "k");
  EXPECT_EQ(writer->sent_response.status, 409);
  EXPECT_TRUE(writer->BodyContains("key_reused"));
  EXPECT_EQ(client.calls.size(), 1u);
}

TEST_F(DeliveryTest, KeyStaysUnusedWithoutEligibleBackend) {
  StartGateway();
  for (int backend : {4, 5}) {
    view.fleet.mutable_inventory()->mutable_backends(backend)->set_draining(true);
  }
  view.Changed();
  EXPECT_TRUE(Place("k")->BodyContains("no_capacity"));
  EXPECT_EQ(control.proposals, 0);
  view.fleet.mutable_inventory()->mutable_backends(4)->set_draining(false);
  view.Changed();
  const auto writer = Place("k");
  ASSERT_FALSE(client.calls.empty());
  LastCall().GoodOperation("place");
  EXPECT_EQ(writer->sent_response.status, 200);
}

TEST_F(DeliveryTest, RejectionBeforeRecordIsUnknown) {
  StartGateway();
  view.expiry = clock.now;
  EXPECT_TRUE(Place("k")->BodyContains(R"("executed":"unknown")"));
  EXPECT_TRUE(Complete()->BodyContains(R"("executed":"no")"));
}

TEST_F(DeliveryTest, IdempotencyKeyIsRequired) {
  StartGateway();
  EXPECT_EQ(Place("")->sent_response.status, 400);
  EXPECT_EQ(control.proposals, 0);
}

TEST_F(DeliveryTest, OversizedResponseIsNotStored) {
  StartGateway();
  const auto writer = Place("k");
  EXPECT_EQ(LastCall().options.max_body_bytes, 64u * 1024);
  LastCall().Head();
  LastCall().Error(http::CallProgress::kHeadReceived, absl::DataLossError("too long"));
  EXPECT_EQ(control.Outcome("k"), control::DeliveryOutcome::UNKNOWN);
}

TEST_F(DeliveryTest, UnreachableBackendClosesRecordAsNotExecuted) {
  StartGateway();
  const auto writer = Place("k");
  LastCall().Error(http::CallProgress::kNotSent);
  EXPECT_EQ(writer->sent_response.status, 502);
  EXPECT_TRUE(writer->BodyContains(R"("executed":"no")"));
  EXPECT_EQ(control.Outcome("k"), control::DeliveryOutcome::NOT_EXECUTED);
}

}  // namespace
}  // namespace posthatch::gateway
