// Gateways with complete IndexNodes, a controller and workers in the simulator, under faults. An
// entry that Locate returns must not depend on a version superseded for longer than 4 s, and after
// the faults have ended, every returned block must be cached by its holder.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "posthatch/index/fake_parts-test.h"
#include "posthatch/index/index_node.h"
#include "posthatch/invalidation/invalidation_server.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::index {
namespace {

using invalidation::MakeVersion;
using invalidation::ObjectVersion;
using simulation::SimHost;
using simulation::SimWorld;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr runtime::Duration kSessionLease = seconds(4);
constexpr runtime::Duration kSettleTime = seconds(5);
constexpr size_t kChainBlocks = 8;
constexpr size_t kWorkerCapacity = 30;  // blocks

// Control state of the simulated fleet: versions, applied request ids, and when each version was
// superseded.
class SimControlState : public invalidation::ObjectSource {
 public:
  std::vector<invalidation::RegisteredObject> Objects() const override {
    std::vector<invalidation::RegisteredObject> all;
    for (const auto& [name, version] : versions) {
      all.emplace_back().set_object(name);
      *all.back().mutable_version() = version;
    }
    return all;
  }
  bool Find(const std::string& object, ObjectVersion* version) const override {
    const auto found = versions.find(object);
    if (found == versions.end()) return false;
    *version = found->second;
    return true;
  }
  void AddListener(Listener listener) override { listeners.push_back(std::move(listener)); }
  void Set(const std::string& object, const ObjectVersion& version, runtime::MonotonicTime now) {
    versions[object] = version;
    version_set_at[object] = now;
    for (const Listener& listener : listeners) listener(object, version);
  }
  // Applies ObserveObject as ControlState does.
  void Apply(const control::Command& command, runtime::MonotonicTime now) {
    if (!applied.insert(command.request_id()).second) return;
    const control::ObserveObject& observation = command.observe_object();
    const ObjectVersion known = versions[observation.object()];
    if (observation.epoch() > known.epoch()) {
      Set(observation.object(), MakeVersion(observation.epoch(), 0), now);
    } else if (observation.lost() && observation.epoch() == known.epoch()) {
      Set(observation.object(), MakeVersion(known.epoch(), known.sequence() + 1), now);
    }
  }
  std::map<std::string, ObjectVersion> versions;
  std::map<std::string, runtime::MonotonicTime> version_set_at;
  std::set<std::string> applied;
  std::vector<Listener> listeners;
};

class SimControlClient : public control::ControlClient {
 public:
  SimControlClient(runtime::Runtime* runtime, SimControlState* state)
      : runtime_(runtime), state_(state) {}
  void Propose(control::Command command, runtime::Duration, bool, ProposeDone done) override {
    runtime_->timers->Schedule(milliseconds(10), [this, command, done] {
      if (runtime_->random->Chance(0.1)) return done(absl::UnavailableError("before"));
      state_->Apply(command, runtime_->clock->Now());
      if (runtime_->random->Chance(0.2)) return done(absl::DeadlineExceededError("after"));
      done(control::CommandResult());
    });
  }

 private:
  runtime::Runtime* const runtime_;
  SimControlState* const state_;
};

// A worker's cache and its event log, with faults.
struct SimWorker {
  uint64_t epoch = 1;
  uint64_t last_seq = 0;
  std::vector<BlockHash> cached;  // in order of eviction
  std::vector<std::pair<uint64_t, std::string>> events;
  double fault_probability = 0;
  std::unique_ptr<http::HttpServer> server;

