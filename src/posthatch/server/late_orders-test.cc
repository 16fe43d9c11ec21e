#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "posthatch/control/state/commands-test.h"
#include "posthatch/server/platform_fleet-test.h"

// Evacuation orders of an operator that leaves a call after a second and sends the order to another
// controller. A copy that is left may be read at any time.
namespace posthatch::server {
namespace {

using simulation::SimHost;

constexpr runtime::Duration kCallerWait = seconds(1);

PlatformFleetPlan Plan(int controllers) {
  PlatformFleetPlan plan;
  plan.controllers = controllers;
  plan.gateways = 2;
  plan.zones = 3;
  plan.workers = 3;
  return plan;
}

struct Order {
  std::string zone;
  bool lifted = false;
};

// Sends one copy of an order after another until one is acknowledged.
class OrderSender {
 public:
  OrderSender(PlatformFleet* fleet, Order order)
      : fleet_(fleet), order_(std::move(order)), timer_(runtime()->timers) {}

  // Sends a copy to `controller`, and after a failure to random ones.
  void Send(const SimHost* controller, bool fresh_connection) {
    http::Request request;
    request.method = "POST";
    request.target = "/change";
    control::Command command =
        control::EvacuationChange("", order_.zone, order_.zone, order_.lifted);
    command.clear_request_id();
    request.body = command.SerializeAsString();
    auto status = std::make_shared<int>(0);
    http::CallObserver observer;
    observer.on_head = [status](const http::Response& head) { *status = head.status; };
    observer.on_end = [this, status] { OnEnd(*status); };
    observer.on_error = [this](const http::CallError&) { OnEnd(0); };
    http::CallOptions options;
    options.connect_timeout = kCallerWait;
    options.head_timeout = kCallerWait;
    options.fresh_connection = fresh_connection;
    in_progress_ = true;
    call_ = runtime()->http_client->Start(controller->http_endpoint(), request, options,
                                          std::move(observer));
  }
  // Abandons the call in progress.
  void GiveUp() {
    StopResending();
    call_ = nullptr;
  }
  void StopResending() {
    stopped_ = true;
    timer_.Cancel();
  }
  bool InProgress() const { return in_progress_ || timer_.running(); }

  std::optional<runtime::MonotonicTime> acknowledged_at;
  std::vector<int> failures;  // statuses, 0 without a response

 private:
  runtime::Runtime* runtime() const { return fleet_->operator_host()->runtime(); }
  void OnEnd(int status) {
    in_progress_ = false;
    if (status == 200) {
      acknowledged_at = fleet_->world.Now();
      return;
    }
    failures.push_back(status);
    if (stopped_) return;
    timer_.Start(backoff_, [this] {
      runtime::Random* random = fleet_->world.random();
      Send(fleet_->controller_hosts[random->Uniform(fleet_->controller_hosts.size())],
           random->Chance(0.5));
    });
    backoff_ = std::min<runtime::Duration>(backoff_ * 3 / 2, kCallerWait);
  }

  PlatformFleet* const fleet_;
  const Order order_;
  std::unique_ptr<http::Call> call_;
  bool in_progress_ = false;
  bool stopped_ = false;
  runtime::Timer timer_;
  runtime::Duration backoff_ = milliseconds(100);
};

class LateOrdersTest : public testing::TestWithParam<uint64_t> {
 protected:
  explicit LateOrdersTest(int controllers = 3) : fleet_(GetParam(), Plan(controllers)) {
    fleet_.SendConfiguration(1);
    fleet_.world.RunUntil([this] { return fleet_.acknowledged.contains(1); }, seconds(10));
    fleet_.world.RunFor(seconds(1));
  }

  // Sends `order`, the first copy to `first`, and returns whether it is acknowledged in time.
  bool Acknowledge(const Order& order, const SimHost* first, runtime::Duration limit = seconds(4)) {
    OrderSender* sender = NewSender(order);
    sender->Send(first, /*fresh_connection=*/true);
    return fleet_.world.RunUntil([sender] { return sender->acknowledged_at.has_value(); }, limit);
  }
  OrderSender* NewSender(const Order& order) {
    senders_.push_back(std::make_unique<OrderSender>(&fleet_, order));
    return senders_.back().get();
  }
  SimHost* Follower() {
    for (SimHost* host : fleet_.controller_hosts) {
      if (host != fleet_.Leader() && host->running()) return host;
    }
    return nullptr;
  }
  // Whether the zone is evacuated, by the state of the leader; nullopt without a leader.
  std::optional<bool> Evacuated(const std::string& zone) {
    const SimHost* leader = fleet_.Leader();
    const auto node = leader == nullptr ? nullptr : fleet_.Controller(leader);
    if (node == nullptr) return std::nullopt;
    for (const control::Evacuation& evacuation : node->state().fleet().evacuations()) {
      if (evacuation.name() == zone) return true;
    }
    return false;
  }

