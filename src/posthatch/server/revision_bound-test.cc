// The bound on old model revisions, over the whole path: acknowledgement, roll-out, gateways,
// workers.
#include "posthatch/server/platform_fleet-test.h"

namespace posthatch::server {
namespace {

// From the acknowledgement of a revision until no prompt may begin under an older one: the default
// of the settings.
constexpr runtime::Duration kRevisionBound = seconds(12);
constexpr int kPromptsPerSecond = 60;

class RevisionBoundTest : public testing::TestWithParam<uint64_t> {
 protected:
  void StartFleet(const PlatformFleetPlan& plan) {
    fleet_ = std::make_unique<PlatformFleet>(GetParam(), plan);
    fleet_->Change(1);
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
  void Name(uint64_t revision) {
    fleet_->NameRevision(revision);
    fleet_->world.RunUntil([&] { return fleet_->revision_acknowledged.contains(revision); },
                           seconds(5));
    ASSERT_TRUE(fleet_->revision_acknowledged.contains(revision));
  }
  void Run(runtime::Duration duration) { fleet_->RunWithPrompts(duration, kPromptsPerSecond); }
  // Gateways end and start anew, one after another.
  void RestartGateways(runtime::Duration gap) {
    for (simulation::SimHost* host : fleet_->gateway_hosts) {
      host->Crash();
      Run(gap / 2);
      host->Start();
      Run(gap / 2);
    }
  }
  // `uncounted`: time without a core, in which the bound doesn't run.
  void ExpectNoOutdatedStart(size_t least_completed, runtime::Duration uncounted = {}) {
    const std::vector<std::string> late = fleet_->OutdatedStarts(kRevisionBound + uncounted);
    EXPECT_TRUE(late.empty()) << late.size() << " prompts, the first: " << late.front();
    EXPECT_GE(fleet_->CompletedPrompts(), least_completed);
  }

  std::unique_ptr<PlatformFleet> fleet_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, RevisionBoundTest, testing::Range<uint64_t>(1, 6));

TEST_P(RevisionBoundTest, HoldsWhenWorkersLoadSlowly) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(6);
  StartFleet(plan);
  Name(2);
  Run(seconds(26));
  ExpectNoOutdatedStart(600);
  EXPECT_EQ(fleet_->OutdatedWorkers(2), 0U);
}

TEST_P(RevisionBoundTest, HoldsWhenPromptsWaitLongAtWorkers) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(6);
  plan.prefill_time = milliseconds(600);  // some 30 a second, and the callers bring twice as many
  StartFleet(plan);
  Name(2);
  Run(seconds(26));
  ExpectNoOutdatedStart(100);
}

TEST_P(RevisionBoundTest, HoldsWhenGatewaysRestartDuringRollout) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(8);
  StartFleet(plan);
  Name(2);
  Run(seconds(4));
  RestartGateways(milliseconds(800));
  Run(seconds(16));
  ExpectNoOutdatedStart(600);
}

// Nobody is left who saw the revision named: its age stands in the log.
TEST_P(RevisionBoundTest, HoldsWhenAllProcessesRestartDuringRollout) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(8);
  StartFleet(plan);
  Name(2);
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
    Name(revision);
    Run(seconds(4));
  }
  Run(seconds(20));
  ExpectNoOutdatedStart(600);
}

TEST_P(RevisionBoundTest, HoldsWhenLeadersChangeDuringRollout) {
  PlatformFleetPlan plan = SmallFleet();
  plan.load_time = seconds(3);
  StartFleet(plan);
  Name(2);
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

}  // namespace
}  // namespace posthatch::server
