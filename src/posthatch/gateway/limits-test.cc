#include <gtest/gtest.h>

#include "posthatch/gateway/gateway_fixture-test.h"

// Tests of admission, eligibility of back ends, and retries.
namespace posthatch::gateway {
namespace {

using LimitsTest = GatewayTest;

TEST_F(LimitsTest, RevokedKeyIsRejectedImmediately) {
  StartGateway();
  Complete();
  LastCall().GoodCompletion();
  view.fleet.mutable_configuration()->mutable_tenants(0)->clear_key_sha256();
  view.Changed();
  EXPECT_EQ(Complete()->sent_response.status, 401);
  EXPECT_EQ(Complete(false, "key-two")->responses, 0);  // in progress
  EXPECT_EQ(Complete(false, "key-three")->sent_response.status, 401);
}

TEST_F(LimitsTest, RateLimitIsATokenBucket) {
  view.fleet.mutable_configuration()->mutable_tenants(0)->set_rate_limit(2);
  view.fleet.mutable_configuration()->mutable_tenants(0)->set_burst(4);
  StartGateway();
  for (int request = 0; request < 4; ++request) EXPECT_EQ(Complete()->responses, 0);
  const auto rejected = Complete();
  EXPECT_EQ(rejected->sent_response.status, 429);
  EXPECT_EQ(rejected->sent_response.headers.Get("Retry-After"), "1");
  EXPECT_TRUE(rejected->BodyContains(R"("executed":"no")"));
  timers.Advance(std::chrono::milliseconds(500));
  EXPECT_EQ(Complete()->responses, 0);
  EXPECT_EQ(Complete()->responses, 1);
}

TEST_F(LimitsTest, ConcurrencyLimitIsDividedAmongGateways) {
  view.fleet.mutable_configuration()->mutable_tenants(0)->set_max_concurrency(4);
  options.live_gateways = [] { return 2u; };
  StartGateway();
  Complete();
  Complete();
  EXPECT_EQ(Complete()->sent_response.status, 429);
  LastCall().GoodCompletion();
  timers.Advance(std::chrono::milliseconds(1));
  EXPECT_EQ(Complete()->responses, 0);
}

TEST_F(LimitsTest, LowPriorityIsShedFirst) {
  options.max_concurrent_requests = 10;
  view.fleet.mutable_configuration()->mutable_tenants(1)->set_priority(9);
  StartGateway();
  for (int request = 0; request < 7; ++request) EXPECT_EQ(Complete()->responses, 0);
  EXPECT_TRUE(Complete()->BodyContains("overloaded"));
  for (int request = 0; request < 3; ++request) {
    EXPECT_EQ(Complete(false, "key-two")->responses, 0);
  }
  EXPECT_TRUE(Complete(false, "key-two")->BodyContains("overloaded"));
}

TEST_F(LimitsTest, RejectsRequestsWithoutLease) {
  StartGateway();
  view.expiry = clock.now;
  const auto writer = Complete();
  EXPECT_TRUE(writer->BodyContains("no_lease"));
  EXPECT_FALSE(gateway->Ready());
  EXPECT_TRUE(client.calls.empty());
}

TEST_F(LimitsTest, LeaseIsCheckedBeforeRetry) {
  StartGateway();
  for (int request = 0; request < 10; ++request) Complete();
  const auto writer = Complete();
  view.expiry = clock.now;
  LastCall().Error(http::CallProgress::kSent);
  EXPECT_TRUE(writer->BodyContains("no_lease"));
  EXPECT_TRUE(writer->BodyContains(R"("executed":"unknown")"));
  EXPECT_EQ(client.calls.size(), 11u);
}

TEST_F(LimitsTest, DrainingAndEvacuatedWorkersGetNoWork) {
  StartGateway();
  locator.holders = {{"w1", 1, 4}};  // the index still lists holders
  Complete();
  EXPECT_EQ(LastCall().endpoint, "w1:80");
  view.fleet.mutable_inventory()->mutable_backends(0)->set_draining(true);
  control::Evacuation* evacuation = view.fleet.add_evacuations();
  control::Requirement* zone = evacuation->mutable_selector()->add_requirements();
  zone->set_key("zone");
  zone->set_operator_(control::Requirement::IN);
  zone->add_values("b");
  view.Changed();
  for (int request = 0; request < 50; ++request) {
    Complete();
    EXPECT_EQ(LastCall().endpoint, "w2:80");
  }
}

TEST_F(LimitsTest, RetryStormStaysWithinBudget) {
  StartGateway();
  for (int request = 0; request < 500; ++request) {
    Complete();
    while (!LastCall().cancelled && LastCall().Field("X-Posthatch-Attempt-Number") != "3") {
      const size_t calls = client.calls.size();
      LastCall().Error(http::CallProgress::kSent);
      if (client.calls.size() == calls) break;
    }
    LastCall().Error(http::CallProgress::kSent);
    timers.Advance(std::chrono::milliseconds(20));
  }
  int first_attempts = 0;
  int retries = 0;
  for (const auto& call : client.calls) {
    ++(call->Field("X-Posthatch-Attempt-Number") == "1" ? first_attempts : retries);
  }
  EXPECT_GT(retries, 20);
  EXPECT_LE(retries, first_attempts / 5);
}

TEST_F(LimitsTest, UnsentFirstAttemptsAddNoRetryBudget) {
  FakeClock fake;
  RetryBudget budget(&fake);
  for (int request = 0; request < 10; ++request) budget.RecordFirstAttempt();
  for (int request = 0; request < 6; ++request) budget.RevertFirstAttempt();
  EXPECT_FALSE(budget.TryRetry(0.2));
  budget.RecordFirstAttempt();
  EXPECT_TRUE(budget.TryRetry(0.2));
  fake.now += std::chrono::seconds(11);
  EXPECT_FALSE(budget.TryRetry(0.2));
}

// Sends `count` requests at 20/s with immediate responses; returns how many `endpoint` received.
class ShareTest : public GatewayTest {
 protected:
  int CountRequestsTo(const std::string& endpoint, int count) {
    int hits = 0;
    for (int request = 0; request < count; ++request) {
      Complete();
      if (LastCall().endpoint == endpoint) ++hits;
      LastCall().GoodCompletion();
      timers.Advance(std::chrono::milliseconds(50));
    }
    return hits;
  }
};

TEST_F(ShareTest, NewWorkerIsInSlowStart) {
  StartGateway();
  AddBackend("w5", control::BACKEND_KIND_WORKER, "a");
  view.Changed();
  EXPECT_LE(CountRequestsTo("w5:80", 60), 15);  // a third would be 20
  CountRequestsTo("", 200);
  EXPECT_GE(CountRequestsTo("w5:80", 60), 12);
}

TEST_F(ShareTest, WorkerWithLostCacheIsInSlowStart) {
  StartGateway();
  locator.holders = {{"w1", 1, 4}};
  for (uint64_t epoch : {1, 2}) {
    Complete();
    ASSERT_EQ(LastCall().endpoint, "w1:80");
    LastCall().Head(200, epoch);  // a new epoch: the worker has lost its cache
    LastCall().Error(http::CallProgress::kHeadReceived);
  }
  locator.holders.clear();
  EXPECT_LE(CountRequestsTo("w1:80", 40), 8);
}

TEST_F(LimitsTest, FailingWorkerIsEjected) {
  StartGateway();
  locator.holders = {{"w1", 1, 4}};
  for (int request = 0; request < 20 && client.calls.size() < 20; ++request) {
    Complete();
    if (LastCall().endpoint == "w1:80") LastCall().Error(http::CallProgress::kSent);
  }
  int to_failed = 0;
  for (const auto& call : client.calls) to_failed += call->endpoint == "w1:80" ? 1 : 0;
  EXPECT_EQ(to_failed, 3);
}

TEST_F(LimitsTest, FullHolderOverflowsInsteadOfShedding) {
  view.fleet.mutable_configuration()->mutable_routing()->set_max_requests_per_worker(10);
  StartGateway();
  // A prefix long enough that queueing at the holder is cheaper than prefill.
  locator.holders = {{"w1", 1, 100}};
  const std::string body =
      absl::StrCat(R"({"model":"m","prompt":")", std::string(1600, 'p'), "\"}");
  int at_holder = 0;
  for (int request = 0; request < 12; ++request) {
    EXPECT_EQ(Send("/v1/completions", body)->responses, 0);
    at_holder += LastCall().endpoint == "w1:80" ? 1 : 0;
  }
  EXPECT_EQ(at_holder, 7);  // 70% of the limit for the lowest priority
}

TEST_F(LimitsTest, MeasuredWaitShiftsLoad) {
  StartGateway();
  locator.holders = {{"w1", 1, 100}};
  const std::string body =
      absl::StrCat(R"({"model":"m","stream":true,"prompt":")", std::string(1600, 'p'), "\"}");
  Send("/v1/completions", body);
  ASSERT_EQ(LastCall().endpoint, "w1:80");
  timers.Advance(std::chrono::seconds(2));  // other gateways use the worker's capacity
  LastCall().cached_blocks = 100;
  LastCall().Head();
  LastCall().Chunk(LastCall().Event(0));
  Send("/v1/completions", body);
  EXPECT_NE(LastCall().endpoint, "w1:80");
  timers.Advance(std::chrono::seconds(30));
  Send("/v1/completions", body);
  EXPECT_EQ(LastCall().endpoint, "w1:80");
}

