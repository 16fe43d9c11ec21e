#include "posthatch/simulation/sim_world.h"

#include <gtest/gtest.h>

#include <set>

#include "posthatch/simulation/processor_model.h"

namespace posthatch::simulation {
namespace {

using runtime::Delivery;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr runtime::Service kService = runtime::SERVICE_CONTROL;

// A process that records what it receives and ticks every 100 ms.
struct Recorder {
  explicit Recorder(runtime::Runtime* host_runtime)
      : runtime(host_runtime), timer(runtime->timers) {
    runtime->transport->SetReceiver(kService, [this](const runtime::Envelope& envelope) {
      received.push_back(envelope.payload());
      received_at.push_back(runtime->clock->Now());
    });
    Tick();
  }
  void Tick() {
    ticks.push_back(runtime->clock->Now());
    timer.Start(milliseconds(100), [this] { Tick(); });
  }
  runtime::Runtime* runtime;
  runtime::Timer timer;
  std::vector<std::string> received;
  std::vector<runtime::MonotonicTime> received_at;
  std::vector<runtime::MonotonicTime> ticks;
};

class SimWorldTest : public testing::TestWithParam<uint64_t> {
 protected:
  SimWorldTest() : world_(GetParam()) {
    for (const char* name : {"a", "b", "c"}) {
      SimHost* host = world_.AddHost(name, "zone", std::string("10.0.0.") + name);
      host->SetBoot([this, host](runtime::Runtime* runtime) {
        auto recorder = std::make_shared<Recorder>(runtime);
        recorders_[host->name()] = recorder;
        return recorder;
      });
      host->Start();
    }
  }
  SimHost* Host(const std::string& name) { return world_.FindHost(name); }
  std::shared_ptr<Recorder> RecorderOf(const std::string& name) { return recorders_[name].lock(); }
  void Send(const std::string& from, const std::string& to, const std::string& text,
            Delivery delivery) {
    RecorderOf(from)->runtime->transport->Send(Host(to)->internal_endpoint(), kService, text,
                                               delivery);
  }

