// Tests the bound on prompts that start on old model revisions, end to end: acknowledgement,
// rollout, gateways, workers.
#include "posthatch/server/platform_fleet-test.h"

namespace posthatch::server {
namespace {

// Time after the acknowledgement of a revision from which no prompt may start on an older one; the
// default of the setting revision_deadline_ms.
constexpr runtime::Duration kRevisionBound = seconds(12);
constexpr int kPromptsPerSecond = 60;

class RevisionBoundTest : public testing::TestWithParam<uint64_t> {
 protected:
  void StartFleet(const PlatformFleetPlan& plan) {
    fleet_ = std::make_unique<PlatformFleet>(GetParam(), plan);
    fleet_->SendConfiguration(1);
    fleet_->world.RunUntil([this] { return fleet_->acknowledged.contains(1); }, seconds(10));
    fleet_->RunWithPrompts(seconds(3), kPromptsPerSecond);
    ASSERT_FALSE(fleet_->prompt_starts.empty());
  }
  static PlatformFleetPlan SmallFleet() {
    PlatformFleetPlan plan;
    plan.controllers = 5;
    plan.gateways = 8;
    plan.zones = 4;
    plan.workers = 18;
    return plan;
  }
  void SetRevisionAndWait(uint64_t revision) {
    fleet_->SetRevision(revision);
    fleet_->world.RunUntil([&] { return fleet_->revision_acknowledged.contains(revision); },
                           seconds(5));
    ASSERT_TRUE(fleet_->revision_acknowledged.contains(revision));
  }
  void Run(runtime::Duration duration) { fleet_->RunWithPrompts(duration, kPromptsPerSecond); }
  // Restarts the gateways one after another.
  void RestartGateways(runtime::Duration gap) {
    for (simulation::SimHost* host : fleet_->gateway_hosts) {
      host->Crash();
      Run(gap / 2);
      host->Start();
      Run(gap / 2);
    }
  }
  // `excluded`: time without running controllers, which the bound excludes.
  void ExpectNoOutdatedStart(size_t min_completed, runtime::Duration excluded = {}) {
    const std::vector<std::string> outdated = fleet_->OutdatedStarts(kRevisionBound + excluded);
    EXPECT_TRUE(outdated.empty()) << outdated.size() << " prompts, the first: " << outdated.front();
    EXPECT_GE(fleet_->CompletedPrompts(), min_completed);
  }

  std::unique_ptr<PlatformFleet> fleet_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, RevisionBoundTest, testing::Range<uint64_t>(1, 6));

TEST_P(RevisionBoundTest, HoldsWhenWorkersLoadSlowly) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(6);
  StartFleet(plan);
  SetRevisionAndWait(2);
  Run(seconds(26));
  ExpectNoOutdatedStart(600);
  EXPECT_EQ(fleet_->OutdatedWorkers(2), 0U);
}

TEST_P(RevisionBoundTest, HoldsWhenPromptsWaitLongAtWorkers) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(6);
  plan.prefill_time = milliseconds(600);  // about 30 prompts a second; callers send 60
  StartFleet(plan);
  SetRevisionAndWait(2);
  Run(seconds(26));
  ExpectNoOutdatedStart(100);
}

TEST_P(RevisionBoundTest, HoldsWhenGatewaysRestartDuringRollout) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(8);
  StartFleet(plan);
  SetRevisionAndWait(2);
  Run(seconds(4));
  RestartGateways(milliseconds(800));
  Run(seconds(16));
  ExpectNoOutdatedStart(600);
}

// No running process remembers when the revision was set: its age is read from the replicated log.
TEST_P(RevisionBoundTest, HoldsWhenAllProcessesRestartDuringRollout) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(8);
  StartFleet(plan);
  SetRevisionAndWait(2);
  Run(seconds(6));
  std::vector<simulation::SimHost*> all = fleet_->controller_hosts;
  all.insert(all.end(), fleet_->gateway_hosts.begin(), fleet_->gateway_hosts.end());
  for (simulation::SimHost* host : all) host->Crash();
  Run(milliseconds(300));
  for (simulation::SimHost* host : all) host->Start();
  Run(seconds(26));
  ExpectNoOutdatedStart(400, seconds(2));
}

