// Simulates controllers, relay points and subscribers under faults, and checks externally that no
// subscriber trusts a version for longer than its guarantee X after a newer one was accepted.
#include <gtest/gtest.h>

#include <map>
#include <memory>

#include "absl/strings/str_cat.h"
#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/invalidation_relay.h"
#include "posthatch/invalidation/invalidation_server.h"
#include "posthatch/invalidation/invalidation_subscriber.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::invalidation {
namespace {

using simulation::SimHost;
using simulation::SimWorld;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr runtime::Duration kCheckInterval = milliseconds(20);
constexpr runtime::Duration kLeaderLease = seconds(1);

// Clock of one process, with its own origin and a rate that is up to 200 ppm off.
class SkewedClock : public runtime::Clock {
 public:
  SkewedClock(const runtime::Clock* clock, uint64_t seed)
      : clock_(clock),
        offset_(seconds(seed * 1009 % 100000)),
        rate_error_ppm_(static_cast<int64_t>(seed * 37 % 400) - 200) {}
  runtime::MonotonicTime Now() const override {
    const runtime::MonotonicTime now = clock_->Now();
    return now + offset_ + now.time_since_epoch() / 1'000'000 * rate_error_ppm_;
  }
  int64_t WallNanoseconds() const override { return clock_->WallNanoseconds(); }

 private:
  const runtime::Clock* const clock_;
  const runtime::Duration offset_;
  const int64_t rate_error_ppm_;
};

// Model of the replicated log: the durable versions, and the controller that may serve them.
struct ClusterState {
  struct AcceptedVersion {
    ObjectVersion version;
    runtime::MonotonicTime at;
  };
  std::map<std::string, std::vector<AcceptedVersion>> objects;
  std::string leader;
  uint64_t term = 1;
  runtime::MonotonicTime lease_end;
};

// A controller's replica of the durable versions. The leader applies accepted changes immediately.
class ReplicatedObjects : public ObjectSource {
 public:
  explicit ReplicatedObjects(const ClusterState* cluster) { CatchUp(*cluster); }
  std::vector<RegisteredObject> Objects() const override {
    std::vector<RegisteredObject> all;
    for (const auto& [name, version] : versions_) {
      all.emplace_back().set_object(name);
      *all.back().mutable_version() = version;
    }
    return all;
  }
  bool Find(const std::string& object, ObjectVersion* version) const override {
    const auto found = versions_.find(object);
    if (found == versions_.end()) return false;
    *version = found->second;
    return true;
  }
  void AddListener(Listener listener) override { listeners_.push_back(std::move(listener)); }
  void CatchUp(const ClusterState& cluster) {
    for (const auto& [name, accepted] : cluster.objects) {
      ObjectVersion& version = versions_[name];
      if (CompareVersions(version, accepted.back().version) == 0) continue;
      version = accepted.back().version;
      for (const Listener& listener : listeners_) listener(name, version);
    }
  }

 private:
  std::map<std::string, ObjectVersion> versions_;
  std::vector<Listener> listeners_;
};

struct Process {
  runtime::Runtime runtime;
  std::unique_ptr<SkewedClock> clock;
  std::unique_ptr<ReplicatedObjects> objects;  // controllers only
  std::unique_ptr<InvalidationServer> server;
  std::unique_ptr<InvalidationSubscriber> subscriber;  // gateways only
  std::unique_ptr<InvalidationRelay> relay;
};

class ChannelFleetTest : public testing::TestWithParam<uint64_t> {
 protected:
  static constexpr int kControllers = 3;

  ChannelFleetTest() : world_(GetParam()) {
    for (const char* object : {"worker/w1", "worker/w2", "model/m", "tenant/t", "store/s"}) {
      cluster_.objects[object].push_back({MakeVersion(1, 0), world_.Now()});
    }
    for (int i = 0; i < kControllers; ++i) AddController(absl::StrCat("c", i));
    Elect("c0");
  }