TEST_F(LimitsTest, UnreachableWorkerIsEjectedImmediately) {
  StartGateway();
  locator.holders = {{"w1", 1, 4}};
  Complete();
  LastCall().Error(http::CallProgress::kNotSent);
  Complete();
  EXPECT_NE(LastCall().endpoint, "w1:80");
}

TEST_F(LimitsTest, LocalInventoryAddsDrainingMarks) {
  options.inventory_endpoint = "inventory:80";
  StartGateway();
  EXPECT_TRUE(client.calls.empty());
  view.inventory_age = std::chrono::seconds(3);
  EXPECT_TRUE(Complete()->BodyContains("no_lease"));  // too old, and no new reading yet
  timers.Advance(std::chrono::milliseconds(700));
  ASSERT_FALSE(client.calls.empty());
  ASSERT_EQ(LastCall().endpoint, "inventory:80");
  LastCall().CompleteResponse(200, R"({"version":2,"backends":[
      {"id":"w1","kind":"worker","endpoint":"w1:80","zone":"a","model":"m","draining":true}]})");
  locator.holders = {{"w1", 1, 4}};
  for (int request = 0; request < 20; ++request) {
    Complete();
    EXPECT_NE(LastCall().endpoint, "w1:80");
  }
}

TEST_F(LimitsTest, UnreachableInventoryKeepsLastOne) {
  options.inventory_endpoint = "inventory:80";
  StartGateway();
  view.inventory_age = std::chrono::seconds(10);
  timers.Advance(std::chrono::milliseconds(700));
  LastCall().Error(http::CallProgress::kNotSent);
  EXPECT_EQ(Complete()->responses, 0);
  EXPECT_NE(LastCall().endpoint, "inventory:80");
}