TEST_P(RevisionBoundTest, HoldsForEachOfSeveralRevisionsInSuccession) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(4);
  StartFleet(plan);
  for (uint64_t revision = 2; revision <= 6; ++revision) {
    SetRevisionAndWait(revision);
    Run(seconds(4));
  }
  Run(seconds(20));
  ExpectNoOutdatedStart(600);
}

TEST_P(RevisionBoundTest, HoldsWhenLeadersChangeDuringRollout) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(3);
  StartFleet(plan);
  SetRevisionAndWait(2);
  for (int i = 0; i < 4; ++i) {
    Run(milliseconds(1800));
    simulation::SimHost* leader = fleet_->Leader();
    if (leader == nullptr) continue;
    leader->Crash();
    Run(milliseconds(400));
    leader->Start();
  }
  Run(seconds(20));
  ExpectNoOutdatedStart(600);
  EXPECT_EQ(fleet_->OutdatedWorkers(2), 0U);
}

// POSTHATCH_SOAK_SEEDS overrides CI's number of seeds.
uint64_t SoakSeeds() {
  const char* seeds = std::getenv("POSTHATCH_SOAK_SEEDS");
  return seeds == nullptr ? 20 : std::strtoull(seeds, nullptr, 10);
}

// Overlapping revisions, restarts, freezes and leader changes, drawn at random by seed, with
// workers of random load and prefill times.
class RevisionBoundSoakTest : public RevisionBoundTest {
 protected:
  void StartRandomFleet() {
    runtime::Random draw(GetParam());
    PlatformFleetPlan plan = SmallFleet();
    plan.workers = static_cast<int>(2 + draw.Uniform(30));
    plan.load_time = milliseconds(200 + draw.Uniform(9000));
    plan.prefill_time = milliseconds(10 + draw.Uniform(400));
    StartFleet(plan);
  }
  runtime::Random& random() { return *fleet_->world.random(); }
  simulation::SimHost* RandomGateway() {
    return fleet_->gateway_hosts[random().Uniform(fleet_->gateway_hosts.size())];
  }
  void RecordCoreEvent() { fleet_->core_events.push_back(fleet_->world.Now()); }
  void CrashAndRestart(simulation::SimHost* host, bool is_controller) {
    if (!host->running()) return;
    host->Crash();
    if (is_controller) RecordCoreEvent();
    fleet_->world.At(random().Between(milliseconds(100), milliseconds(1500)),
                     [this, host, is_controller] {
                       host->Start();
                       if (is_controller) RecordCoreEvent();
                     });
  }
  void FreezeTemporarily(simulation::SimHost* host) {
    if (!host->running()) return;
    host->Freeze();
    fleet_->world.At(random().Between(milliseconds(500), seconds(8)), [host] { host->Thaw(); });
  }
  void InjectFault() {
    switch (random().Uniform(8)) {
      case 0:
      case 1:
        fleet_->SetRevision(++revision_);
        break;
      case 2:
        for (simulation::SimHost* host : fleet_->gateway_hosts) {
          fleet_->world.At(random().Between(milliseconds(1), seconds(6)),
                           [this, host] { CrashAndRestart(host, false); });
        }
        break;
      case 3:
        CrashAndRestart(RandomGateway(), false);
        break;
      case 4:
        FreezeTemporarily(RandomGateway());
        break;
      case 5:
        if (simulation::SimHost* leader = fleet_->Leader(); leader != nullptr) {
          CrashAndRestart(leader, true);
        }
        break;
      default:
        break;  // no fault
    }
  }

  uint64_t revision_ = 1;
};

INSTANTIATE_TEST_SUITE_P(Seeds, RevisionBoundSoakTest,
                         testing::Range<uint64_t>(1, SoakSeeds() + 1));

TEST_P(RevisionBoundSoakTest, HoldsUnderOverlappingFaults) {
  StartRandomFleet();
  fleet_->SetRevision(++revision_);
  for (int step = 0; step < 30; ++step) {
    InjectFault();
    Run(random().Between(milliseconds(100), seconds(3)));
  }
  Run(seconds(30));
  ExpectNoOutdatedStart(20);  // the fleet may have only two slow workers
  EXPECT_EQ(fleet_->OutdatedWorkers(revision_), 0U);
}

}  // namespace
}  // namespace posthatch::server