  bool HasCached(BlockHash block) const {
    return std::find(cached.begin(), cached.end(), block) != cached.end();
  }
  void EmitEvent(runtime::Random* random, const std::string& type,
                 const std::vector<BlockHash>& blocks) {
    if (blocks.empty()) return;
    std::string list;
    for (const BlockHash block : blocks) {
      absl::StrAppend(&list, list.empty() ? "" : ",", "\"", absl::Hex(block), "\"");
    }
    const uint64_t seq = ++last_seq;
    if (random->Chance(fault_probability)) return;  // lost
    const std::string event = absl::StrCat(R"({"seq":)", seq, R"(,"type":")", type,
                                           R"(","first":0,"blocks":[)", list, "]}");
    events.emplace_back(seq, random->Chance(fault_probability)
                                 ? absl::StrCat(R"({"seq":)", seq, R"(,"type":"lost"})")
                                 : event);
    if (random->Chance(fault_probability)) events.push_back(events.back());
    if (events.size() > 1 && random->Chance(fault_probability)) {
      std::swap(events.back(), events[events.size() - 2]);
    }
  }
  // Evicts the least recently used chain from its end, as real workers do.
  void Run(runtime::Random* random, const std::vector<BlockHash>& chain) {
    std::vector<BlockHash> used;
    std::vector<BlockHash> stored;
    for (const BlockHash block : chain) {
      if (std::erase(cached, block) == 0) stored.push_back(block);
      used.insert(used.begin(), block);
    }
    cached.insert(cached.end(), used.begin(), used.end());
    EmitEvent(random, "stored", stored);
    std::vector<BlockHash> removed;
    while (cached.size() > kWorkerCapacity) {
      removed.push_back(cached.front());
      cached.erase(cached.begin());
    }
    EmitEvent(random, "removed", removed);
  }
  void Restart() {
    ++epoch;
    last_seq = 0;
    cached.clear();
    events.clear();
  }
  std::string EventsBody(uint64_t requested_epoch, uint64_t after) const {
    if (requested_epoch != epoch) after = 0;
    std::string list;
    for (const auto& [seq, event] : events) {
      if (seq > after) absl::StrAppend(&list, list.empty() ? "" : ",", event);
    }
    return absl::StrCat(R"({"epoch":)", epoch, R"(,"next":)", last_seq, R"(,"events":[)", list,
                        "]}");
  }
};

struct Gateway {
  FakeFleet fleet;
  std::unique_ptr<SimControlClient> control;
  std::unique_ptr<IndexNode> node;
  runtime::Runtime* runtime = nullptr;
};

class IndexFleetTest : public testing::TestWithParam<uint64_t> {
 protected:
  static constexpr int kGateways = 3;
  static constexpr int kWorkers = 2;

