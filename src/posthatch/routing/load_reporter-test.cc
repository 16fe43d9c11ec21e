#include "posthatch/routing/load_reporter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/simulation/sim_world.h"

namespace posthatch::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A fleet of gateways in three zones, each with its reporter, in simulated time.
class LoadReporterTest : public testing::Test {
 protected:
  void StartFleet(int gateways) {
    for (int i = 0; i < gateways; ++i) {
      const std::string zone(1, static_cast<char>('a' + i % 3));
      simulation::SimHost* host =
          world_.AddHost("g" + std::to_string(100 + i), zone, "10.0.0." + std::to_string(i + 1));
      hosts_.push_back(host);
      reporters_.emplace_back();
      host->SetBoot([this, i, zone, host](runtime::Runtime* runtime) {
        LoadReporterOptions options;
        options.zone = zone;
        auto reporter = std::make_shared<LoadReporter>(runtime, options,
                                                       [this, host] { return PeersOf(host); });
        reporters_[static_cast<size_t>(i)] = reporter;
        return reporter;
      });
      host->Start();
    }
  }

  // The running gateways, as membership would list them.
  std::vector<LoadPeer> PeersOf(const simulation::SimHost* self) const {
    std::vector<LoadPeer> peers;
    for (const simulation::SimHost* host : hosts_) {
      if (host == self || !host->running()) continue;
      peers.push_back({host->name(), host->zone(), host->internal_endpoint()});
    }
    return peers;
  }

  uint32_t RemoteLoadAt(size_t gateway) const {
    return reporters_[gateway].lock()->RemoteLoad("w").in_flight;
  }

  void ExpectEachSees(uint32_t total, uint32_t local) {
    for (size_t i = 0; i < reporters_.size(); ++i) {
      if (!hosts_[i]->running()) continue;
      EXPECT_EQ(RemoteLoadAt(i), total - local) << hosts_[i]->name();
    }
  }

  void ExpectOthersSee(uint32_t load, size_t except) {
    for (size_t i = 0; i < reporters_.size(); ++i) {
      if (i == except) continue;
      EXPECT_EQ(RemoteLoadAt(i), load) << hosts_[i]->name();
    }
  }

  // How many gateways receive a prefill start that `sender` announces, within `time`.
  size_t GatewaysReachedByPrefill(size_t sender, std::chrono::milliseconds time) {
    std::vector<int> received(reporters_.size(), 0);
    for (size_t i = 0; i < reporters_.size(); ++i) {
      reporters_[i].lock()->SetPrefillObserver([&received, i](const PrefillStart& start) {
        EXPECT_EQ(start.worker_id, "w");
        EXPECT_EQ(start.affinity, 7U);
        EXPECT_EQ(start.revision, 3U);
        EXPECT_EQ(start.ready_in, milliseconds(250));
        ++received[i];
      });
    }
    reporters_[sender].lock()->AnnouncePrefill({7, 3, "w", milliseconds(250)});
    world_.RunFor(time);
    for (const auto& reporter : reporters_) reporter.lock()->SetPrefillObserver({});
    world_.RunFor(seconds(1));  // includes announcements forwarded after `time`
    EXPECT_EQ(std::count_if(received.begin(), received.end(), [](int times) { return times > 1; }),
              0);
    return static_cast<size_t>(std::count(received.begin(), received.end(), 1));
  }

  simulation::SimWorld world_{11};
  std::vector<simulation::SimHost*> hosts_;
  std::vector<std::weak_ptr<LoadReporter>> reporters_;
};

TEST_F(LoadReporterTest, SmallFleetReportsPendingTokensWithin50Ms) {
  StartFleet(8);
  world_.RunFor(seconds(1));
  for (const auto& reporter : reporters_) reporter.lock()->SetLocalLoad("w", {2, 5000});
  world_.RunFor(milliseconds(50));
  ExpectEachSees(16, 2);
  for (const auto& reporter : reporters_) reporter.lock()->SetLocalLoad("w", {});
  world_.RunFor(milliseconds(50));
  ExpectEachSees(0, 0);
}

