#include "posthatch/fleettest/fault_injector.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "posthatch/fleettest/history/recorders.h"
#include "posthatch/fleettest/target_resolver.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::fleettest {
namespace {

using std::chrono::seconds;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

// A fleet that records the requested operations and runs on a simulated clock.
class RecordingFleet : public Fleet {
 public:
  RecordingFleet() : world_(1) {
    simulation::SimHost* host = world_.AddHost("callers", "z0", "10.0.0.1");
    host->SetBoot([this](runtime::Runtime* runtime) -> std::shared_ptr<void> {
      runtime_ = runtime;
      return std::make_shared<int>(0);
    });
    host->Start();
    recorder_ = std::make_unique<MemoryHistoryRecorder>(runtime_->clock, "test", &events);
  }

  absl::Status Start() override { return absl::OkStatus(); }
  void RunFor(runtime::Duration duration) override { world_.RunFor(duration); }
  runtime::Runtime* runtime() override { return runtime_; }
  HistoryRecorder* recorder() override { return recorder_.get(); }
  std::vector<ProcessInfo> processes() const override { return known_processes; }
  absl::Status Kill(const std::string& name) override { return RecordOperation("kill " + name); }
  absl::Status Stop(const std::string& name) override { return RecordOperation("stop " + name); }
  absl::Status Restart(const std::string& name) override {
    if (draining > 0) {
      --draining;
      return absl::UnavailableError("it is still running");
    }
    return RecordOperation("restart " + name);
  }
  absl::Status Freeze(const std::string& name) override {
    return RecordOperation("freeze " + name);
  }
  absl::Status Thaw(const std::string& name) override { return RecordOperation("thaw " + name); }
  absl::Status PowerOff(const std::string& /*name*/) override {
    return absl::UnimplementedError("no power switch");
  }
  absl::Status ClearDisk(const std::string& name) override {
    return RecordOperation("clear " + name);
  }
  absl::Status SetDiskDelay(const std::string& name, runtime::Duration /*delay*/) override {
    return RecordOperation("slow " + name);
  }
  absl::Status JumpClock(const std::string& name, runtime::Duration /*delta*/) override {
    return RecordOperation("jump " + name);
  }
  absl::Status SetLink(const std::string& from, const std::string& to, LinkState state) override {
    partitioned_links[from + ">" + to] = state.partitioned;
    return absl::OkStatus();
  }
  absl::StatusOr<ProcessInfo> Replace(const std::string& name) override {
    return ProcessInfo{name + "b", Role::kWorker, "z1", {}, "10.0.0.9:80"};
  }
  absl::StatusOr<ProcessInfo> Move(const std::string& name) override {
    return ProcessInfo{name, Role::kController, "z1", {}, "10.0.0.9:80"};
  }
  absl::StatusOr<std::vector<HistoryEvent>> TakeHistory() override { return events; }

  std::vector<std::string> PartitionedLinks() const {
    std::vector<std::string> links;
    for (const auto& [link, partitioned] : partitioned_links) {
      if (partitioned) links.push_back(link);
    }
    return links;
  }

  std::vector<ProcessInfo> known_processes = {
      {"controller-1", Role::kController, "z1", {}, "10.0.0.2:80"},
      {"gateway-1", Role::kGateway, "z1", {}, "10.0.0.3:80"},
      {"gateway-2", Role::kGateway, "z2", {}, "10.0.0.4:80"}};
  std::vector<std::string> operations;
  std::vector<HistoryEvent> events;
  std::map<std::string, bool> partitioned_links;
  int draining = 0;

 private:
  absl::Status RecordOperation(const std::string& operation) {
    operations.push_back(operation);
    return absl::OkStatus();
  }

  simulation::SimWorld world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<MemoryHistoryRecorder> recorder_;
};

class FaultInjectorTest : public ::testing::Test {
 protected:
  FaultInjectorTest()
      : injector_(
            {&fleet_, nullptr, nullptr, [] { return std::string(); }, [this] { ++changes_; }}) {}

  static Fault MakeFault(FaultKind kind, const std::string& name, int at_s, int duration_s) {
    Fault fault;
    fault.kind = kind;
    fault.target.name = name;
    fault.at = seconds(at_s);
    fault.duration = seconds(duration_s);
    return fault;
  }

