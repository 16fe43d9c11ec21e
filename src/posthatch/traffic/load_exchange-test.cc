#include "posthatch/traffic/load_exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/simulation/sim_world.h"

namespace posthatch::traffic {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A fleet of gateways in three zones, each with its exchange, in simulated time.
class LoadExchangeTest : public testing::Test {
 protected:
  void StartFleet(int gateways) {
    for (int i = 0; i < gateways; ++i) {
      const std::string zone(1, static_cast<char>('a' + i % 3));
      simulation::SimHost* host =
          world_.AddHost("g" + std::to_string(100 + i), zone, "10.0.0." + std::to_string(i + 1));
      hosts_.push_back(host);
      exchanges_.emplace_back();
      host->SetBoot([this, i, zone, host](runtime::Runtime* runtime) {
        LoadExchangeOptions options;
        options.zone = zone;
        auto exchange = std::make_shared<LoadExchange>(runtime, options,
                                                       [this, host] { return PeersOf(host); });
        exchanges_[static_cast<size_t>(i)] = exchange;
        return exchange;
      });
      host->Start();
    }
  }

  // As membership tells it: who runs.
  std::vector<LoadPeer> PeersOf(const simulation::SimHost* self) const {
    std::vector<LoadPeer> peers;
    for (const simulation::SimHost* host : hosts_) {
      if (host == self || !host->running()) continue;
      peers.push_back({host->name(), host->zone(), host->internal_endpoint()});
    }
    return peers;
  }

  uint32_t OthersAt(size_t gateway) const {
    return exchanges_[gateway].lock()->OfOthers("w").in_flight;
  }

  void ExpectEachSees(uint32_t total, uint32_t own) {
    for (size_t i = 0; i < exchanges_.size(); ++i) {
      if (!hosts_[i]->running()) continue;
      EXPECT_EQ(OthersAt(i), total - own) << hosts_[i]->name();
    }
  }

  void ExpectOthersSee(uint32_t load, size_t except) {
    for (size_t i = 0; i < exchanges_.size(); ++i) {
      if (i == except) continue;
      EXPECT_EQ(OthersAt(i), load) << hosts_[i]->name();
    }
  }

  // How many gateways heard of a prompt that `sender` announced, within `time`.
  size_t HeardOfAPrompt(size_t sender, std::chrono::milliseconds time) {
    std::vector<int> heard(exchanges_.size(), 0);
    for (size_t i = 0; i < exchanges_.size(); ++i) {
      exchanges_[i].lock()->OnPromptStart([&heard, i](const PromptStart& start) {
        EXPECT_EQ(start.worker_id, "w");
        EXPECT_EQ(start.affinity, 7U);
        EXPECT_EQ(start.revision, 3U);
        EXPECT_EQ(start.ready_in, milliseconds(250));
        ++heard[i];
      });
    }
    exchanges_[sender].lock()->Announce({7, 3, "w", milliseconds(250)});
    world_.RunFor(time);
    for (const auto& exchange : exchanges_) exchange.lock()->OnPromptStart({});
    world_.RunFor(seconds(1));  // what is passed on later than `time`
    EXPECT_EQ(std::count_if(heard.begin(), heard.end(), [](int times) { return times > 1; }), 0);
    return static_cast<size_t>(std::count(heard.begin(), heard.end(), 1));
  }