  PlatformFleet fleet_;
  std::vector<std::unique_ptr<OrderSender>> senders_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, LateOrdersTest, testing::Range<uint64_t>(1, 11));

// Guards against incident 44: a copy that a frozen controller reads after its thaw lifted an
// evacuation that had been acknowledged meanwhile.
TEST_P(LateOrdersTest, ThawedControllerDoesNotUndoAcknowledgedEvacuation) {
  ASSERT_TRUE(Acknowledge({"z1", false}, fleet_.Leader()));
  SimHost* frozen = Follower();
  ASSERT_NE(frozen, nullptr);
  frozen->Freeze();
  ASSERT_TRUE(Acknowledge({"z1", true}, frozen));
  fleet_.world.RunFor(seconds(1));
  ASSERT_TRUE(Acknowledge({"z1", false}, fleet_.Leader()));
  frozen->Thaw();
  fleet_.world.RunFor(seconds(5));
  EXPECT_EQ(Evacuated("z1"), true);
}

// As above, with the opposite orders: nobody would lift the evacuation.
TEST_P(LateOrdersTest, ThawedControllerDoesNotRepeatLiftedEvacuation) {
  SimHost* frozen = Follower();
  ASSERT_NE(frozen, nullptr);
  frozen->Freeze();
  ASSERT_TRUE(Acknowledge({"z1", false}, frozen));
  ASSERT_TRUE(Acknowledge({"z1", true}, fleet_.Leader()));
  frozen->Thaw();
  fleet_.world.RunFor(seconds(5));
  EXPECT_EQ(Evacuated("z1"), false);
}

// An order that the operator gave up, followed by the opposite one, which changes nothing yet.
TEST_P(LateOrdersTest, OrderGivenUpIsNotAppliedAfterOrderWithoutEffect) {
  SimHost* frozen = Follower();
  ASSERT_NE(frozen, nullptr);
  frozen->Freeze();
  OrderSender* given_up = NewSender({"z1", false});
  given_up->Send(frozen, /*fresh_connection=*/true);
  fleet_.world.RunFor(milliseconds(500));
  given_up->GiveUp();
  ASSERT_TRUE(Acknowledge({"z1", true}, fleet_.Leader()));
  frozen->Thaw();
  fleet_.world.RunFor(seconds(5));
  EXPECT_EQ(Evacuated("z1"), false);
}

// Guards against a copy that waits in the controller, or on its way to the leader, while the
// controller is partitioned from the others.
TEST_P(LateOrdersTest, PartitionedControllerDoesNotUndoAcknowledgedEvacuation) {
  ASSERT_TRUE(Acknowledge({"z1", false}, fleet_.Leader()));
  SimHost* cut_off = Follower();
  ASSERT_NE(cut_off, nullptr);
  for (const SimHost* host : fleet_.controller_hosts) {
    if (host == cut_off) continue;
    fleet_.world.Partition(host->name(), cut_off->name());
    fleet_.world.Partition(cut_off->name(), host->name());
  }
  ASSERT_TRUE(Acknowledge({"z1", true}, cut_off));
  ASSERT_TRUE(Acknowledge({"z1", false}, fleet_.Leader()));
  fleet_.world.HealAll();
  fleet_.world.RunFor(seconds(5));
  EXPECT_EQ(Evacuated("z1"), true);
}

// Guards against a copy that waits on the operator's own line while its connection stays open.
TEST_P(LateOrdersTest, CopyDelayedOnCallersLineDoesNotUndoAcknowledgedEvacuation) {
  SimHost* unreachable = Follower();
  ASSERT_NE(unreachable, nullptr);
  ASSERT_TRUE(Acknowledge({"z1", false}, unreachable));
  fleet_.world.Partition("operator", unreachable->name());
  OrderSender* sender = NewSender({"z1", true});
  sender->Send(unreachable, /*fresh_connection=*/false);
  ASSERT_TRUE(
      fleet_.world.RunUntil([sender] { return sender->acknowledged_at.has_value(); }, seconds(6)));
  ASSERT_TRUE(Acknowledge({"z1", false}, fleet_.Leader()));
  fleet_.world.HealAll();
  fleet_.world.RunFor(seconds(5));
  EXPECT_EQ(Evacuated("z1"), true);
}

// A follower whose state is behind takes a fresh order: the caller needs no second copy.
TEST_P(LateOrdersTest, FollowersTakeFreshOrdersAtOnce) {
  for (int i = 0; i < 20; ++i) {
    for (SimHost* host : fleet_.controller_hosts) {
      OrderSender* sender = NewSender({"z1", i % 2 == 1});
      const runtime::MonotonicTime sent_at = fleet_.world.Now();
      sender->Send(host, /*fresh_connection=*/i % 3 != 0);
      ASSERT_TRUE(fleet_.world.RunUntil([sender] { return sender->acknowledged_at.has_value(); },
                                        seconds(4)));
      EXPECT_THAT(sender->failures, testing::IsEmpty()) << host->name() << ", order " << i;
      EXPECT_LE(*sender->acknowledged_at - sent_at, milliseconds(400));
    }
  }
}

// Series of orders for several zones, while controllers are frozen, killed and partitioned, and the
// operator's lines to them are cut, in overlapping series.
class LateOrdersSoakTest : public LateOrdersTest {
 protected:
  struct Zone {
    std::string name;
    bool evacuated = false;
    OrderSender* sender = nullptr;  // of the order in flight or acknowledged last
    bool acknowledged = false;
    bool known = false;  // the last order was acknowledged
    runtime::MonotonicTime next_step{};
  };