  IndexFleetTest() : world_(GetParam()) {
    state_.Set("model/m", MakeVersion(1, 0), world_.Now());
    state_.Set("tenant/", MakeVersion(1, 0), world_.Now());
    SimHost* controller = world_.AddHost("c0", "z", "10.0.0.1");
    controller->SetBoot([this](runtime::Runtime* runtime) {
      return std::make_shared<invalidation::InvalidationServer>(
          runtime, invalidation::InvalidationServerOptions(), &state_, [this] {
            return invalidation::ServingState{serving_, 1};
          });
    });
    controller->Start();
    for (int i = 0; i < kWorkers; ++i) AddWorker(i);
    for (int i = 0; i < kGateways; ++i) AddGateway(i);
    Renew();
    for (int i = 0; i < 12; ++i) {
      BlockSeed seed{"m", 1, "", 1};
      chains_.push_back(HashBlocks(CacheSalt(seed), std::string(kChainBlocks, 'a' + i), 1));
    }
  }
  void AddWorker(int number) {
    const std::string name = absl::StrCat("w", number);
    state_.Set("worker/" + name, MakeVersion(0, 0), world_.Now());
    SimHost* host = world_.AddHost(name, "z", absl::StrCat("10.0.1.", number + 1));
    host->SetBoot([this, number, host](runtime::Runtime* runtime) {
      auto handler = [this, number, runtime](const http::Request& request,
                                             const std::shared_ptr<http::ResponseWriter>& writer) {
        uint64_t epoch = 0;
        uint64_t after = 0;
        std::sscanf(request.target.c_str(), "/kv_events?epoch=%lu&after=%lu", &epoch, &after);
        runtime->timers->Schedule(milliseconds(50), [this, number, epoch, after, writer] {
          http::Response response;
          response.body = workers_[number].EventsBody(epoch, after);
          writer->SendResponse(response);
        });
      };
      auto server = runtime->http_servers->Listen(host->http_endpoint(), {}, handler);
      return std::shared_ptr<http::HttpServer>(*std::move(server));
    });
    host->Start();
  }
  void AddGateway(int number) {
    SimHost* host =
        world_.AddHost(absl::StrCat("g", number), "z", absl::StrCat("10.0.2.", number + 1));
    host->SetBoot([this, number](runtime::Runtime* runtime) {
      auto gateway = std::make_shared<Gateway>();
      gateway->runtime = runtime;
      gateway->control = std::make_unique<SimControlClient>(runtime, &state_);
      for (int i = 0; i < kWorkers; ++i) {
        gateway->fleet.AddBackend(absl::StrCat("w", i), control::BACKEND_KIND_WORKER,
                                  world_.FindHost(absl::StrCat("w", i))->http_endpoint());
      }
      gateway->node = std::make_unique<IndexNode>(
          runtime, OptionsOf(number), &gateway->fleet, gateway->control.get(),
          [this] {
            std::vector<IndexPeer> all;
            all.reserve(kGateways);
            for (int i = 0; i < kGateways; ++i) {
              const SimHost* gateway_host = world_.FindHost(absl::StrCat("g", i));
              all.push_back({gateway_host->name(), ZoneOf(i), gateway_host->internal_endpoint()});
            }
            return all;
          },
          [this] { return std::vector<std::string>{world_.FindHost("c0")->internal_endpoint()}; });
      gateway->node->Start();
      gateways_[number] = gateway;
      return gateway;
    });
    host->Start();
  }
  // With even seeds updates between the two zones go through relays; with every third seed the
  // gateways register once for all channels.
  static std::string ZoneOf(int gateway) { return gateway == 0 ? "a" : "b"; }
  static IndexOptions OptionsOf(int gateway) {
    IndexOptions options;
    options.zone = ZoneOf(gateway);
    if (GetParam() % 2 == 0) options.fanout.min_gateways_for_relay = 1;
    options.aggregate_channel = GetParam() % 3 == 0;
    return options;
  }
  bool IsRunning(int gateway) const { return !frozen_.contains(gateway); }
  // Grants session leases, and worker leases with fencing tokens, as the control component does.
  void Renew() {
    for (int i = 0; i < kGateways; ++i) {
      if (IsRunning(i)) session_end_[i] = world_.Now() + kSessionLease;
    }
    for (int worker = 0; worker < kWorkers; ++worker) {
      const int holder = lease_holders_.contains(worker) ? lease_holders_[worker] : -1;
      if (holder >= 0 && world_.Now() < session_end_[holder]) continue;
      for (int i = 0; i < kGateways; ++i) {
        if (IsRunning(i)) lease_holders_[worker] = i;
      }
      ++fencing_tokens_[worker];
    }
    for (int i = 0; i < kGateways; ++i) {
      const auto gateway = gateways_[i].lock();
      gateway->fleet.lease_valid = world_.Now() < session_end_[i];
      if (!IsRunning(i)) continue;
      control::FleetState* fleet = &gateway->fleet.fleet;
      fleet->clear_leases();
      for (const auto& [worker, holder] : lease_holders_) {
        gateway->fleet.AddLease(absl::StrCat("w", worker), absl::StrCat("g", holder),
                                gateways_[holder].lock()->runtime->transport->incarnation(),
                                fencing_tokens_[worker]);
      }
      gateway->fleet.NotifyListeners();
    }
  }
  void RunFor(runtime::Duration duration) {
    for (runtime::Duration elapsed{}; elapsed < duration; elapsed += milliseconds(20)) {
      world_.RunFor(milliseconds(20));
      Renew();
      Check(/*settled=*/false);
    }
  }
  const BlockSeed seed_{"m", 1, "", 1};
  void Check(bool settled) {
    const auto superseded_for = [this](const std::string& object) {
      return world_.Now() - state_.version_set_at[object];
    };
    for (int i = 0; i < kGateways; ++i) {
      if (!IsRunning(i)) continue;
      const auto gateway = gateways_[i].lock();
      for (const auto& chain : chains_) {
        const auto holders = gateway->node->locator()->Locate(seed_, chain);
        if (holders.empty()) continue;
        EXPECT_TRUE(gateway->fleet.lease_valid);
        if (state_.versions["model/m"].epoch() != 1) {
          EXPECT_LE(superseded_for("model/m"), seconds(4));
        }
        if (state_.versions["tenant/"].epoch() != 1) {
          EXPECT_LE(superseded_for("tenant/"), seconds(4));
        }
        for (const PrefixHolder& holder : holders) {
          ++examined_;
          const std::string object = "worker/" + holder.backend_id;
          if (state_.versions[object].epoch() != holder.epoch) {
            EXPECT_LE(superseded_for(object), seconds(4));
          }
          if (!settled) continue;
          const SimWorker& worker = workers_[holder.backend_id[1] - '0'];
          ++settled_examined_;
          for (uint32_t block = 0; block < holder.blocks; ++block) {
            EXPECT_TRUE(worker.HasCached(chain[block]))
                << "g" << i << " locates a block at " << holder.backend_id
                << ", which has not cached it";
          }
        }
      }
    }
  }
  void Dispatch() {
    const int gateway = static_cast<int>(world_.random()->Uniform(kGateways));
    const int worker = static_cast<int>(world_.random()->Uniform(kWorkers));
    if (!IsRunning(gateway) || !gateways_[gateway].lock()->fleet.lease_valid) return;
    const auto& chain = chains_[world_.random()->Uniform(chains_.size())];
    workers_[worker].Run(world_.random(), chain);
    gateways_[gateway].lock()->node->locator()->RecordDispatch(
        seed_, chain, absl::StrCat("w", worker), workers_[worker].epoch);
  }
  void ThawAfter(runtime::Duration duration) {
    RunFor(duration);
    const int gateway = *frozen_.begin();
    world_.FindHost(absl::StrCat("g", gateway))->Thaw();
    frozen_.clear();
    Check(/*settled=*/false);  // entries that it trusts right after the thaw
    Renew();
  }
  uint64_t CountHolders() {
    uint64_t count = 0;
    for (int i = 0; i < kGateways; ++i) {
      for (const auto& chain : chains_) {
        count += gateways_[i].lock()->node->locator()->Locate(seed_, chain).size();
      }
    }
    return count;
  }

