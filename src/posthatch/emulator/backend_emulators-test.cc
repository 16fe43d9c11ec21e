// Tests of the emulated application service and platform inventory.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "posthatch/emulator/emulator_world.h"
#include "posthatch/emulator/inventory_emulator.h"
#include "posthatch/emulator/service_emulator.h"

namespace posthatch::emulator {
namespace {

using fleettest::HistoryEvent;

class ServiceEmulatorTest : public EmulatorWorld {
 protected:
  ServiceEmulatorTest() {
    ServiceSettings settings;
    settings.id = "service";
    service = Boot<ServiceEmulator>("service", settings);
  }
  CallPlan PlacementPlan(const std::string& key) {
    CallPlan plan = Completion(service->endpoint(), "", 0, false);
    plan.target = "/operations/place";
    plan.body = "{}";
    plan.sent.set_idempotency_key(key);
    return plan;
  }

  ServiceEmulator* service;
};

TEST_F(ServiceEmulatorTest, RecordsEachStart) {
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(Run({PlacementPlan("k")})[0].body_intact());
  ASSERT_EQ(Starts().size(), 2u);
  EXPECT_EQ(Starts()[0].operation(), "lobby/place");
  EXPECT_EQ(Starts()[1].idempotency_key(), "k");
  EXPECT_NE(Starts()[0].run(), Starts()[1].run());
}

TEST_F(ServiceEmulatorTest, LostResponsesWereExecutedLostRequestsWereNot) {
  ServiceBehaviour behaviour;
  behaviour.answers_lost_share = 1;
  service->SetBehaviour(behaviour);
  EXPECT_EQ(Run({PlacementPlan("k1")})[0].status(), 0u);
  EXPECT_EQ(Starts().size(), 1u);
  behaviour = {};
  behaviour.requests_lost_share = 1;
  service->SetBehaviour(behaviour);
  EXPECT_EQ(Run({PlacementPlan("k2")})[0].status(), 0u);
  EXPECT_EQ(Starts().size(), 1u);
}

TEST_F(ServiceEmulatorTest, DelayedStartIgnoresDisconnect) {
  ServiceBehaviour behaviour;
  behaviour.start_late_ms = 500;
  behaviour.start_late_share = 1;
  service->SetBehaviour(behaviour);
  CallPlan plan = PlacementPlan("k");
  plan.disconnect_after = Milliseconds(100);
  Run({plan});
  EXPECT_TRUE(Starts().empty());
  world.RunFor(Milliseconds(600));
  EXPECT_EQ(Starts().size(), 1u);
  EXPECT_EQ(EventsOf(HistoryEvent::kRunEnded).size(), 1u);
}

TEST_F(ServiceEmulatorTest, CrossesTruncatesAndRepeatsResponses) {
  for (const auto share :
       {&ServiceBehaviour::answers_crossed_share, &ServiceBehaviour::answers_crossed_body_share,
        &ServiceBehaviour::answers_twice_share}) {
    service->SetBehaviour({});
    Run({PlacementPlan("first")});
    ServiceBehaviour behaviour;
    behaviour.*share = 1;
    service->SetBehaviour(behaviour);
    Run({PlacementPlan("second")});
    EXPECT_EQ(Run({PlacementPlan("third")})[0].fault(), "another request's id");
  }
  ServiceBehaviour truncating;
  truncating.answers_cut_share = 1;
  service->SetBehaviour(truncating);
  EXPECT_FALSE(Run({PlacementPlan("cut")})[0].complete());
}

class InventoryEmulatorTest : public EmulatorWorld {
 protected:
  InventoryEmulatorTest() {
    InventorySettings settings;
    settings.backends = {
        {"w1", "worker", "10.0.0.7:1", "z1", "race-7b", "", {{"rack", "r"}}, false},
        {"w2", "worker", "10.0.0.8:1", "z2", "race-7b", "", {}, false}};
    inventory = Boot<InventoryEmulator>("inventory", settings);
  }
  // "id" of each back end, with "!" when draining; "429 <ms>" when rate limited.
  std::string Read() {
    const http::Response response = SendJson(inventory->endpoint(), "GET", "/v1/inventory", "");
    if (response.status != 200) {
      return std::to_string(response.status) + " " +
             std::string(response.headers.Get("Retry-After-Ms"));
    }
    const boost::json::object body = *ParseObject(response.body);
    std::string text;
    for (const auto& entry : body.at("backends").as_array()) {
      text += TextField(entry.as_object(), "id");
      if (FlagField(entry.as_object(), "draining")) text += "!";
    }
    return text;
  }

  InventoryEmulator* inventory;
};

TEST_F(InventoryEmulatorTest, ChangesAppearDelayed) {
  EXPECT_EQ(Read(), "w1w2");
  const auto changed = world.Now();
  SendJson(inventory->endpoint(), "PUT", "/debug/draining", R"({"id":"w2","draining":true})");
  EXPECT_EQ(Read(), "w1w2");
  EXPECT_TRUE(EventsOf(HistoryEvent::kDrainingShown).empty());
  world.RunFor(std::chrono::seconds(1));
  EXPECT_EQ(Read(), "w1w2!");
  const auto shown = EventsOf(HistoryEvent::kDrainingShown);
  ASSERT_EQ(shown.size(), 1u);
  EXPECT_EQ(shown[0].draining_shown().backend(), "w2");
  const auto delay = runtime::FromNanoseconds(shown[0].time_ns()) - changed;
  EXPECT_GE(delay, Milliseconds(500));
  EXPECT_LE(delay, Milliseconds(1010));

  SendJson(inventory->endpoint(), "PUT", "/debug/behaviour", R"({"lateness_ms":0})");
  SendJson(inventory->endpoint(), "PUT", "/debug/backends",
           R"({"backends":[{"id":"w3","kind":"worker","labels":{"a":"b"}}]})");
  EXPECT_EQ(Read(), "w3");
  EXPECT_EQ(SendJson(inventory->endpoint(), "PUT", "/debug/draining", R"({"id":"w1"})").status,
            400);
}

TEST_F(InventoryEmulatorTest, ReadsAreRateLimited) {
  SendJson(inventory->endpoint(), "PUT", "/debug/behaviour", R"({"reads_per_second":2})");
  world.RunFor(std::chrono::seconds(5));
  int accepted_reads = 0;
  std::string rejection;
  const auto until = world.Now() + std::chrono::seconds(10);
  while (world.Now() < until) {
    const std::string read = Read();
    if (read == "w1w2")
      ++accepted_reads;
    else
      rejection = read;
    world.RunFor(Milliseconds(50));
  }
  EXPECT_NEAR(accepted_reads, 2 + 20, 1);
  EXPECT_THAT(rejection, ::testing::StartsWith("429 "));
}

}  // namespace
}  // namespace posthatch::emulator