TEST_F(LimitsTest, FetchIsPlannedOnlyOverFastLink) {
  StartGateway();
  // The holder is busy: another worker gets the request and fetches the blocks.
  view.fleet.mutable_configuration()->mutable_routing()->set_max_requests_per_worker(1);
  view.Changed();
  locator.holders = {{"w1", 1, 4}};
  Complete();
  ASSERT_EQ(LastCall().endpoint, "w1:80");
  Complete();
  EXPECT_EQ(LastCall().Field("X-Posthatch-Kv-Source"), "w1:80");
  EXPECT_EQ(LastCall().Field("X-Posthatch-Kv-Blocks"), "4");
  LinkSpeedEstimator links(&clock);
  EXPECT_TRUE(links.FetchIsWorthwhile("w1", "w2"));
  links.RecordFetch("w1", "w2", 4, 0, std::chrono::seconds(1));
  EXPECT_FALSE(links.FetchIsWorthwhile("w1", "w2"));
  EXPECT_TRUE(links.FetchIsWorthwhile("w1", "w3"));
  clock.now += std::chrono::minutes(1);
  EXPECT_TRUE(links.FetchIsWorthwhile("w1", "w2"));  // the measurement has expired
}

TEST_F(LimitsTest, BlockSeedDependsOnRevisionAndIsolation) {
  StartGateway();
  Complete();
  const std::string shared_salt = LastCall().Field("X-Posthatch-Cache-Salt");
  Complete(false, "key-two");
  EXPECT_EQ(LastCall().Field("X-Posthatch-Cache-Salt"), shared_salt);
  for (auto& domain : *view.fleet.mutable_isolation()) domain.set_generation(5);
  view.fleet.mutable_isolation(0)->set_isolated(true);
  view.Changed();
  Complete();
  const std::string isolated_salt = LastCall().Field("X-Posthatch-Cache-Salt");
  Complete(false, "key-two");
  // Neither the isolated tenant's blocks nor its former shared blocks are reachable.
  EXPECT_NE(LastCall().Field("X-Posthatch-Cache-Salt"), isolated_salt);
  EXPECT_NE(LastCall().Field("X-Posthatch-Cache-Salt"), shared_salt);
  control::ModelRevision* revision = view.fleet.add_revisions();
  revision->set_model("m");
  revision->set_revision(3);
  view.Changed();
  Complete();
  EXPECT_NE(LastCall().Field("X-Posthatch-Cache-Salt"), isolated_salt);
  EXPECT_EQ(LastCall().Field("X-Posthatch-Model-Revision"), "3");
}

TEST_F(LimitsTest, DrainWaitsForRequestsInProgress) {
  StartGateway();
  const auto running = Complete();
  bool drained = false;
  gateway->Drain([&drained] { drained = true; });
  EXPECT_TRUE(Complete()->BodyContains("draining"));
  EXPECT_FALSE(drained);
  LastCall().GoodCompletion();
  EXPECT_EQ(running->sent_response.status, 200);
  EXPECT_TRUE(drained);
}

TEST_F(LimitsTest, RejectsMalformedRequests) {
  StartGateway();
  for (const char* body : {"", "{", "[]", R"({"model":"m"})", R"({"model":1,"prompt":"x"})",
                           R"({"model":"m","prompt":"x","stream":1})"}) {
    EXPECT_EQ(Send("/v1/completions", body)->sent_response.status, 400) << body;
  }
  EXPECT_EQ(Send("/v1/completions", R"({"model":"x","prompt":"p"})")->sent_response.status, 404);
  for (const char* target : {"/", "/v1/services/lobby", "/v1/services/lobby/x/y",
                             "/v1/services/lobby/../x", "/v1/services/lobby/none"}) {
    EXPECT_EQ(Send(target, "{}")->sent_response.status, 404) << target;
  }
  EXPECT_EQ(Send("/v1/services/lobby/place", "{}", std::string(200, 'k'))->sent_response.status,
            400);
}

}  // namespace
}  // namespace posthatch::gateway