  simulation::SimWorld world_{11};
  std::vector<simulation::SimHost*> hosts_;
  std::vector<std::weak_ptr<LoadExchange>> exchanges_;
};

TEST_F(LoadExchangeTest, InASmallFleetEachKnowsOfWaitingPromptsWithinTensOfMilliseconds) {
  StartFleet(8);
  world_.RunFor(seconds(1));
  for (const auto& exchange : exchanges_) exchange.lock()->Set("w", {2, 5000});
  world_.RunFor(milliseconds(50));
  ExpectEachSees(16, 2);
  for (const auto& exchange : exchanges_) exchange.lock()->Set("w", {});
  world_.RunFor(milliseconds(50));
  ExpectEachSees(0, 0);
}

TEST_F(LoadExchangeTest, WhatHoldsNobodyUpIsToldLater) {
  StartFleet(8);
  world_.RunFor(milliseconds(1500));
  for (const auto& exchange : exchanges_) exchange.lock()->Set("w", {2, 100});
  world_.RunFor(milliseconds(50));
  ExpectEachSees(2, 2);
  world_.RunFor(milliseconds(200));
  ExpectEachSees(16, 2);
}

TEST_F(LoadExchangeTest, InALargeFleetTheZoneKnowsAtOnceAndTheOthersByWayOfTheCollectors) {
  StartFleet(40);
  world_.RunFor(seconds(3));
  exchanges_[3].lock()->Set("w", {2, 5000});  // zone a
  world_.RunFor(milliseconds(50));
  EXPECT_EQ(OthersAt(6), 2U);
  EXPECT_FALSE(exchanges_[6].lock()->IsCollector());
  world_.RunFor(milliseconds(400));
  ExpectOthersSee(2, 3);
  exchanges_[3].lock()->Set("w", {});
  world_.RunFor(milliseconds(500));
  ExpectOthersSee(0, 3);
}

TEST_F(LoadExchangeTest, AZoneOfFiftyGatewaysKnowsOfWaitingPromptsWithinTensOfMilliseconds) {
  StartFleet(150);
  world_.RunFor(seconds(3));
  exchanges_[3].lock()->Set("w", {2, 5000});  // zone a
  world_.RunFor(milliseconds(50));
  for (size_t i = 0; i < exchanges_.size(); i += 3) {
    if (i == 3) continue;
    EXPECT_EQ(OthersAt(i), 2U) << hosts_[i]->name();
  }
}

TEST_F(LoadExchangeTest, ABusyGatewayOfALargeZoneKeepsToItsDatagrams) {
  StartFleet(150);
  world_.RunFor(seconds(3));
  uint64_t datagrams = 0;
  hosts_[3]->runtime()->transport->SetReceiver(runtime::SERVICE_TRAFFIC,
                                               [&datagrams](const runtime::Envelope& envelope) {
                                                 if (envelope.from_node() == "g100") ++datagrams;
                                               });
  for (uint32_t i = 0; i < 1000; ++i) {
    exchanges_[0].lock()->Set("w", {i, uint64_t{5000} * i});
    world_.RunFor(milliseconds(2));
  }
  // 49 peers at 1,000 datagrams a second: told every 49 ms, over two seconds.
  EXPECT_GE(datagrams, 30U);
  EXPECT_LE(datagrams, 45U);
}

TEST_F(LoadExchangeTest, ACollectorOfALargeFleetKeepsToItsShareOfTheLink) {
  StartFleet(240);
  world_.RunFor(seconds(3));
  uint64_t bytes = 0;
  // A member of zone a, whose collector is g100.
  hosts_[3]->runtime()->transport->SetReceiver(runtime::SERVICE_TRAFFIC,
                                               [&bytes](const runtime::Envelope& envelope) {
                                                 if (envelope.from_node() == "g100")
                                                   bytes += envelope.ByteSizeLong();
                                               });
  for (uint32_t step = 0; step < 200; ++step) {
    for (size_t i = 0; i < exchanges_.size(); ++i) {
      const std::string worker = "worker-" + std::to_string((i + step) % 160);
      exchanges_[i].lock()->Set(worker, {step % 7, uint64_t{3000} * (step % 5)});
    }
    world_.RunFor(milliseconds(20));
  }
  // 250 KB/s to 79 members, over four seconds and one period; without a bound it is several times
  // that.
  EXPECT_LE(bytes, 4U * 250'000 / 79 * 3 / 2);
  EXPECT_GE(bytes, 4U * 250'000 / 79 / 4);
}

TEST_F(LoadExchangeTest, InALargeZoneTheSumsComeByWayOfItsCollector) {
  StartFleet(240);
  world_.RunFor(seconds(3));
  for (const auto& exchange : exchanges_) exchange.lock()->Set("w", {2, 5000});
  world_.RunFor(milliseconds(600));
  ExpectEachSees(480, 2);
  for (const auto& exchange : exchanges_) exchange.lock()->Set("w", {});
  world_.RunFor(milliseconds(600));
  ExpectEachSees(0, 0);
}

TEST_F(LoadExchangeTest, CollectorsFindingsOfAStoreReachEveryGatewayAndEndWithIt) {
  StartFleet(40);
  std::vector<int> alive(40, -1);
  for (size_t i = 0; i < exchanges_.size(); ++i) {
    exchanges_[i].lock()->OnStore(
        [&alive, i](const std::string&, bool answers) { alive[i] = answers ? 1 : 0; });
  }
  world_.RunFor(seconds(3));
  for (const auto& exchange : exchanges_) {
    if (exchange.lock()->IsCollector()) exchange.lock()->SetStore("store:1", true);
  }
  world_.RunFor(milliseconds(300));
  EXPECT_EQ(alive, std::vector<int>(40, 1));
  std::fill(alive.begin(), alive.end(), -1);
  world_.RunFor(seconds(4));  // nobody watches it any more
  std::fill(alive.begin(), alive.end(), -1);
  world_.RunFor(seconds(3));
  EXPECT_EQ(alive, std::vector<int>(40, -1));
}

TEST_F(LoadExchangeTest, APromptThatIsBeingReadIsAnnouncedToAllInASmallFleet) {
  StartFleet(8);
  world_.RunFor(seconds(3));
  EXPECT_EQ(HeardOfAPrompt(2, milliseconds(50)), 7U);
}

TEST_F(LoadExchangeTest, InALargeFleetTheCollectorsPassAnnouncementsOn) {
  StartFleet(40);
  world_.RunFor(seconds(3));
  EXPECT_EQ(HeardOfAPrompt(3, milliseconds(40)), 13U);  // its own zone
  EXPECT_EQ(HeardOfAPrompt(3, milliseconds(400)), 39U);
  EXPECT_EQ(HeardOfAPrompt(0, milliseconds(400)), 39U);  // a collector
}

TEST_F(LoadExchangeTest, InALargeZoneAnnouncementsComeByWayOfItsCollector) {
  StartFleet(240);
  world_.RunFor(seconds(3));
  EXPECT_GE(HeardOfAPrompt(3, milliseconds(600)), 239U);
}

TEST_F(LoadExchangeTest, AFloodOfAnnouncementsIsBounded) {
  StartFleet(3);
  world_.RunFor(seconds(3));
  size_t heard = 0;
  exchanges_[1].lock()->OnPromptStart([&heard](const PromptStart&) { ++heard; });
  for (int i = 0; i < 10000; ++i) exchanges_[0].lock()->Announce({7, 3, "w", milliseconds(250)});
  world_.RunFor(seconds(1));
  EXPECT_EQ(heard, LoadExchangeOptions().max_prompt_starts);
}

TEST_F(LoadExchangeTest, KilledCollectorIsReplacedAndTheDeadAreForgotten) {
  StartFleet(30);
  world_.RunFor(seconds(3));
  for (const auto& exchange : exchanges_) exchange.lock()->Set("w", {1, 10});
  world_.RunFor(seconds(1));
  hosts_[0]->Crash();  // lowest name of its zone
  world_.RunFor(seconds(6));
  ExpectEachSees(29, 1);
}

TEST_F(LoadExchangeTest, LostDatagramsAreMadeGoodByTheNextRefresh) {
  simulation::NetworkBehaviour network;
  network.loss = 0.3;
  world_.SetNetwork(network);
  StartFleet(6);
  world_.RunFor(seconds(1));
  for (const auto& exchange : exchanges_) exchange.lock()->Set("w", {1, 10});
  world_.RunFor(seconds(2));
  world_.SetNetwork({});
  world_.RunFor(milliseconds(1500));
  ExpectEachSees(6, 1);
}

}  // namespace
}  // namespace posthatch::traffic