TEST_F(LoadReporterTest, SmallChangesAreReportedLater) {
  StartFleet(8);
  world_.RunFor(milliseconds(1500));
  for (const auto& reporter : reporters_) reporter.lock()->SetLocalLoad("w", {2, 100});
  world_.RunFor(milliseconds(50));
  ExpectEachSees(2, 2);
  world_.RunFor(milliseconds(200));
  ExpectEachSees(16, 2);
}

TEST_F(LoadReporterTest, LargeFleetReportsAcrossZonesByAggregators) {
  StartFleet(40);
  world_.RunFor(seconds(3));
  reporters_[3].lock()->SetLocalLoad("w", {2, 5000});  // zone a
  world_.RunFor(milliseconds(50));
  EXPECT_EQ(RemoteLoadAt(6), 2U);
  EXPECT_FALSE(reporters_[6].lock()->IsAggregator());
  world_.RunFor(milliseconds(400));
  ExpectOthersSee(2, 3);
  reporters_[3].lock()->SetLocalLoad("w", {});
  world_.RunFor(milliseconds(500));
  ExpectOthersSee(0, 3);
}

TEST_F(LoadReporterTest, ZoneOf50ReportsDirectlyWithin50Ms) {
  StartFleet(150);
  world_.RunFor(seconds(3));
  reporters_[3].lock()->SetLocalLoad("w", {2, 5000});  // zone a
  world_.RunFor(milliseconds(50));
  for (size_t i = 0; i < reporters_.size(); i += 3) {
    if (i == 3) continue;
    EXPECT_EQ(RemoteLoadAt(i), 2U) << hosts_[i]->name();
  }
}

TEST_F(LoadReporterTest, DatagramRateIsBounded) {
  StartFleet(150);
  world_.RunFor(seconds(3));
  uint64_t datagrams = 0;
  hosts_[3]->runtime()->transport->SetReceiver(runtime::SERVICE_TRAFFIC,
                                               [&datagrams](const runtime::Envelope& envelope) {
                                                 if (envelope.from_node() == "g100") ++datagrams;
                                               });
  for (uint32_t i = 0; i < 1000; ++i) {
    reporters_[0].lock()->SetLocalLoad("w", {i, uint64_t{5000} * i});
    world_.RunFor(milliseconds(2));
  }
  // 49 peers at 1,000 datagrams per second: reported every 49 ms, over two seconds.
  EXPECT_GE(datagrams, 30U);
  EXPECT_LE(datagrams, 45U);
}