  SimWorld world_;
  std::map<std::string, std::weak_ptr<Recorder>> recorders_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, SimWorldTest, testing::Range<uint64_t>(1, 21));

TEST_P(SimWorldTest, StreamsAreOrderedAndDatagramsAreNot) {
  for (int i = 0; i < 200; ++i) {
    Send("a", "b", std::to_string(i), Delivery::kStream);
    Send("a", "c", std::to_string(i), Delivery::kDatagram);
  }
  world_.RunFor(seconds(1));
  ASSERT_EQ(RecorderOf("b")->received.size(), 200u);
  for (int i = 0; i < 200; ++i) EXPECT_EQ(RecorderOf("b")->received[i], std::to_string(i));
  EXPECT_EQ(RecorderOf("c")->received.size(), 200u);
  EXPECT_FALSE(std::is_sorted(RecorderOf("c")->received.begin(), RecorderOf("c")->received.end()));
}

TEST_P(SimWorldTest, DatagramsAreLostAndDuplicated) {
  NetworkBehaviour behaviour;
  behaviour.loss = 0.2;
  behaviour.duplication = 0.1;
  world_.SetNetwork(behaviour);
  for (int i = 0; i < 1000; ++i) Send("a", "b", std::to_string(i), Delivery::kDatagram);
  world_.RunFor(seconds(1));
  const std::vector<std::string>& received = RecorderOf("b")->received;
  const size_t distinct = std::set<std::string>(received.begin(), received.end()).size();
  EXPECT_NEAR(distinct, 800, 60);
  EXPECT_GT(received.size(), distinct + 30);
}

TEST_P(SimWorldTest, PartitionIsOneWayAndStreamContinuesAfterHeal) {
  world_.Partition("a", "b");
  Send("a", "b", "datagram", Delivery::kDatagram);
  Send("a", "b", "stream", Delivery::kStream);
  Send("b", "a", "back", Delivery::kDatagram);
  world_.RunFor(seconds(3));
  EXPECT_TRUE(RecorderOf("b")->received.empty());
  EXPECT_EQ(RecorderOf("a")->received.size(), 1u);
  world_.Heal("a", "b");
  world_.RunFor(seconds(1));
  EXPECT_EQ(RecorderOf("b")->received, std::vector<std::string>{"stream"});
}

TEST_P(SimWorldTest, LongPartitionBreaksStreamAndItReconnects) {
  world_.Partition("a", "b");
  Send("a", "b", "lost", Delivery::kStream);
  world_.RunFor(seconds(20));
  world_.HealAll();
  world_.RunFor(seconds(1));
  Send("a", "b", "new", Delivery::kStream);
  world_.RunFor(seconds(1));
  EXPECT_EQ(RecorderOf("b")->received, std::vector<std::string>{"new"});
}

TEST_P(SimWorldTest, SlowLinkDelaysOneDirection) {
  world_.SlowLink("a", "b", seconds(2));
  Send("a", "b", "slow", Delivery::kDatagram);
  Send("b", "a", "quick", Delivery::kDatagram);
  world_.RunFor(seconds(1));
  EXPECT_EQ(RecorderOf("a")->received.size(), 1u);
  EXPECT_TRUE(RecorderOf("b")->received.empty());
  world_.RunFor(milliseconds(1100));
  EXPECT_EQ(RecorderOf("b")->received.size(), 1u);
}

TEST_P(SimWorldTest, NewProcessGetsNoCallbacksOfCrashedOne) {
  const uint64_t first_incarnation = Host("b")->runtime()->transport->incarnation();
  Send("a", "b", "before", Delivery::kStream);
  world_.RunFor(seconds(1));
  Host("b")->Crash();
  EXPECT_EQ(RecorderOf("b"), nullptr);
  EXPECT_FALSE(Host("b")->running());
  Send("a", "b", "during", Delivery::kStream);
  Send("a", "b", "during", Delivery::kDatagram);
  world_.RunFor(seconds(5));
  Host("b")->Start();
  world_.RunFor(seconds(5));
  EXPECT_TRUE(RecorderOf("b")->received.empty());
  EXPECT_NE(Host("b")->runtime()->transport->incarnation(), first_incarnation);
  Send("a", "b", "after", Delivery::kStream);
  world_.RunFor(seconds(5));
  EXPECT_EQ(RecorderOf("b")->received, std::vector<std::string>{"after"});
}

TEST_P(SimWorldTest, FrozenHostRunsCallbacksAfterThaw) {
  world_.RunFor(milliseconds(250));
  Host("b")->Freeze();
  const size_t ticks = RecorderOf("b")->ticks.size();
  Send("a", "b", "stream", Delivery::kStream);
  for (int i = 0; i < 500; ++i) Send("a", "b", "datagram", Delivery::kDatagram);
  world_.RunFor(seconds(20));
  EXPECT_EQ(RecorderOf("b")->ticks.size(), ticks);
  EXPECT_TRUE(RecorderOf("b")->received.empty());
  const runtime::MonotonicTime thawed_at = world_.Now();
  Host("b")->Thaw();
  world_.RunFor(milliseconds(50));
  EXPECT_EQ(RecorderOf("b")->ticks.size(), ticks + 1);
  EXPECT_GE(RecorderOf("b")->ticks.back(), thawed_at);
  // The stream message and the datagrams that fit into the kernel's buffer were received.
  EXPECT_EQ(
      std::count(RecorderOf("b")->received.begin(), RecorderOf("b")->received.end(), "stream"), 1);
  EXPECT_LT(RecorderOf("b")->received.size(), 100u);
  EXPECT_GT(RecorderOf("b")->received.size(), 10u);
}

// A processor on which each callback takes 10 ms.
class SlowProcessor : public ProcessorModel {
 public:
  void OnCallbackBegin() override { ++callbacks; }
  runtime::Duration OnCallbackEnd() override { return milliseconds(10); }