  LateOrdersSoakTest() : LateOrdersTest(5) {
    for (const char* name : {"z0", "z1", "z2"}) zones_.emplace_back().name = name;
  }

  void Run(runtime::Duration duration) {
    const runtime::MonotonicTime until = fleet_.world.Now() + duration;
    while (fleet_.world.Now() < until) {
      fleet_.world.RunFor(milliseconds(20));
      InjectFaults();
      for (Zone& zone : zones_) Step(&zone);
    }
    EndFaults();
    fleet_.world.RunFor(seconds(8));
    for (Zone& zone : zones_) Step(&zone);
    for (Zone& zone : zones_) Check(zone);
  }

  void Step(Zone* zone) {
    const runtime::MonotonicTime now = fleet_.world.Now();
    if (zone->sender != nullptr && !zone->acknowledged &&
        zone->sender->acknowledged_at.has_value()) {
      zone->acknowledged = zone->known = true;
      Log(absl::StrCat("acknowledged ", zone->name));
      zone->next_step = now + Pause();
    }
    if (now < zone->next_step) return;
    if (zone->sender != nullptr && !zone->acknowledged) {
      // The operator gives the order up, but waits for the response of the last call.
      zone->sender->StopResending();
      if (zone->sender->InProgress()) return;
    }
    Check(*zone);
    SendNext(zone);
  }
  // Sends the next order; if it isn't acknowledged in time, it is given up.
  void SendNext(Zone* zone) {
    zone->evacuated = zone->known ? !zone->evacuated : random()->Chance(0.5);
    zone->acknowledged = zone->known = false;
    zone->sender = NewSender({zone->name, !zone->evacuated});
    SimHost* const first = RandomController();
    Log(absl::StrCat("send ", zone->name, zone->evacuated ? " begin" : " finish", " to ",
                     first->name()));
    zone->sender->Send(first, random()->Chance(0.5));
    zone->next_step = fleet_.world.Now() + random()->Between(seconds(2), seconds(5));
  }
  runtime::Duration Pause() {
    return random()->Chance(0.6) ? random()->Between(milliseconds(10), milliseconds(300))
                                 : random()->Between(milliseconds(300), seconds(5));
  }

