// Checks the invariants N8 and N9 with real replicated logs under random faults, one run per seed.
#include <gtest/gtest.h>

#include <cstdlib>

#include "posthatch/consensus/raft_replica.h"
#include "posthatch/control/server/fleet_harness-test.h"

namespace posthatch::control {
namespace {

using simulation::SimHost;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr runtime::Duration kRunTime = seconds(100);

class RaftLog : public LeaderLeaseGuard {
 public:
  RaftLog(runtime::Runtime* runtime, const consensus::ReplicaOptions& options, ControlState* state)
      : replica_(runtime, options, state) {
    const absl::Status status = replica_.Start();
    EXPECT_TRUE(status.ok()) << status;
  }
  bool HasLeaderLease() const override { return replica_.HasQuorumNow(); }
  consensus::RaftReplica* replica() { return &replica_; }

 private:
  consensus::RaftReplica replica_;
};

class ControlPlaneTest : public testing::TestWithParam<uint64_t> {
 protected:
  ControlPlaneTest()
      : controllers_(GetParam() % 3 == 0 ? 5 : 3),
        fleet_(GetParam(), controllers_, 4, 9,
               [this](runtime::Runtime* runtime, ControlState* state) {
                 return MakeLog(runtime, state);
               }) {}

  LogParts MakeLog(runtime::Runtime* runtime, ControlState* state) const {
    consensus::ReplicaOptions options;
    options.bootstrap_expect = controllers_;
    options.snapshot_every_entries = 60;  // provokes compaction and restores
    options.retained_entries = 20;
    options.peers = [this] {
      std::vector<std::string> endpoints;
      for (size_t i = 0; i < controllers_; ++i) {
        endpoints.push_back(absl::StrCat("10.0.1.", i + 1, ":7000"));
      }
      return endpoints;
    };
    auto log = std::make_shared<RaftLog>(runtime, options, state);
    return {log, log->replica(), log.get()};
  }

  runtime::Random& random() { return *fleet_.world.random(); }
  SimHost* AnyGateway() { return fleet_.gateway_hosts[random().Uniform(4)]; }
  SimHost* AnyController() { return fleet_.controller_hosts[random().Uniform(controllers_)]; }
  SimHost* LeaderOrAny() {
    SimHost* leader = fleet_.Leader();
    return leader != nullptr ? leader : AnyController();
  }

  // Sends a change, a race of two or an evacuation, repeatedly until the end of the run.
  void ScheduleChanges() {
    fleet_.world.At(random().Between(milliseconds(50), milliseconds(500)), [this] {
      if (fleet_.world.Now() > end_) return;
      ScheduleChanges();
      OperatorProcess* process = fleet_.operator_process;
      if (process->pending_changes() > 30) return;
      if (random().Chance(0.3)) {
        process->Race();
      } else if (random().Chance(0.1)) {
        process->Evacuate();
      } else {
        process->Change(random().Chance(0.5) ? process->newest_version() : 0);
      }
    });
  }

  void ScheduleFaults() {
    fleet_.world.At(random().Between(seconds(3), seconds(9)), [this] {
      if (fleet_.world.Now() + seconds(3) > end_) return;
      ScheduleFaults();
      InjectFault();
    });
  }

  void InjectFault() {
    switch (random().Uniform(9)) {
      case 0:
        return Restart(LeaderOrAny(), random().Chance(0.5));
      case 1:
        return FreezeFor(LeaderOrAny(), seconds(25));
      case 2:
        return FreezeFor(AnyGateway(), random().Chance(0.5) ? seconds(25) : seconds(3));
      case 3:  // pushes and grants are lost, renewals arrive
        return PartitionFor(LeaderOrAny(), {AnyGateway()}, /*both=*/false);
      case 4: {
        return PartitionFor(AnyGateway(), fleet_.controller_hosts, /*both=*/random().Chance(0.5));
      }
      case 5:  // the leader in a minority partition that all gateways reach
        return PartitionFor(LeaderOrAny(), fleet_.controller_hosts, /*both=*/random().Chance(0.5));
      case 6:
        return Restart(AnyGateway(), false);
      case 7:  // power loss of all controllers
        for (SimHost* host : fleet_.controller_hosts) Restart(host, true);
        return;
      default:
        LeaderOrAny()->JumpWallClock(seconds(random().Chance(0.5) ? 3600 : -3600));
        AnyGateway()->JumpWallClock(seconds(-86400));
    }
  }

  void Restart(SimHost* host, bool power_loss) {
    if (!host->running() || frozen_.contains(host)) return;
    if (power_loss) {
      host->PowerLoss();
    } else {
      host->Crash();
    }
    fleet_.world.At(random().Between(milliseconds(100), seconds(4)), [host] {
      if (!host->running()) host->Start();
    });
  }

  void FreezeFor(SimHost* host, runtime::Duration duration) {
    if (!host->running() || !frozen_.insert(host).second) return;
    host->Freeze();
    fleet_.world.At(duration, [this, host] {
      host->Thaw();
      frozen_.erase(host);
    });
  }