  SimWorld world_;
  SimControlState state_;
  bool serving_ = true;
  std::map<int, SimWorker> workers_;
  std::map<int, std::weak_ptr<Gateway>> gateways_;
  std::map<int, int> lease_holders_;
  std::map<int, uint64_t> fencing_tokens_;
  std::map<int, runtime::MonotonicTime> session_end_;
  std::set<int> frozen_;
  std::vector<std::vector<BlockHash>> chains_;
  uint64_t examined_ = 0;
  uint64_t settled_examined_ = 0;
};

INSTANTIATE_TEST_SUITE_P(Seeds, IndexFleetTest, testing::Range<uint64_t>(1, 9));

TEST_P(IndexFleetTest, AllGatewaysLearnCachedBlocks) {
  RunFor(seconds(3));
  for (int i = 0; i < 100; ++i) {
    Dispatch();
    RunFor(milliseconds(40));
  }
  RunFor(seconds(1));
  Check(/*settled=*/true);
  EXPECT_GT(settled_examined_, 10u);
}

TEST_P(IndexFleetTest, FaultsLeaveNoWrongEntry) {
  RunFor(seconds(3));
  runtime::Random* random = world_.random();
  for (int round = 0; round < 12; ++round) {
    for (auto& [number, worker] : workers_) worker.fault_probability = round % 2 == 0 ? 0.1 : 0.0;
    for (int step = 0; step < 30; ++step) {
      Dispatch();
      if (random->Chance(0.03)) workers_[static_cast<int>(random->Uniform(kWorkers))].Restart();
      if (random->Chance(0.05) && frozen_.empty()) {
        frozen_.insert(static_cast<int>(random->Uniform(kGateways)));
        world_.FindHost(absl::StrCat("g", *frozen_.begin()))->Freeze();
      }
      if (random->Chance(0.1) && !frozen_.empty()) ThawAfter(milliseconds(random->Uniform(25000)));
      RunFor(milliseconds(random->Uniform(200)));
    }
    if (!frozen_.empty()) ThawAfter(seconds(25));
    for (auto& [number, worker] : workers_) {
      // A final event reveals the sequence numbers that are missing before it.
      worker.fault_probability = 0;
      worker.EmitEvent(random, "removed", {0});
    }
    RunFor(kSettleTime);
    Check(/*settled=*/true);
  }
  EXPECT_GT(examined_, 5000u);
  EXPECT_GT(settled_examined_, 50u);
}

TEST_P(IndexFleetTest, SupersededSeedsAndChannelTimeoutsEndTrust) {
  RunFor(seconds(2));
  for (int i = 0; i < 30; ++i) {
    Dispatch();
    RunFor(milliseconds(40));
  }
  ASSERT_GT(CountHolders(), 0u);
  serving_ = false;
  RunFor(milliseconds(4100));
  EXPECT_EQ(CountHolders(), 0u);
  serving_ = true;
  RunFor(seconds(2));
  EXPECT_GT(CountHolders(), 0u) << "entries are retained, and trusted again after re-registration";
  state_.Set(GetParam() % 2 == 0 ? "model/m" : "tenant/", MakeVersion(2, 0), world_.Now());
  RunFor(milliseconds(200));
  EXPECT_EQ(CountHolders(), 0u);
}

}  // namespace
}  // namespace posthatch::index