  int callbacks = 0;
};

TEST_P(SimWorldTest, BusyProcessorDelaysCallbacksInOrder) {
  SlowProcessor processor;
  Host("a")->SetProcessor(&processor);
  std::vector<std::pair<int, runtime::MonotonicTime>> runs;
  runtime::Runtime* runtime = Host("a")->runtime();
  const runtime::MonotonicTime start = world_.Now();
  for (int i = 0; i < 5; ++i) {
    runtime->timers->Schedule(milliseconds(2 * i),
                              [&runs, i, this] { runs.emplace_back(i, world_.Now()); });
  }
  world_.RunFor(milliseconds(100));
  ASSERT_EQ(runs.size(), 5U);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(runs[i].first, i);
    EXPECT_GE(runs[i].second, start + milliseconds(10 * i));
    if (i > 0) {
      EXPECT_GE(runs[i].second, runs[i - 1].second + milliseconds(10));
    }
  }
  EXPECT_GE(processor.callbacks, 5);
}

TEST_P(SimWorldTest, CallbacksThatWaitForTheProcessorEndWithTheProcess) {
  SlowProcessor processor;
  Host("a")->SetProcessor(&processor);
  int runs = 0;
  for (int i = 0; i < 5; ++i) {
    Host("a")->runtime()->timers->Schedule(milliseconds(1), [&runs] { ++runs; });
  }
  world_.RunFor(milliseconds(15));
  Host("a")->Crash();
  const int runs_before = runs;
  Host("a")->Start();
  world_.RunFor(seconds(1));
  EXPECT_LT(runs_before, 5);
  EXPECT_EQ(runs, runs_before);
}

TEST_P(SimWorldTest, TimerCancelledAfterThawDoesNotRun) {
  int runs = 0;
  runtime::Runtime* runtime = Host("a")->runtime();
  runtime::Timer first(runtime->timers);
  runtime::Timer second(runtime->timers);
  first.Start(seconds(1), [&] {
    ++runs;
    second.Cancel();
  });
  second.Start(seconds(2), [&] { ++runs; });
  Host("a")->Freeze();
  world_.RunFor(seconds(5));
  Host("a")->Thaw();
  world_.RunFor(seconds(1));
  EXPECT_EQ(runs, 1);
}

TEST_P(SimWorldTest, WallClockJumpKeepsMonotonicClock) {
  runtime::Runtime* runtime = Host("a")->runtime();
  const int64_t wall = runtime->clock->WallNanoseconds();
  const runtime::MonotonicTime now = runtime->clock->Now();
  Host("a")->JumpWallClock(-seconds(3600));
  EXPECT_EQ(runtime->clock->WallNanoseconds(), wall - runtime::Duration(seconds(3600)).count());
  EXPECT_EQ(runtime->clock->Now(), now);
}

TEST_P(SimWorldTest, ProcessMayCrashItself) {
  runtime::Runtime* runtime = Host("a")->runtime();
  runtime->timers->Schedule(seconds(1), [this] { Host("a")->Crash(); });
  world_.RunFor(seconds(2));
  EXPECT_FALSE(Host("a")->running());
}

TEST_P(SimWorldTest, LaterHostTakesOverAddress) {
  SimHost* successor = world_.AddHost("d", "zone", Host("b")->ip());
  successor->SetBoot([this](runtime::Runtime* runtime) {
    auto recorder = std::make_shared<Recorder>(runtime);
    recorders_["d"] = recorder;
    return recorder;
  });
  Send("a", "b", "old", Delivery::kStream);
  world_.RunFor(seconds(1));
  Host("b")->Crash();
  successor->Start();
  Send("a", "b", "reset", Delivery::kStream);
  world_.RunFor(seconds(5));
  Send("a", "b", "new", Delivery::kStream);
  world_.RunFor(seconds(5));
  EXPECT_EQ(RecorderOf("d")->received, std::vector<std::string>{"new"});
}

uint64_t ScenarioTraceHash(uint64_t seed) {
  SimWorld world(seed);
  NetworkBehaviour behaviour;
  behaviour.loss = 0.05;
  behaviour.duplication = 0.05;
  behaviour.reordering = 0.05;
  world.SetNetwork(behaviour);
  for (int i = 0; i < 5; ++i) {
    SimHost* host = world.AddHost("h" + std::to_string(i), "z", "10.0.0." + std::to_string(i));
    host->SetBoot([&world](runtime::Runtime* runtime) {
      auto recorder = std::make_shared<Recorder>(runtime);
      runtime->timers->Schedule(milliseconds(10), [&world, runtime] {
        for (SimHost* peer : world.hosts()) {
          runtime->transport->Send(
              peer->internal_endpoint(), kService, peer->name(),
              runtime->random->Chance(0.5) ? Delivery::kStream : Delivery::kDatagram);
        }
        runtime->trace->Event(runtime::Severity::kInfo, "Sent", {{"peers", 5}});
      });
      return recorder;
    });
    host->Start();
  }
  world.At(seconds(1), [&world] { world.FindHost("h1")->Freeze(); });
  world.At(seconds(2), [&world] { world.FindHost("h2")->PowerLoss(); });
  world.At(seconds(3), [&world] { world.FindHost("h2")->Start(); });
  world.At(seconds(4), [&world] { world.FindHost("h1")->Thaw(); });
  world.RunFor(seconds(6));
  return world.trace_hash();
}

// Trace hash and behaviour hash of a world in which a host writes a trace event of `type` at
// `time`.
std::pair<uint64_t, uint64_t> HashesWithEvent(std::string_view type, runtime::Duration time) {
  SimWorld world(1);
  SimHost* host = world.AddHost("h1", "z1", "10.0.0.1");
  host->SetBoot([](runtime::Runtime*) { return std::make_shared<int>(); });
  host->Start();
  world.At(time,
           [host, type] { host->runtime()->trace->Event(runtime::Severity::kInfo, type, {}); });
  world.RunFor(seconds(1));
  return {world.trace_hash(), world.behaviour_hash()};
}

TEST(TraceHashTest, BehaviourHashIgnoresEventNamesButNotTheirTimes) {
  const auto original = HashesWithEvent("OldName", milliseconds(5));
  const auto renamed = HashesWithEvent("NewName", milliseconds(5));
  const auto later = HashesWithEvent("OldName", milliseconds(6));
  EXPECT_NE(original.first, renamed.first);
  EXPECT_EQ(original.second, renamed.second);
  EXPECT_NE(original.second, later.second);
}

TEST(TraceHashTest, TraceHashDependsOnSeed) {
  std::set<uint64_t> hashes;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const uint64_t hash = ScenarioTraceHash(seed);
    EXPECT_EQ(hash, ScenarioTraceHash(seed)) << "seed " << seed;
    hashes.insert(hash);
  }
  EXPECT_EQ(hashes.size(), 20u);
}

}  // namespace
}  // namespace posthatch::simulation