  void PartitionFor(SimHost* from, const std::vector<SimHost*>& others, bool both) {
    for (SimHost* other : others) {
      if (other == from) continue;
      fleet_.world.Partition(from->name(), other->name());
      if (both) fleet_.world.Partition(other->name(), from->name());
      fleet_.world.At(seconds(10), [this, from, other] {
        fleet_.world.Heal(from->name(), other->name());
        fleet_.world.Heal(other->name(), from->name());
      });
    }
  }

  // Queries random controllers, partitioned or not, for the configuration.
  void ScheduleReads() {
    fleet_.world.At(milliseconds(60), [this] {
      if (fleet_.world.Now() > end_) return;
      ScheduleReads();
      ControllerProcess* controller = fleet_.Controller(AnyController());
      if (controller == nullptr) return;
      const uint64_t acknowledged = fleet_.operator_process->newest_version();
      controller->service.client()->Query(
          "configuration", "", milliseconds(1500),
          [this, acknowledged](const absl::StatusOr<QueryResponse>& response) {
            if (!response.ok()) return;
            const boost::json::value body = boost::json::parse(response->json());
            const uint64_t version = body.at("version").to_number<uint64_t>();
            ++successful_reads_;
            if (version < acknowledged) ++stale_reads_;
          });
    });
  }

  const size_t controllers_;
  int successful_reads_ = 0;
  int stale_reads_ = 0;
  FleetHarness fleet_;
  runtime::MonotonicTime end_;
  std::set<SimHost*> frozen_;
};

// POSTHATCH_CONTROL_SEEDS=A-B widens the range for nightly runs.
testing::internal::ParamGenerator<uint64_t> Seeds() {
  uint64_t first = 1;
  uint64_t last = 30;
  const char* range = std::getenv("POSTHATCH_CONTROL_SEEDS");
  if (range != nullptr) {
    char* rest = nullptr;
    first = std::strtoull(range, &rest, 10);
    last = *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : first;
  }
  return testing::Range<uint64_t>(first, last + 1);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ControlPlaneTest, Seeds());

TEST_P(ControlPlaneTest, AcknowledgedChangesSurviveFaults) {
  fleet_.operator_process->Change(0);
  ASSERT_TRUE(fleet_.world.RunUntil(
      [this] { return fleet_.operator_process->pending_changes() == 0; }, seconds(40)));
  end_ = fleet_.world.Now() + kRunTime;
  ScheduleChanges();
  ScheduleFaults();
  fleet_.world.RunFor(kRunTime + seconds(30));
  fleet_.world.HealAll();
  ASSERT_TRUE(fleet_.world.RunUntil(
      [this] { return fleet_.operator_process->pending_changes() == 0; }, seconds(60)))
      << fleet_.operator_process->pending_changes() << " changes without a final result";
  SimHost* leader = nullptr;
  ASSERT_TRUE(
      fleet_.world.RunUntil([&] { return (leader = fleet_.Leader()) != nullptr; }, seconds(20)));
  std::vector<std::pair<uint64_t, std::string>> versions;
  const ControlState& state = fleet_.Controller(leader)->state;
  for (const ConfigurationVersion& version : state.history().versions()) {
    versions.emplace_back(version.version(), version.request_id());
  }
  fleet_.history.SetFinalHistory(std::move(versions));
  EXPECT_GT(fleet_.history.acknowledgements(), 50);
  EXPECT_GT(fleet_.operator_process->rejected(), 5);
  EXPECT_GT(fleet_.history.decisions(), 3000);
  EXPECT_GT(fleet_.history.worker_commands(), 3000);
  const std::vector<std::string> violations = fleet_.history.Violations(runtime::Duration::zero());
  EXPECT_TRUE(violations.empty()) << violations.size()
                                  << " violations, the first: " << violations.front();
}

// A read that starts after an acknowledgement never returns an older version, at any controller and
// in any partition; a controller without a quorum rejects it.
TEST_P(ControlPlaneTest, ReadsAreLinearizableAtAnyController) {
  fleet_.operator_process->Change(0);
  ASSERT_TRUE(fleet_.world.RunUntil(
      [this] { return fleet_.operator_process->pending_changes() == 0; }, seconds(40)));
  end_ = fleet_.world.Now() + seconds(60);
  ScheduleChanges();
  ScheduleFaults();
  ScheduleReads();
  fleet_.world.RunFor(seconds(65));
  EXPECT_EQ(stale_reads_, 0);
  EXPECT_GT(successful_reads_, 100);
  // A leader in a minority partition has no quorum. Earlier partitions heal by then.
  fleet_.world.RunFor(seconds(15));
  fleet_.world.HealAll();
  SimHost* leader = nullptr;
  ASSERT_TRUE(
      fleet_.world.RunUntil([&] { return (leader = fleet_.Leader()) != nullptr; }, seconds(40)));
  PartitionFor(leader, fleet_.controller_hosts, /*both=*/true);
  fleet_.world.RunFor(seconds(2));
  absl::Status status;
  fleet_.Controller(leader)->service.client()->Query(
      "configuration", "", milliseconds(1500),
      [&status](const absl::StatusOr<QueryResponse>& response) { status = response.status(); });
  fleet_.world.RunFor(seconds(3));
  EXPECT_FALSE(status.ok());
}

}  // namespace
}  // namespace posthatch::control