TEST_F(LoadReporterTest, AggregatorBandwidthIsBounded) {
  StartFleet(240);
  world_.RunFor(seconds(3));
  uint64_t bytes = 0;
  // A member of zone a, whose aggregator is g100.
  hosts_[3]->runtime()->transport->SetReceiver(runtime::SERVICE_TRAFFIC,
                                               [&bytes](const runtime::Envelope& envelope) {
                                                 if (envelope.from_node() == "g100")
                                                   bytes += envelope.ByteSizeLong();
                                               });
  for (uint32_t step = 0; step < 200; ++step) {
    for (size_t i = 0; i < reporters_.size(); ++i) {
      const std::string worker = "worker-" + std::to_string((i + step) % 160);
      reporters_[i].lock()->SetLocalLoad(worker, {step % 7, uint64_t{3000} * (step % 5)});
    }
    world_.RunFor(milliseconds(20));
  }
  // 250 KB/s to 79 members, over four seconds and one period; without a bound it is several times
  // that.
  EXPECT_LE(bytes, 4U * 250'000 / 79 * 3 / 2);
  EXPECT_GE(bytes, 4U * 250'000 / 79 / 4);
}

TEST_F(LoadReporterTest, LargeZoneReportsSumsByAggregator) {
  StartFleet(240);
  world_.RunFor(seconds(3));
  for (const auto& reporter : reporters_) reporter.lock()->SetLocalLoad("w", {2, 5000});
  world_.RunFor(milliseconds(600));
  ExpectEachSees(480, 2);
  for (const auto& reporter : reporters_) reporter.lock()->SetLocalLoad("w", {});
  world_.RunFor(milliseconds(600));
  ExpectEachSees(0, 0);
}

TEST_F(LoadReporterTest, StoreHealthReachesAllAndExpires) {
  StartFleet(40);
  std::vector<int> alive(40, -1);
  for (size_t i = 0; i < reporters_.size(); ++i) {
    reporters_[i].lock()->SetStoreHealthObserver(
        [&alive, i](const std::string&, bool healthy) { alive[i] = healthy ? 1 : 0; });
  }
  world_.RunFor(seconds(3));
  for (const auto& reporter : reporters_) {
    if (reporter.lock()->IsAggregator()) reporter.lock()->RecordStoreHealth("store:1", true);
  }
  world_.RunFor(milliseconds(300));
  EXPECT_EQ(alive, std::vector<int>(40, 1));
  std::fill(alive.begin(), alive.end(), -1);
  world_.RunFor(seconds(4));  // no gateway checks the store any more
  std::fill(alive.begin(), alive.end(), -1);
  world_.RunFor(seconds(3));
  EXPECT_EQ(alive, std::vector<int>(40, -1));
}

TEST_F(LoadReporterTest, SmallFleetAnnouncesPrefillsToAll) {
  StartFleet(8);
  world_.RunFor(seconds(3));
  EXPECT_EQ(GatewaysReachedByPrefill(2, milliseconds(50)), 7U);
}

TEST_F(LoadReporterTest, AggregatorsForwardAnnouncements) {
  StartFleet(40);
  world_.RunFor(seconds(3));
  EXPECT_EQ(GatewaysReachedByPrefill(3, milliseconds(40)), 13U);  // the rest of the sender's zone
  EXPECT_EQ(GatewaysReachedByPrefill(3, milliseconds(400)), 39U);
  EXPECT_EQ(GatewaysReachedByPrefill(0, milliseconds(400)), 39U);  // from an aggregator
}

TEST_F(LoadReporterTest, LargeZoneAnnouncesByAggregator) {
  StartFleet(240);
  world_.RunFor(seconds(3));
  EXPECT_GE(GatewaysReachedByPrefill(3, milliseconds(600)), 239U);
}

TEST_F(LoadReporterTest, AnnouncementsAreBounded) {
  StartFleet(3);
  world_.RunFor(seconds(3));
  size_t received = 0;
  reporters_[1].lock()->SetPrefillObserver([&received](const PrefillStart&) { ++received; });
  for (int i = 0; i < 10000; ++i)
    reporters_[0].lock()->AnnouncePrefill({7, 3, "w", milliseconds(250)});
  world_.RunFor(seconds(1));
  EXPECT_EQ(received, LoadReporterOptions().max_prefill_starts);
}

TEST_F(LoadReporterTest, CrashedAggregatorIsReplacedAndItsLoadExpires) {
  StartFleet(30);
  world_.RunFor(seconds(3));
  for (const auto& reporter : reporters_) reporter.lock()->SetLocalLoad("w", {1, 10});
  world_.RunFor(seconds(1));
  hosts_[0]->Crash();  // lowest id of its zone: the aggregator
  world_.RunFor(seconds(6));
  ExpectEachSees(29, 1);
}

TEST_F(LoadReporterTest, RefreshRepairsLostDatagrams) {
  simulation::NetworkBehaviour network;
  network.loss = 0.3;
  world_.SetNetwork(network);
  StartFleet(6);
  world_.RunFor(seconds(1));
  for (const auto& reporter : reporters_) reporter.lock()->SetLocalLoad("w", {1, 10});
  world_.RunFor(seconds(2));
  world_.SetNetwork({});
  world_.RunFor(milliseconds(1500));
  ExpectEachSees(6, 1);
}

}  // namespace
}  // namespace posthatch::routing
