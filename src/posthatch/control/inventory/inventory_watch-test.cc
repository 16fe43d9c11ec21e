#include "posthatch/control/inventory/inventory_watch.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/control/state/inventory_state.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kZones = 6;
constexpr runtime::Duration kDrainBound = seconds(4);
constexpr runtime::Duration kStaleAge = milliseconds(2500);
// What the gateways are told of the cap, which may be wrong.
constexpr double kBelievedRate = 1000;

// What the controllers told a gateway when they were last heard from.
class SilentControllers : public FleetView {
 public:
  SilentControllers(const runtime::Clock* clock, const Inventory& inventory) : clock_(clock) {
    *state_.mutable_inventory() = inventory;
    heard_at_ = clock->Now();
  }
  bool LeaseValid() const override { return false; }
  runtime::MonotonicTime lease_expiry() const override { return {}; }
  const FleetState& state() const override { return state_; }
  runtime::Duration InventoryAge() const override { return clock_->Now() - heard_at_; }
  void AddListener(Listener) override {}

  FleetState state_;
  runtime::MonotonicTime heard_at_;

 private:
  const runtime::Clock* const clock_;
};

struct WatchingGateway {
  WatchingGateway(runtime::Runtime* host_runtime, const Inventory& told,
                  const InventoryWatchOptions& options)
      : view(host_runtime->clock, told), watch(host_runtime, options, &view) {
    watch.Start();
  }
  bool KnowsAsDraining(const std::string& id) const {
    const Inventory& list =
        watch.local_snapshot() == nullptr ? view.state().inventory() : *watch.local_snapshot();
    for (const Backend& backend : list.backends()) {
      if (backend.id() == id) return backend.draining();
    }
    return false;
  }
  SilentControllers view;
  InventoryWatch watch;
};

// The platform's list: some workers, and a cap on the calls of all together.
class ListServer {
 public:
  ListServer(runtime::Runtime* runtime, const std::string& endpoint, double calls_per_second)
      : runtime_(runtime), calls_per_second_(calls_per_second) {
    server_ = *runtime->http_servers->Listen(
        endpoint, {}, [this](const http::Request&, auto writer) { Answer(writer.get()); });
  }
  uint64_t calls = 0;
  uint64_t refused = 0;
  std::set<std::string> draining;

 private:
  void Answer(http::ResponseWriter* writer) {
    ++calls;
    const runtime::MonotonicTime now = runtime_->clock->Now();
    if (now - second_ >= seconds(1)) {
      second_ = now;
      in_second_ = 0;
    }
    http::Response response;
    if (++in_second_ > calls_per_second_) {
      ++refused;
      response.status = 429;
      return writer->SendResponse(response);
    }
    response.body = R"({"backends":[)";
    for (int i = 0; i < 20; ++i) {
      const std::string id = absl::StrCat("w", i);
      absl::StrAppend(&response.body, i == 0 ? "" : ",", R"({"id":")", id,
                      R"(","kind":"worker","endpoint":"10.9.0.1:1","zone":"z0","draining":)",
                      draining.contains(id) ? "true}" : "false}");
    }
    response.body += "]}";
    writer->SendResponse(response);
  }

  runtime::Runtime* const runtime_;
  const double calls_per_second_;
  runtime::MonotonicTime second_;
  double in_second_ = 0;
  std::unique_ptr<http::HttpServer> server_;
};

// Gateways of several zones, none of which hears of the controllers any more.
class BlindFleet {
 public:
  BlindFleet(uint64_t seed, int gateways, double calls_per_second, bool by_zone = true)
      : world(seed) {
    for (int i = 0; i < 20; ++i) {
      Backend* backend = told_.add_backends();
      backend->set_id(absl::StrCat("w", i));
      backend->set_kind(BACKEND_KIND_WORKER);
    }
    SortBackends(&told_);
    told_.set_version(7);
    simulation::SimHost* list = world.AddHost("list", "z0", "10.0.3.1");
    list->SetBoot([this, list, calls_per_second](runtime::Runtime* runtime) {
      auto process = std::make_shared<ListServer>(runtime, list->http_endpoint(), calls_per_second);
      server = process.get();
      return process;
    });
    for (int i = 0; i < gateways; ++i) AddGateway(i, gateways, by_zone);
    for (simulation::SimHost* host : world.hosts()) host->Start();
  }

  WatchingGateway* Gateway(const simulation::SimHost* host) const {
    return gateways_.at(host).lock().get();
  }
  // How long every running gateway takes to know of a mark that the list shows from now on.
  runtime::Duration TimeUntilAllKnow(const std::string& worker) {
    server->draining.insert(worker);
    const runtime::MonotonicTime shown = world.Now();
    const auto all_know = [this, &worker] {
      for (const simulation::SimHost* host : hosts) {
        if (silenced.contains(host->name())) continue;
        if (!Gateway(host)->KnowsAsDraining(worker)) return false;
      }
      return true;
    };
    while (!all_know() && world.Now() - shown < seconds(20)) world.RunFor(milliseconds(50));
    return world.Now() - shown;
  }

