// Index updates in a large fleet: gateways of several zones in the simulator, each with the
// fan-out that sends updates to all others.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/index/replication/index_update_fanout.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::index {
namespace {

using simulation::SimHost;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct RelayingGateway {
  RelayingGateway(runtime::Runtime* runtime, const std::string& zone,
                  IndexUpdateFanout::Peers peers)
      : fanout(runtime, {.zone = zone}, std::move(peers)) {
    runtime->transport->SetReceiver(
        runtime::SERVICE_INDEX, [this](const runtime::Envelope& envelope) { Receive(envelope); });
  }
  void Receive(const runtime::Envelope& envelope) {
    IndexMessage message;
    ASSERT_TRUE(message.ParseFromString(envelope.payload()));
    if (message.has_update()) RecordUpdate(envelope.from_incarnation(), message.update());
    if (message.has_to_forward()) {
      ++forwarded;
      RecordUpdate(envelope.from_incarnation(), message.to_forward());
      fanout.Forward(envelope.from_incarnation(), message.to_forward());
    }
    for (const RelayedUpdate& relayed : message.relayed().updates()) {
      RecordUpdate(relayed.from_incarnation(), relayed.update());
    }
  }
  void RecordUpdate(uint64_t incarnation, const IndexUpdate& update) {
    update_numbers[update.holder()].push_back(update.update());
    incarnations[update.holder()].insert(incarnation);
  }

  IndexUpdateFanout fanout;
  std::map<std::string, std::vector<uint64_t>> update_numbers;  // keyed by holder, in arrival order
  std::map<std::string, std::set<uint64_t>> incarnations;
  int forwarded = 0;
};

class IndexRelayTest : public testing::TestWithParam<uint64_t> {
 protected:
  IndexRelayTest() : world_(GetParam()) {}

  void AddZones(int zones, int gateways_of_zone) {
    for (int zone = 0; zone < zones; ++zone) {
      for (int i = 0; i < gateways_of_zone; ++i) AddGateway(zone, i);
    }
    for (SimHost* host : hosts_) host->Start();
    world_.RunFor(milliseconds(10));
  }
  RelayingGateway* Gateway(const SimHost* host) { return gateways_.at(host).lock().get(); }
  RelayingGateway* Gateway(size_t number) { return Gateway(hosts_[number]); }
  void Send(size_t gateway, const std::string& holder, uint64_t number) {
    IndexUpdate update;
    update.set_holder(holder);
    update.set_update(number);
    update.set_removed(std::string(64, 'x'));
    Gateway(gateway)->fanout.Send(update);
  }
  int TotalForwarded() {
    int sum = 0;
    for (const SimHost* host : hosts_) sum += Gateway(host)->forwarded;
    return sum;
  }

  simulation::SimWorld world_;
  std::vector<SimHost*> hosts_;
  std::set<const SimHost*> removed_hosts_;  // hosts that membership has removed

 private:
  void AddGateway(int zone, int number) {
    SimHost* host = world_.AddHost(absl::StrCat("g", zone, "-", number), absl::StrCat("z", zone),
                                   absl::StrCat("10.", zone, ".0.", number + 1));
    hosts_.push_back(host);
    host->SetBoot([this, host](runtime::Runtime* runtime) {
      auto gateway = std::make_shared<RelayingGateway>(runtime, host->zone(), [this, host] {
        std::vector<IndexPeer> peers;
        for (const SimHost* other : hosts_) {
          if (other == host || removed_hosts_.contains(other)) continue;
          peers.push_back({other->name(), other->zone(), other->internal_endpoint()});
        }
        return peers;
      });
      gateways_[host] = gateway;
      return gateway;
    });
  }

  std::map<const SimHost*, std::weak_ptr<RelayingGateway>> gateways_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, IndexRelayTest, testing::Range<uint64_t>(1, 6));

TEST_P(IndexRelayTest, DeliversEachUpdateOnceInOrder) {
  constexpr int kZones = 6;
  AddZones(kZones, 50);
  for (uint64_t number = 1; number <= 5; ++number) {
    for (int holder = 0; holder < 8; ++holder) Send(holder, absl::StrCat("w", holder), number);
    world_.RunFor(milliseconds(100));
  }
  world_.RunFor(seconds(1));
  for (size_t i = 0; i < hosts_.size(); ++i) {
    for (int holder = 0; holder < 8; ++holder) {
      if (i == static_cast<size_t>(holder)) continue;
      const std::string name = absl::StrCat("w", holder);
      EXPECT_EQ(Gateway(i)->update_numbers[name], std::vector<uint64_t>({1, 2, 3, 4, 5}))
          << hosts_[i]->name() << " of " << name;
      EXPECT_EQ(Gateway(i)->incarnations[name],
                std::set<uint64_t>{hosts_[holder]->runtime()->transport->incarnation()});
    }
  }
  EXPECT_EQ(TotalForwarded(), 5 * 8 * kZones) << "one message per zone and update";
  EXPECT_EQ(Gateway(0UL)->fanout.recipients(), static_cast<size_t>(kZones));
}

TEST_P(IndexRelayTest, FailedRelayIsReplaced) {
  AddZones(3, 20);
  Send(0, "w", 1);
  world_.RunFor(seconds(1));
  const SimHost* relay = nullptr;
  for (SimHost* host : hosts_) {
    if (host->zone() == "z2" && Gateway(host)->forwarded > 0) relay = host;
  }
  ASSERT_NE(relay, nullptr);
  world_.FindHost(relay->name())->Crash();
  Send(0, "w", 2);
  world_.RunFor(seconds(1));
  removed_hosts_.insert(relay);
  Send(0, "w", 3);
  world_.RunFor(seconds(1));
  for (SimHost* host : hosts_) {
    if (host == relay || host == hosts_[0]) continue;
    // The second update is missing, which the receivers detect by its number.
    const bool had_relay = host->zone() == "z2";
    const std::vector<uint64_t> expected =
        had_relay ? std::vector<uint64_t>({1, 3}) : std::vector<uint64_t>({1, 2, 3});
    EXPECT_EQ(Gateway(host)->update_numbers["w"], expected) << host->name();
  }
}

TEST_P(IndexRelayTest, SmallZonesGetUpdatesDirectly) {
  AddZones(4, 5);
  Send(0, "w", 1);
  world_.RunFor(seconds(1));
  EXPECT_EQ(TotalForwarded(), 0);
  for (size_t i = 1; i < hosts_.size(); ++i) {
    EXPECT_EQ(Gateway(i)->update_numbers["w"], std::vector<uint64_t>({1}));
  }
}

TEST_P(IndexRelayTest, QuarterOfZoneRelays) {
  AddZones(2, 20);
  for (int holder = 0; holder < 100; ++holder) Send(0, absl::StrCat("w", holder), 1);
  world_.RunFor(seconds(1));
  int max_forwarded = 0;
  std::map<std::string, int> relays;
  for (const SimHost* host : hosts_) {
    max_forwarded = std::max(max_forwarded, Gateway(host)->forwarded);
    if (Gateway(host)->forwarded > 0) ++relays[host->zone()];
  }
  EXPECT_EQ(TotalForwarded(), 2 * 100);
  EXPECT_LE(relays["z0"], 5);
  EXPECT_GE(relays["z0"], 3);
  EXPECT_EQ(relays["z1"], 5);
  EXPECT_LT(max_forwarded, 50) << "the average is 20";
}

}  // namespace
}  // namespace posthatch::index
