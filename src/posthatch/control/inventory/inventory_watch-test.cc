#include "posthatch/control/inventory/inventory_watch.h"

#include <gtest/gtest.h>

#include <functional>
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
// Rate limit in the gateways' settings, higher than the platform's actual limit.
constexpr double kConfiguredRate = 1000;

// The last state that a gateway received before the controllers became unreachable.
class StaleFleetView : public FleetView {
 public:
  StaleFleetView(const runtime::Clock* clock, const Inventory& inventory) : clock_(clock) {
    *fleet.mutable_inventory() = inventory;
    inventory_requested_at = clock->Now();
  }
  bool LeaseValid() const override { return false; }
  runtime::MonotonicTime lease_expiry() const override { return {}; }
  const FleetState& state() const override { return fleet; }
  runtime::Duration InventoryAge() const override { return clock_->Now() - inventory_requested_at; }
  const RevisionTimeline& revision_timeline() const override { return revisions; }
  void AddListener(Listener) override {}

  FleetState fleet;
  RevisionTimeline revisions;
  runtime::MonotonicTime inventory_requested_at;

 private:
  const runtime::Clock* const clock_;
};

// A gateway that consists of an InventoryWatch only.
struct WatchingGateway : InventoryWatchHost {
  using PeersSource = std::function<std::vector<ZonePeer>()>;

  WatchingGateway(runtime::Runtime* host_runtime, const Inventory& inventory,
                  const InventoryWatchOptions& options, uint32_t fleet_size, PeersSource peers)
      : live_gateways(fleet_size),
        zone_peers(std::move(peers)),
        view(host_runtime->clock, inventory),
        watch(host_runtime, options, this, &view) {
    watch.Start();
  }
  uint32_t LiveGateways() override { return live_gateways; }
  std::vector<ZonePeer> ZonePeers() const override { return zone_peers(); }
  bool NeedsInventory() const override { return true; }
  void OnLocalSnapshotChange() override {}
  void OnInventoryRead(InventoryReadResult) override {}

  bool SeesDraining(const std::string& id) const {
    const Inventory& newest_inventory =
        watch.local_snapshot() == nullptr ? view.state().inventory() : *watch.local_snapshot();
    for (const Backend& backend : newest_inventory.backends()) {
      if (backend.id() == id) return backend.draining();
    }
    return false;
  }
  const uint32_t live_gateways;
  const PeersSource zone_peers;
  StaleFleetView view;
  InventoryWatch watch;
};

// Serves the platform's inventory: 20 workers, with a rate limit over all callers.
class FakeInventoryServer {
 public:
  FakeInventoryServer(runtime::Runtime* runtime, const std::string& endpoint,
                      double calls_per_second)
      : runtime_(runtime), calls_per_second_(calls_per_second) {
    server_ = *runtime->http_servers->Listen(
        endpoint, {}, [this](const http::Request&, auto writer) { Respond(writer.get()); });
  }
  uint64_t calls = 0;
  uint64_t rate_limited = 0;
  std::set<std::string> draining;