  void AddHost(const std::string& name, const std::function<void(Process*)>& build) {
    SimHost* host = world_.AddHost(name, "z1", absl::StrCat("10.0.0.", ++host_count_));
    const uint64_t seed = GetParam() * 100 + host_count_;
    host->SetBoot([this, name, seed, build](runtime::Runtime* host_runtime) {
      auto process = std::make_shared<Process>();
      process->runtime = *host_runtime;
      process->clock = std::make_unique<SkewedClock>(host_runtime->clock, seed);
      process->runtime.clock = process->clock.get();
      build(process.get());
      processes_[name] = process;
      return process;
    });
    host->Start();
  }
  void AddController(const std::string& name) {
    AddHost(name, [this, name](Process* process) {
      process->objects = std::make_unique<ReplicatedObjects>(&cluster_);
      InvalidationServerOptions options;
      options.publisher.max_direct_registrations = 3;
      process->server = std::make_unique<InvalidationServer>(
          &process->runtime, options, process->objects.get(), [this, name] {
            return ServingState{cluster_.leader == name && world_.Now() < cluster_.lease_end,
                                cluster_.term};
          });
    });
  }
  void AddGateway(const std::string& name, bool relay, const std::string& upstream = "",
                  bool aggregate = false) {
    gateways_.push_back(name);
    AddHost(name, [this, relay, upstream, aggregate](Process* process) {
      InvalidationSubscriberOptions options;
      options.subscription.zone = "z1";
      options.subscription.relay = relay;
      options.subscription.lifetime = seconds(20);
      options.aggregate = aggregate;
      process->subscriber =
          std::make_unique<InvalidationSubscriber>(&process->runtime, options, [this, upstream] {
            std::vector<std::string> endpoints;
            endpoints.reserve(kControllers);
            if (!upstream.empty()) return std::vector<std::string>{Endpoint(upstream)};
            for (int i = 0; i < kControllers; ++i) {
              endpoints.push_back(Endpoint(absl::StrCat("c", i)));
            }
            return endpoints;
          });
      if (relay) {
        process->relay = std::make_unique<InvalidationRelay>(&process->runtime, PublisherOptions(),
                                                             process->subscriber.get());
      }
      process->subscriber->Start();
    });
  }
  std::string Endpoint(const std::string& name) {
    return world_.FindHost(name)->internal_endpoint();
  }
  std::shared_ptr<Process> Find(const std::string& name) { return processes_[name].lock(); }

  void Elect(const std::string& name) {
    cluster_.leader = name;
    ++cluster_.term;
    if (auto process = Find(name)) process->objects->CatchUp(cluster_);
    RenewLeaderLease();
  }
  // Models quorum checks: the leader may serve for kLeaderLease after the last one.
  void RenewLeaderLease() {
    if (IsResponsive(cluster_.leader)) cluster_.lease_end = world_.Now() + kLeaderLease;
  }
  bool IsResponsive(const std::string& name) {
    return world_.FindHost(name)->running() && !frozen_.contains(name);
  }
  // An invalidation is accepted only by a leader that may serve, which applies it immediately.
  void RaiseVersion(const std::string& object) {
    if (!IsResponsive(cluster_.leader) || world_.Now() >= cluster_.lease_end) return;
    auto& accepted = cluster_.objects[object];
    accepted.push_back({MakeVersion(accepted.back().version.epoch() + 1, 0), world_.Now()});
    Find(cluster_.leader)->objects->CatchUp(cluster_);
  }
  void Freeze(const std::string& name) {
    world_.FindHost(name)->Freeze();
    frozen_.insert(name);
  }
  void Thaw(const std::string& name) {
    world_.FindHost(name)->Thaw();
    frozen_.erase(name);
  }