  simulation::SimWorld world;
  ListServer* server = nullptr;
  std::vector<simulation::SimHost*> hosts;
  std::set<std::string> silenced;

 private:
  void AddGateway(int number, int gateways, bool by_zone) {
    const std::string zone = absl::StrCat("z", number % kZones);
    simulation::SimHost* host =
        world.AddHost(absl::StrCat("g", 1000 + number), zone,
                      absl::StrCat("10.1.", number / 200, ".", number % 200 + 1));
    hosts.push_back(host);
    host->SetBoot([=, this](runtime::Runtime* runtime) {
      InventoryWatchOptions options;
      options.endpoint = "10.0.3.1:8080";
      options.stale_age = kStaleAge;
      options.reads_per_second = kBelievedRate;
      options.live_gateways = [gateways] { return static_cast<uint32_t>(gateways); };
      if (by_zone) options.zone_peers = [this, host] { return PeersOf(host); };
      auto process = std::make_shared<WatchingGateway>(runtime, told_, options);
      gateways_[host] = process;
      return process;
    });
  }
  std::vector<ZonePeer> PeersOf(const simulation::SimHost* self) const {
    std::vector<ZonePeer> peers;
    for (const simulation::SimHost* host : hosts) {
      if (host == self || host->zone() != self->zone()) continue;
      peers.push_back({host->name(), host->internal_endpoint()});
    }
    return peers;
  }

  Inventory told_;
  std::map<const simulation::SimHost*, std::weak_ptr<WatchingGateway>> gateways_;
};

class InventoryWatchTest : public testing::TestWithParam<uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, InventoryWatchTest, testing::Range<uint64_t>(1, 6));

TEST_P(InventoryWatchTest, ALargeBlindFleetReadsTheListOnceAZone) {
  BlindFleet fleet(GetParam(), 300, /*calls_per_second=*/100);
  fleet.world.RunFor(seconds(5));
  EXPECT_LT(fleet.TimeUntilAllKnow("w3"), kDrainBound);
  fleet.world.RunFor(seconds(10));
  // One reader a zone, once a second, over at most 19 s.
  EXPECT_LE(fleet.server->calls, 2U * kZones * 19);
  EXPECT_EQ(fleet.server->refused, 0U);
}

TEST_P(InventoryWatchTest, ReadersThatAreFrozenOrCutOffAreReplacedWithinTheBound) {
  BlindFleet fleet(GetParam(), 300, /*calls_per_second=*/100);
  fleet.world.RunFor(seconds(5));
  // The first gateway of each zone freezes; the second can't reach the platform.
  for (int zone = 0; zone < kZones; ++zone) {
    fleet.hosts[zone]->Freeze();
    fleet.silenced.insert(fleet.hosts[zone]->name());
    fleet.world.Partition(fleet.hosts[kZones + zone]->name(), "list");
  }
  EXPECT_LT(fleet.TimeUntilAllKnow("w3"), kDrainBound);
}

TEST_P(InventoryWatchTest, ListsOfOtherVersionsAreToldWhole) {
  BlindFleet fleet(GetParam(), 24, /*calls_per_second=*/100);
  for (size_t i = 0; i < fleet.hosts.size(); i += 2) {
    SilentControllers& view = fleet.Gateway(fleet.hosts[i])->view;
    view.state_.mutable_inventory()->mutable_backends()->DeleteSubrange(0, 5);
    view.state_.mutable_inventory()->set_version(i);
  }
  fleet.world.RunFor(seconds(5));
  EXPECT_LT(fleet.TimeUntilAllKnow("w0"), kDrainBound);
  for (const simulation::SimHost* host : fleet.hosts) {
    EXPECT_EQ(fleet.Gateway(host)->watch.local_snapshot()->backends_size(), 20);
  }
}

TEST_P(InventoryWatchTest, RefusalsAreAnsweredByPausesThatGrow) {
  BlindFleet fleet(GetParam(), 300, /*calls_per_second=*/0, /*by_zone=*/false);
  fleet.world.RunFor(seconds(5));
  const uint64_t before = fleet.server->calls;
  fleet.world.RunFor(seconds(10));
  // 300 gateways that ask every 4 s and more: 75 a second; without growth 900 a second.
  EXPECT_LE(fleet.server->calls - before, 900U);
}

TEST_P(InventoryWatchTest, ALeaderThatIsHeardFromAgainEndsTheOwnReadings) {
  BlindFleet fleet(GetParam(), 60, /*calls_per_second=*/100);
  fleet.world.RunFor(seconds(5));
  for (const simulation::SimHost* host : fleet.hosts) {
    SilentControllers& view = fleet.Gateway(host)->view;
    view.heard_at_ = fleet.world.Now() + seconds(60);  // and goes on
  }
  fleet.world.RunFor(seconds(1));
  const uint64_t before = fleet.server->calls;
  fleet.world.RunFor(seconds(10));
  EXPECT_EQ(fleet.server->calls, before);
  for (const simulation::SimHost* host : fleet.hosts) {
    EXPECT_EQ(fleet.Gateway(host)->watch.local_snapshot(), nullptr);
  }
}

}  // namespace
}  // namespace posthatch::control