 private:
  void Respond(http::ResponseWriter* writer) {
    ++calls;
    const runtime::MonotonicTime now = runtime_->clock->Now();
    if (now - window_start_ >= seconds(1)) {
      window_start_ = now;
      calls_in_window_ = 0;
    }
    http::Response response;
    if (++calls_in_window_ > calls_per_second_) {
      ++rate_limited;
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
  runtime::MonotonicTime window_start_;
  double calls_in_window_ = 0;
  std::unique_ptr<http::HttpServer> server_;
};

// Gateways of several zones that can't reach the controllers.
class FleetWithoutControllers {
 public:
  FleetWithoutControllers(uint64_t seed, int gateways, double calls_per_second,
                          bool share_within_zone = true)
      : world(seed) {
    for (int i = 0; i < 20; ++i) {
      Backend* backend = initial_inventory_.add_backends();
      backend->set_id(absl::StrCat("w", i));
      backend->set_kind(BACKEND_KIND_WORKER);
    }
    SortBackends(&initial_inventory_);
    initial_inventory_.set_version(7);
    simulation::SimHost* inventory_host = world.AddHost("list", "z0", "10.0.3.1");
    inventory_host->SetBoot([this, inventory_host, calls_per_second](runtime::Runtime* runtime) {
      auto process = std::make_shared<FakeInventoryServer>(runtime, inventory_host->http_endpoint(),
                                                           calls_per_second);
      server = process.get();
      return process;
    });
    for (int i = 0; i < gateways; ++i) AddGateway(i, gateways, share_within_zone);
    for (simulation::SimHost* host : world.hosts()) host->Start();
  }

  WatchingGateway* Gateway(const simulation::SimHost* host) const {
    return gateways_.at(host).lock().get();
  }
  // Marks `worker` as draining in the platform's inventory; returns how long it takes until every
  // running gateway sees that.
  runtime::Duration TimeUntilAllSeeDraining(const std::string& worker) {
    server->draining.insert(worker);
    const runtime::MonotonicTime marked_at = world.Now();
    const auto all_see = [this, &worker] {
      for (const simulation::SimHost* host : hosts) {
        if (frozen.contains(host->name())) continue;
        if (!Gateway(host)->SeesDraining(worker)) return false;
      }
      return true;
    };
    while (!all_see() && world.Now() - marked_at < seconds(20)) world.RunFor(milliseconds(50));
    return world.Now() - marked_at;
  }

  simulation::SimWorld world;
  FakeInventoryServer* server = nullptr;
  std::vector<simulation::SimHost*> hosts;
  std::set<std::string> frozen;

 private:
  void AddGateway(int number, int gateways, bool share_within_zone) {
    const std::string zone = absl::StrCat("z", number % kZones);
    simulation::SimHost* host =
        world.AddHost(absl::StrCat("g", 1000 + number), zone,
                      absl::StrCat("10.1.", number / 200, ".", number % 200 + 1));
    hosts.push_back(host);
    host->SetBoot([=, this](runtime::Runtime* runtime) {
      InventoryWatchOptions options;
      options.endpoint = "10.0.3.1:8080";
      options.stale_age = kStaleAge;
      options.reads_per_second = kConfiguredRate;
      options.share_within_zone = share_within_zone;
      auto process = std::make_shared<WatchingGateway>(runtime, initial_inventory_, options,
                                                       static_cast<uint32_t>(gateways),
                                                       [this, host] { return PeersOf(host); });
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

  Inventory initial_inventory_;
  std::map<const simulation::SimHost*, std::weak_ptr<WatchingGateway>> gateways_;
};

class InventoryWatchTest : public testing::TestWithParam<uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, InventoryWatchTest, testing::Range<uint64_t>(1, 6));

TEST_P(InventoryWatchTest, LargeFleetReadsOncePerZone) {
  FleetWithoutControllers fleet(GetParam(), 300, /*calls_per_second=*/100);
  fleet.world.RunFor(seconds(5));
  EXPECT_LT(fleet.TimeUntilAllSeeDraining("w3"), kDrainBound);
  fleet.world.RunFor(seconds(10));
  // One reader per zone and one read per second, over at most 19 s.
  EXPECT_LE(fleet.server->calls, 2U * kZones * 19);
  EXPECT_EQ(fleet.server->rate_limited, 0U);
}

TEST_P(InventoryWatchTest, FrozenOrPartitionedReadersAreReplacedWithinDrainBound) {
  FleetWithoutControllers fleet(GetParam(), 300, /*calls_per_second=*/100);
  fleet.world.RunFor(seconds(5));
  // In each zone the first gateway freezes and the second one can't reach the platform.
  for (int zone = 0; zone < kZones; ++zone) {
    fleet.hosts[zone]->Freeze();
    fleet.frozen.insert(fleet.hosts[zone]->name());
    fleet.world.Partition(fleet.hosts[kZones + zone]->name(), "list");
  }
  EXPECT_LT(fleet.TimeUntilAllSeeDraining("w3"), kDrainBound);
}

TEST_P(InventoryWatchTest, SendsCompleteInventoryWhenVersionsDiffer) {
  FleetWithoutControllers fleet(GetParam(), 24, /*calls_per_second=*/100);
  for (size_t i = 0; i < fleet.hosts.size(); i += 2) {
    StaleFleetView& view = fleet.Gateway(fleet.hosts[i])->view;
    view.fleet.mutable_inventory()->mutable_backends()->DeleteSubrange(0, 5);
    view.fleet.mutable_inventory()->set_version(i);
  }
  fleet.world.RunFor(seconds(5));
  EXPECT_LT(fleet.TimeUntilAllSeeDraining("w0"), kDrainBound);
  for (const simulation::SimHost* host : fleet.hosts) {
    EXPECT_EQ(fleet.Gateway(host)->watch.local_snapshot()->backends_size(), 20);
  }
}

TEST_P(InventoryWatchTest, BacksOffExponentiallyWhenRateLimited) {
  FleetWithoutControllers fleet(GetParam(), 300, /*calls_per_second=*/0,
                                /*share_within_zone=*/false);
  fleet.world.RunFor(seconds(5));
  const uint64_t before = fleet.server->calls;
  fleet.world.RunFor(seconds(10));
  // 300 gateways at a backoff of 4 s and more make 75 calls per second; without growth it would be
  // 900.
  EXPECT_LE(fleet.server->calls - before, 900U);
}

TEST_P(InventoryWatchTest, StopsReadingOnceLeaderIsFresh) {
  FleetWithoutControllers fleet(GetParam(), 60, /*calls_per_second=*/100);
  fleet.world.RunFor(seconds(5));
  for (const simulation::SimHost* host : fleet.hosts) {
    StaleFleetView& view = fleet.Gateway(host)->view;
    view.inventory_requested_at = fleet.world.Now() + seconds(60);  // stays fresh
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