  RecordingFleet fleet_;
  FaultInjector injector_;
  int changes_ = 0;
};

TEST_F(FaultInjectorTest, InjectsEndsAndRecordsFault) {
  injector_.Start({MakeFault(FaultKind::kDiskLoss, "controller-1", 2, 3)});
  fleet_.RunFor(seconds(4));
  EXPECT_THAT(fleet_.operations, ElementsAre("kill controller-1", "clear controller-1"));
  fleet_.RunFor(seconds(2));
  EXPECT_EQ(fleet_.operations.back(), "restart controller-1");
  ASSERT_EQ(fleet_.events.size(), 2u);
  EXPECT_EQ(fleet_.events[0].fault_injected().kind(), "disk_loss");
  EXPECT_TRUE(fleet_.events[1].fault_injected().ended());
  EXPECT_EQ(fleet_.events[1].time_ns() - fleet_.events[0].time_ns(), 3'000'000'000);
}

TEST_F(FaultInjectorTest, ReportsUnsupportedFaultAsNotApplicable) {
  injector_.Start({MakeFault(FaultKind::kPowerLoss, "controller-1", 1, 3)});
  fleet_.RunFor(seconds(2));
  ASSERT_EQ(injector_.outcomes().size(), 1u);
  EXPECT_EQ(injector_.outcomes()[0].result, "not applicable: no power switch");
  EXPECT_THAT(fleet_.events, IsEmpty());
}

TEST_F(FaultInjectorTest, SkipsProcessWithActiveFault) {
  injector_.Start({MakeFault(FaultKind::kFreeze, "gateway-1", 1, 5),
                   MakeFault(FaultKind::kKill, "gateway-1", 2, 1),
                   MakeFault(FaultKind::kKill, "nobody", 2, 1)});
  fleet_.RunFor(seconds(10));
  EXPECT_THAT(fleet_.operations, ElementsAre("freeze gateway-1", "thaw gateway-1"));
  ASSERT_EQ(injector_.outcomes().size(), 3u);
  EXPECT_THAT(injector_.outcomes()[1].result, HasSubstr("skipped"));
  EXPECT_THAT(injector_.outcomes()[2].result, HasSubstr("no process matches"));
}

TEST_F(FaultInjectorTest, WaitsForDrainBeforeRestart) {
  fleet_.draining = 4;
  injector_.Start({MakeFault(FaultKind::kStop, "gateway-1", 1, 1)});
  fleet_.RunFor(seconds(2));
  EXPECT_THAT(fleet_.operations, ElementsAre("stop gateway-1"));
  fleet_.RunFor(seconds(2));
  EXPECT_THAT(fleet_.operations, ElementsAre("stop gateway-1", "restart gateway-1"));
}

TEST_F(FaultInjectorTest, OverlappingPartitionsHealTogether) {
  Fault one_way = MakeFault(FaultKind::kPartition, "gateway-1", 1, 2);
  one_way.one_way = true;
  one_way.peer.role = Role::kController;
  injector_.Start({one_way, MakeFault(FaultKind::kPartition, "gateway-1", 2, 4)});
  fleet_.RunFor(seconds(1) + std::chrono::milliseconds(500));
  EXPECT_THAT(fleet_.PartitionedLinks(), ElementsAre("gateway-1>controller-1"));
  fleet_.RunFor(seconds(3));
  EXPECT_THAT(fleet_.PartitionedLinks(),
              ElementsAre("controller-1>gateway-1", "gateway-1>controller-1", "gateway-1>gateway-2",
                          "gateway-2>gateway-1"));
  fleet_.RunFor(seconds(2));
  EXPECT_THAT(fleet_.PartitionedLinks(), IsEmpty());
}

TEST_F(FaultInjectorTest, EndAllEndsActiveFaults) {
  injector_.Start({MakeFault(FaultKind::kFreeze, "gateway-1", 1, 500),
                   MakeFault(FaultKind::kPartition, "gateway-2", 1, 500),
                   MakeFault(FaultKind::kKill, "controller-1", 1, 500)});
  fleet_.RunFor(seconds(2));
  injector_.EndAll();
  EXPECT_THAT(fleet_.PartitionedLinks(), IsEmpty());
  EXPECT_EQ(std::count(fleet_.operations.begin(), fleet_.operations.end(), "thaw gateway-1"), 1);
  EXPECT_EQ(std::count(fleet_.operations.begin(), fleet_.operations.end(), "restart controller-1"),
            1);
}

TEST_F(FaultInjectorTest, ReplacementNotifiesFleet) {
  injector_.Start({MakeFault(FaultKind::kReplace, "gateway-1", 1, 1)});
  fleet_.RunFor(seconds(2));
  EXPECT_EQ(changes_, 1);
}

TEST_F(FaultInjectorTest, ChaosSpacesDiskLosses) {
  injector_.StartChaos({MakeFault(FaultKind::kDiskLoss, "controller-1", 1, 1),
                        MakeFault(FaultKind::kDiskLoss, "controller-1", 6, 1)});
  fleet_.RunFor(seconds(10));
  EXPECT_THAT(injector_.outcomes()[1].result, HasSubstr("may not be repaired"));
}

TEST(TargetResolver, ChaosIsDeterministicBySeed) {
  Chaos chaos;
  chaos.kinds = {FaultKind::kKill, FaultKind::kPartition, FaultKind::kEvents};
  chaos.until = std::chrono::minutes(2);
  runtime::Random first(7);
  runtime::Random second(7);
  const std::vector<Fault> faults = DrawChaos(chaos, &first);
  const std::vector<Fault> second_faults = DrawChaos(chaos, &second);
  ASSERT_EQ(faults.size(), second_faults.size());
  EXPECT_GT(faults.size(), 10u);
  for (size_t index = 0; index < faults.size(); ++index) {
    EXPECT_EQ(faults[index].kind, second_faults[index].kind);
    EXPECT_EQ(faults[index].at, second_faults[index].at);
    EXPECT_EQ(faults[index].target.role, second_faults[index].target.role);
  }
}

TEST(TargetResolver, SelectsByRoleZoneLabelAndNumber) {
  const std::vector<ProcessInfo> processes = {
      {"worker-1", Role::kWorker, "z1", {{"pool", "odd"}}, ""},
      {"worker-2", Role::kWorker, "z2", {{"pool", "even"}}, ""},
      {"inventory", Role::kInventory, "z1", {}, ""}};
  runtime::Random random(1);
  Target zone;
  zone.zone = "z1";
  ASSERT_EQ(ResolveTarget(zone, processes, "", &random).size(), 1u) << "not the inventory";
  Target label;
  label.label = "pool=even";
  EXPECT_EQ(ResolveTarget(label, processes, "", &random).at(0).name, "worker-2");
  Target both;
  both.role = Role::kWorker;
  both.name = "random";
  both.count = 5;
  EXPECT_EQ(ResolveTarget(both, processes, "", &random).size(), 2u);
}

}  // namespace
}  // namespace posthatch::fleettest