  // An acknowledged order is in force until the next one is sent. A new leader may still have to
  // apply its log.
  void Check(const Zone& zone) {
    if (!zone.known) return;
    std::optional<bool> evacuated = Evacuated(zone.name);
    if (!evacuated.has_value()) return;
    ++checked;
    if (*evacuated == zone.evacuated) return;
    fleet_.world.RunUntil([&] { return Evacuated(zone.name) == zone.evacuated; },
                          milliseconds(500));
    evacuated = Evacuated(zone.name);
    if (evacuated.has_value() && *evacuated != zone.evacuated) {
      violations.push_back(absl::StrCat(
          zone.name, zone.evacuated ? " begun" : " lifted", ", acknowledged at ",
          runtime::ToMilliseconds(zone.sender->acknowledged_at->time_since_epoch()), ", wrong at ",
          runtime::ToMilliseconds(fleet_.world.Now().time_since_epoch())));
    }
  }

  void InjectFaults() {
    const runtime::MonotonicTime now = fleet_.world.Now();
    if (now < next_fault_) return;
    next_fault_ = now + random()->Between(milliseconds(100), milliseconds(2500));
    SimHost* host = RandomController();
    switch (random()->Uniform(5)) {
      case 0:
      case 1:
        if (host->running()) Freeze(host);
        break;
      case 2:
        if (host->running()) Restart(host);
        break;
      case 3:
        PartitionController(host);
        break;
      default:
        CutCallersLine(host);
    }
  }
  void Log(const std::string& line) {
    log.push_back(absl::StrFormat(
        "%.6f %s", runtime::ToMilliseconds(fleet_.world.Now().time_since_epoch()) / 1000, line));
  }
  // The test's actions and the controllers' events about orders, in order of time.
  std::string History() {
    std::vector<std::string> lines = log;
    for (const std::string& line : fleet_.world.RecentTrace()) {
      for (const char* event : {"OperatorRequestReceived", "OperatorChangeCompleted",
                                "LateEvacuationOrderRejected", "LeadershipAcquired"}) {
        if (absl::StrContains(line, event)) lines.push_back(line);
      }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const auto& left, const auto& right) {
      return std::stod(left) < std::stod(right);
    });
    return absl::StrJoin(lines, "\n");
  }
  void Freeze(SimHost* host) {
    Log("freeze " + host->name());
    host->Freeze();
    After(random()->Between(milliseconds(200), seconds(6)), [this, host] {
      Log("thaw " + host->name());
      host->Thaw();
    });
  }
  void Restart(SimHost* host) {
    Log("crash " + host->name());
    host->Crash();
    After(random()->Between(milliseconds(100), seconds(3)), [host] {
      if (!host->running()) host->Start();
    });
  }
  void PartitionController(SimHost* host) {
    Log("partition " + host->name());
    fleet_.PartitionControllers({host});
    HealLater();
  }
  void CutCallersLine(SimHost* host) {
    Log("cut the operator's line to " + host->name());
    fleet_.world.Partition("operator", host->name());
    if (random()->Chance(0.5)) fleet_.world.Partition(host->name(), "operator");
    HealLater();
  }
  void HealLater() {
    After(random()->Between(milliseconds(300), seconds(6)), [this] {
      Log("heal");
      fleet_.world.HealAll();
    });
  }
  void After(runtime::Duration delay, std::function<void()> action) {
    fleet_.world.At(delay, std::move(action));
  }
  void EndFaults() {
    fleet_.world.RunFor(seconds(6));
    fleet_.world.HealAll();
  }

  runtime::Random* random() { return fleet_.world.random(); }
  SimHost* RandomController() {
    return fleet_.controller_hosts[random()->Uniform(fleet_.controller_hosts.size())];
  }

  std::vector<Zone> zones_;
  runtime::MonotonicTime next_fault_;
  int checked = 0;
  std::vector<std::string> violations;
  std::vector<std::string> log;
};

// POSTHATCH_SOAK_SEEDS overrides CI's number of seeds.
uint64_t SoakSeeds() {
  const char* seeds = std::getenv("POSTHATCH_SOAK_SEEDS");
  return seeds == nullptr ? 20 : std::strtoull(seeds, nullptr, 10);
}
INSTANTIATE_TEST_SUITE_P(Seeds, LateOrdersSoakTest,
                         testing::Range<uint64_t>(100, 100 + SoakSeeds()));

TEST_P(LateOrdersSoakTest, AcknowledgedOrdersStayInForce) {
  Run(seconds(60));
  EXPECT_THAT(violations, testing::IsEmpty()) << History();
  EXPECT_GE(checked, 20);
  RecordProperty("checked", checked);
}

}  // namespace
}  // namespace posthatch::server