  // Checks every old version of every object at every responsive gateway.
  void CheckTrust() {
    for (const std::string& gateway : gateways_) {
      const auto process = Find(gateway);
      if (process == nullptr || !IsResponsive(gateway)) continue;
      for (const auto& [object, accepted] : cluster_.objects) {
        for (size_t i = 0; i + 1 < accepted.size(); ++i) {
          if (!process->subscriber->IsFresh(object, accepted[i].version)) continue;
          ++stale_but_trusted_;
          const runtime::Duration age = world_.Now() - accepted[i + 1].at;
          longest_stale_trust_ = std::max(longest_stale_trust_, age);
          EXPECT_LE(age, GuaranteeOf(object)) << gateway << " trusts an old version of " << object;
        }
        ++examined_;
        if (process->subscriber->IsFresh(object, accepted.back().version)) ++trusted_;
      }
    }
  }
  void RunFor(runtime::Duration duration) {
    const runtime::MonotonicTime end = world_.Now() + duration;
    while (world_.Now() < end) {
      world_.RunFor(kCheckInterval);
      RenewLeaderLease();
      CheckTrust();
    }
  }
  bool AllTrusted() {
    for (const std::string& gateway : gateways_) {
      for (const auto& [object, accepted] : cluster_.objects) {
        if (!Find(gateway)->subscriber->IsFresh(object, accepted.back().version)) return false;
      }
    }
    return true;
  }

  SimWorld world_;
  ClusterState cluster_;
  std::map<std::string, std::weak_ptr<Process>> processes_;
  std::set<std::string> frozen_;
  std::vector<std::string> gateways_;
  int host_count_ = 0;
  uint64_t examined_ = 0;
  uint64_t trusted_ = 0;
  uint64_t stale_but_trusted_ = 0;
  runtime::Duration longest_stale_trust_{};
};

INSTANTIATE_TEST_SUITE_P(Seeds, ChannelFleetTest, testing::Range<uint64_t>(1, 9));

TEST_P(ChannelFleetTest, HealthyFleetTrustsAllAndReceivesChangesInMilliseconds) {
  AddGateway("r0", true);
  RunFor(seconds(1));  // subscribers are redirected to relay points that are registered
  for (int i = 0; i < 5; ++i) AddGateway(absl::StrCat("g", i), false);
  RunFor(seconds(5));
  ASSERT_TRUE(AllTrusted());
  EXPECT_GT(Find("r0")->relay->registration_count(), 0u) << "some were redirected";
  for (int round = 0; round < 50; ++round) {
    RaiseVersion("worker/w1");
    RunFor(milliseconds(100));
    ASSERT_TRUE(AllTrusted());
  }
  EXPECT_LE(longest_stale_trust_, milliseconds(80));
}

TEST_P(ChannelFleetTest, FrozenServerIsReplacedAndItsDelayedMessagesProveNothing) {
  for (int i = 0; i < 3; ++i) AddGateway(absl::StrCat("g", i), false);
  RunFor(seconds(3));
  Freeze("c0");
  RunFor(seconds(2));
  Elect("c1");
  RaiseVersion("worker/w1");
  RaiseVersion("model/m");
  RunFor(seconds(4));
  EXPECT_TRUE(AllTrusted());
  RunFor(seconds(19));
  Thaw("c0");
  RunFor(seconds(3));
  EXPECT_TRUE(AllTrusted());
}

TEST_P(ChannelFleetTest, WakingSubscriberTrustsNothingStale) {
  AddGateway("g0", false);
  RunFor(seconds(3));
  for (int round = 0; round < 4; ++round) {
    Freeze("g0");
    RunFor(seconds(12));
    RaiseVersion("worker/w1");
    RunFor(seconds(13));
    Thaw("g0");
    CheckTrust();
    RunFor(seconds(2));
    EXPECT_TRUE(AllTrusted());
  }
}

TEST_P(ChannelFleetTest, FrozenRelayCannotExtendTrust) {
  AddGateway("r0", true);
  AddGateway("r1", true, "r0");  // second level of relay points
  AddGateway("g0", false, "r1");
  AddGateway("g1", false, "r0", /*aggregate=*/true);
  RunFor(seconds(5));
  ASSERT_TRUE(AllTrusted());
  for (const char* relay : {"r0", "r1"}) {
    for (int round = 0; round < 3; ++round) {
      Freeze(relay);
      RunFor(milliseconds(900));
      RaiseVersion("worker/w1");
      RaiseVersion("tenant/t");
      RunFor(seconds(24));
      Thaw(relay);
      RunFor(seconds(5));
      EXPECT_TRUE(AllTrusted());
    }
  }
}

TEST_P(ChannelFleetTest, RelayWithPartitionedUpstreamStopsRenewing) {
  AddGateway("r0", true);
  AddGateway("g0", false, "r0");
  AddGateway("g1", false, "r0", /*aggregate=*/true);
  RunFor(seconds(5));
  ASSERT_TRUE(AllTrusted());
  for (const bool towards_relay : {true, false}) {
    for (int i = 0; i < kControllers; ++i) {
      const std::string controller = absl::StrCat("c", i);
      world_.Partition(towards_relay ? controller : "r0", towards_relay ? "r0" : controller);
    }
    RaiseVersion("worker/w2");
    RunFor(seconds(40));
    const ObjectVersion newest = cluster_.objects["worker/w2"].back().version;
    EXPECT_FALSE(Find("g0")->subscriber->IsFresh("worker/w2", newest));
    EXPECT_FALSE(Find("g1")->subscriber->IsFresh("worker/w2", newest));
    world_.HealAll();
    RunFor(seconds(10));
    EXPECT_TRUE(AllTrusted());
  }
}

TEST_P(ChannelFleetTest, KilledRelayIsReplacedByServer) {
  AddGateway("r0", true);
  RunFor(seconds(1));  // subscribers are redirected to relay points that are registered
  for (int i = 0; i < 6; ++i) AddGateway(absl::StrCat("g", i), false);
  RunFor(seconds(5));
  ASSERT_GT(Find("r0")->relay->registration_count(), 0u);
  gateways_.erase(gateways_.begin());
  world_.FindHost("r0")->Crash();
  RaiseVersion("worker/w1");
  RunFor(seconds(6));
  EXPECT_TRUE(AllTrusted());
}

TEST_P(ChannelFleetTest, RandomFaultsNeverExtendTrust) {
  AddGateway("r0", true);
  AddGateway("r1", true, "r0");
  AddGateway("g0", false, "r1");
  AddGateway("g1", false, "r0", /*aggregate=*/true);
  for (int i = 2; i < 6; ++i) AddGateway(absl::StrCat("g", i), false);
  std::vector<std::string> hosts = gateways_;
  for (int i = 0; i < kControllers; ++i) hosts.push_back(absl::StrCat("c", i));
  runtime::Random* random = world_.random();
  const auto random_host = [&] { return hosts[random->Uniform(hosts.size())]; };
  for (int step = 0; step < 400; ++step) {
    const std::string host = random_host();
    const uint64_t fault = random->Uniform(12);
    if (fault == 0 && frozen_.size() < 3) Freeze(host);
    if (fault == 1 && !frozen_.empty()) Thaw(*frozen_.begin());
    if (fault == 2) world_.Partition(host, random_host());
    if (fault == 3) world_.HealAll();
    if (fault == 4) world_.FindHost(host)->JumpWallClock(seconds(step - 200));
    if (fault == 5 && IsResponsive(host)) world_.FindHost(host)->Crash();
    if (fault == 6) world_.SlowLink(random_host(), host, milliseconds(random->Uniform(3000)));
    if (fault == 7) world_.SetNetwork({milliseconds(0), milliseconds(50), 0.02, 0.02, 0.02});
    if (!world_.FindHost(host)->running() && random->Chance(0.7)) world_.FindHost(host)->Start();
    const std::string candidate = absl::StrCat("c", random->Uniform(kControllers));
    // Elects another leader only after the previous one's lease has expired.
    if (world_.Now() > cluster_.lease_end && IsResponsive(candidate)) Elect(candidate);
    if (fault >= 7) RaiseVersion(std::next(cluster_.objects.begin(), random->Uniform(5))->first);
    RunFor(milliseconds(random->Uniform(1500)));
  }
  EXPECT_GT(examined_, 10000u);
  EXPECT_GT(stale_but_trusted_, 100u) << "too few cases came near the bound";
  EXPECT_GT(trusted_ * 4, examined_) << "objects were trusted in at most a quarter of the checks";
  RecordProperty("examined", std::to_string(examined_));
  RecordProperty("stale_but_trusted", std::to_string(stale_but_trusted_));
  RecordProperty("longest_ms", std::to_string(runtime::ToMilliseconds(longest_stale_trust_)));
}

}  // namespace
}  // namespace posthatch::invalidation
