// Whole replicas over the simulator, by seed, under a mix of faults. POSTHATCH_SEEDS sets how many
// seeds are run (default 30), POSTHATCH_FIRST_SEED the first.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "posthatch/consensus/log_history-test.h"
#include "posthatch/consensus/raft_replica.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::consensus {
namespace {

using simulation::SimHost;
using simulation::SimWorld;
using std::chrono::milliseconds;
using std::chrono::seconds;

uint64_t EnvironmentNumber(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  uint64_t number = 0;
  return text != nullptr && absl::SimpleAtoi(text, &number) ? number : otherwise;
}

// A list of commands; the answer to a command is its position.
class ListMachine : public StateMachine {
 public:
  ListMachine(std::string replica, LogHistory* history)
      : replica_(std::move(replica)), history_(history) {}

  std::string Apply(uint64_t, uint64_t, const std::string& command) override {
    commands_.push_back(command);
    history_->OnApplied(replica_, commands_.size(), command);
    return absl::StrCat(commands_.size());
  }
  std::string TakeSnapshot() const override { return absl::StrJoin(commands_, "\n"); }
  absl::Status RestoreSnapshot(const std::string& snapshot) override {
    commands_ = absl::StrSplit(snapshot, '\n', absl::SkipEmpty());
    for (size_t i = 0; i < commands_.size(); ++i) {
      history_->OnApplied(replica_, i + 1, commands_[i]);
    }
    return absl::OkStatus();
  }
  const std::vector<std::string>& commands() const { return commands_; }

 private:
  const std::string replica_;
  LogHistory* const history_;
  std::vector<std::string> commands_;
};

struct Process {
  Process(runtime::Runtime* runtime, ReplicaOptions options, const std::string& name,
          LogHistory* history)
      : machine(name, history), replica(runtime, std::move(options), &machine) {}
  ListMachine machine;
  RaftReplica replica;
};

// A cluster of `size` controllers with clients.
class RaftWorld {
 public:
  struct Node {
    SimHost* host = nullptr;
    Process* process = nullptr;  // null while not running
    bool frozen = false;
    uint64_t id_on_disk = 0;  // of the newest start; 0 once the disk is lost
  };

  RaftWorld(uint64_t seed, size_t size) : world_(seed), random_(seed * 31 + size), nodes_(size) {
    for (size_t i = 0; i < size; ++i) {
      const std::string name = absl::StrCat("controller", i);
      nodes_[i].host =
          world_.AddHost(name, absl::StrCat("zone", i), absl::StrCat("10.0.0.", i + 1));
    }
    for (size_t i = 0; i < size; ++i) {
      nodes_[i].host->SetBoot([this, i](runtime::Runtime* runtime) { return Boot(i, runtime); });
      nodes_[i].host->Start();
    }
  }
  ~RaftWorld() {
    for (Node& node : nodes_) {
      node.host->Thaw();
      node.host->Crash();
    }
  }

  SimWorld& world() { return world_; }
  runtime::Random& random() { return random_; }
  LogHistory& history() { return history_; }
  std::vector<Node>& nodes() { return nodes_; }
  ReplicaOptions& options() { return options_; }

  bool Usable(size_t i) const {
    return nodes_[i].process != nullptr && !nodes_[i].frozen && nodes_[i].host->running();
  }
  RaftReplica* Replica(size_t i) { return &nodes_[i].process->replica; }

  // Index of the usable leader of the highest term that has a quorum; -1 if none.
  int Leader() {
    int leader = -1;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!Usable(i) || !Replica(i)->IsLeader() || !Replica(i)->HasQuorumNow()) continue;
      if (leader < 0 || Replica(i)->term() > Replica(static_cast<size_t>(leader))->term()) {
        leader = static_cast<int>(i);
      }
    }
    return leader;
  }
  bool RunUntilLeader(runtime::Duration limit = seconds(30)) {
    return world_.RunUntil([this] { return Leader() >= 0; }, limit);
  }

  void Append(size_t i) {
    LogHistory::Operation operation;
    operation.command = absl::StrCat("c", next_command_++);
    operation.begin_ns = NowNs();
    const auto answered = std::make_shared<bool>(false);
    Replica(i)->Propose(operation.command,
                        [this, operation, answered](absl::StatusOr<std::string> answer) mutable {
                          *answered = true;
                          if (answer.ok()) {
                            operation.end_ns = NowNs();
                            EXPECT_TRUE(absl::SimpleAtoi(*answer, &operation.position));
                            const auto callback = std::exchange(on_acknowledged_, nullptr);
                            if (callback) callback();
                          }
                          if (!answer.ok() && !absl::IsAborted(answer.status())) return;
                          history_.AddOperation(std::move(operation));
                        });
    if (!*answered) ++proposed_;
  }

  void Read(size_t i) {
    LogHistory::Operation operation;
    operation.is_read = true;
    operation.begin_ns = NowNs();
    Process* process = nodes_[i].process;
    process->replica.ReadBarrier([this, process, operation](const absl::Status& status) mutable {
      if (!status.ok()) return;
      operation.end_ns = NowNs();
      operation.position = process->machine.commands().size();
      history_.AddOperation(std::move(operation));
    });
  }

  // Every few milliseconds one client turns to some usable replica, not knowing who leads.
  void RunClients() {
    const size_t i = random_.Uniform(nodes_.size());
    if (Usable(i)) random_.Chance(0.7) ? Append(i) : Read(i);
    CheckQuorums();
    if (!clients_stopped_) {
      world_.At(random_.Between(milliseconds(2), milliseconds(25)), [this] { RunClients(); });
    }
  }
  void StopClients() { clients_stopped_ = true; }
  // Called once, at the next acknowledgement.
  void SetOnAcknowledged(std::function<void()> callback) { on_acknowledged_ = std::move(callback); }

  void CheckQuorums() {
    int with_quorum = 0;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      with_quorum += Usable(i) && Replica(i)->HasQuorumNow() ? 1 : 0;
    }
    if (with_quorum > 1) history_.OnTwoQuorums();
  }

  // Whether the quorum outlives the loss of one more disk: of the voters in force, less than half
  // would then have lost theirs.
  bool MayLoseADisk() {
    const int leader = Leader();
    if (leader < 0) return false;
    size_t voters = 0;
    size_t lost = 0;
    for (const ReplicaStatus::MemberStatus& member :
         Replica(static_cast<size_t>(leader))->Status().members) {
      if (!member.voter) continue;
      ++voters;
      lost += HasDiskOf(member.replica_id) ? 0 : 1;
    }
    return lost + 1 <= (voters - 1) / 2;
  }

  // All replicas are voters of one cluster, and there is no other member.
  bool IsWhole() {
    const int leader = Leader();
    if (leader < 0) return false;
    const ReplicaStatus status = Replica(static_cast<size_t>(leader))->Status();
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!Usable(i) || Replica(i)->Status().cluster_id != status.cluster_id) return false;
    }
    for (const ReplicaStatus::MemberStatus& member : status.members) {
      if (!member.voter || !HasDiskOf(member.replica_id)) return false;
    }
    return status.members.size() == nodes_.size();
  }

  void LoseDisk(size_t i) {
    nodes_[i].host->PowerLoss();
    nodes_[i].host->LoseDisk();
    nodes_[i].id_on_disk = 0;
  }

  // Mends everything and waits until all replicas hold the same. Returns what went wrong.
  std::string Settle() {
    world_.HealAll();
    world_.SetNetwork({});
    for (Node& node : nodes_) {
      node.host->Thaw();
      node.frozen = false;
      node.host->SetDiskDelay(milliseconds(1));
      node.host->SetDiskFull(false);
      node.host->Start();
    }
    if (!RunUntilLeader(seconds(60))) return "no leader after all was mended";
    const size_t before = history_.acknowledged();
    if (!world_.RunUntil([this, before] { return history_.acknowledged() > before; },
                         seconds(30))) {
      return "no command acknowledged after all was mended";
    }
    StopClients();
    const auto equal = [this] {
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (!Usable(i) || Length(i) != Length(0)) return false;
      }
      return Leader() >= 0;
    };
    world_.RunFor(seconds(3));
    if (!world_.RunUntil(equal, seconds(60))) return "replicas did not become equal";
    return "";
  }
  size_t Length(size_t i) const { return nodes_[i].process->machine.commands().size(); }

 private:
  bool HasDiskOf(uint64_t replica_id) const {
    return std::any_of(nodes_.begin(), nodes_.end(),
                       [replica_id](const Node& node) { return node.id_on_disk == replica_id; });
  }

  std::shared_ptr<void> Boot(size_t i, runtime::Runtime* runtime) {
    ReplicaOptions options = options_;
    options.bootstrap_expect = nodes_.size();
    options.raft.target_voters = nodes_.size();
    options.raft.replace_silent_after = seconds(15);
    options.snapshot_every_entries = 60;
    options.keep_entries = 20;
    options.log.segment_bytes = 4096;
    options.peers = [this] {
      std::vector<std::string> endpoints;
      for (const Node& node : nodes_) endpoints.push_back(node.host->internal_endpoint());
      return endpoints;
    };
    const std::string name = nodes_[i].host->name();
    auto process = std::make_shared<Process>(runtime, options, name, &history_);
    process->replica.SetLeadershipListener([this, name](bool is_leader, uint64_t term) {
      if (is_leader) history_.OnLeader(name, term);
    });
    const absl::Status started = process->replica.Start();
    EXPECT_TRUE(started.ok()) << name << ": " << started;
    nodes_[i].id_on_disk = process->replica.Status().replica_id;
    nodes_[i].process = process.get();
    return std::shared_ptr<void>(process.get(), [this, i, process](void*) mutable {
      nodes_[i].process = nullptr;
      process.reset();
    });
  }

  int64_t NowNs() const { return runtime::ToNanoseconds(world_.Now()); }

  LogHistory history_;
  ReplicaOptions options_;
  SimWorld world_;
  runtime::Random random_;
  std::vector<Node> nodes_;
  uint64_t next_command_ = 1;
  uint64_t proposed_ = 0;
  bool clients_stopped_ = false;
  std::function<void()> on_acknowledged_;
};

// One fault after another, for `duration`.
class FaultMix {
 public:
  explicit FaultMix(RaftWorld* cluster) : cluster_(cluster), random_(&cluster->random()) {}

  void Run(runtime::Duration duration) {
    const runtime::MonotonicTime end = cluster_->world().Now() + duration;
    while (cluster_->world().Now() < end) {
      Inject();
      cluster_->world().RunFor(random_->Between(milliseconds(100), seconds(4)));
    }
  }
  size_t lost_disks() const { return lost_disks_; }

 private:
  void Inject() {
    const size_t i = random_->Uniform(cluster_->nodes().size());
    RaftWorld::Node& node = cluster_->nodes()[i];
    switch (random_->Uniform(12)) {
      case 0:
        node.host->Crash();
        return StartLater(i);
      case 1:
        node.host->PowerLoss();
        return StartLater(i);
      case 2:
        return LoseDisk(i);
      case 3:
        return Freeze(i);
      case 4:
        node.host->SetDiskDelay(milliseconds(400));
        return Later(seconds(6), [&node] { node.host->SetDiskDelay(milliseconds(1)); });
      case 5:
        return node.host->JumpWallClock(seconds(random_->Chance(0.5) ? 3600 : -3600));
      case 6:
        return CutOff(i, /*out=*/true, /*in=*/true);
      case 7:
        return CutOff(i, /*out=*/true, /*in=*/false);
      case 8:
        return CutOff(i, /*out=*/false, /*in=*/true);
      case 9:
        node.host->SetDiskFull(true);
        return Later(seconds(2), [&node] { node.host->SetDiskFull(false); });
      case 10:
        return LoseAllPower();
      default:
        return RestartInTurn();
    }
  }

  void Later(runtime::Duration delay, std::function<void()> action) {
    cluster_->world().At(delay, std::move(action));
  }
  void StartLater(size_t i) {
    RaftWorld::Node& node = cluster_->nodes()[i];
    node.frozen = false;
    Later(random_->Between(milliseconds(50), seconds(3)), [&node] { node.host->Start(); });
  }
  void LoseDisk(size_t i) {
    // With a majority of disks gone at once nothing can be promised.
    if (!cluster_->MayLoseADisk()) return;
    ++lost_disks_;
    cluster_->LoseDisk(i);
    StartLater(i);
  }
  void Freeze(size_t i) {
    RaftWorld::Node& node = cluster_->nodes()[i];
    if (!node.host->running()) return;
    node.host->Freeze();
    node.frozen = true;
    Later(random_->Chance(0.5) ? seconds(21) : seconds(2), [&node] {
      if (!node.frozen) return;
      node.host->Thaw();
      node.frozen = false;
    });
  }
  void CutOff(size_t i, bool out, bool in) {
    const std::string& name = cluster_->nodes()[i].host->name();
    for (const RaftWorld::Node& other : cluster_->nodes()) {
      const std::string& other_name = other.host->name();
      if (other_name == name) continue;
      if (out) cluster_->world().Cut(name, other_name);
      if (in) cluster_->world().Cut(other_name, name);
    }
    Later(random_->Between(seconds(1), seconds(8)), [this] { cluster_->world().HealAll(); });
  }
  // All lose power in the moment after an acknowledgement.
  void LoseAllPower() {
    cluster_->SetOnAcknowledged([this] {
      Later(runtime::Duration(0), [this] {
        for (size_t i = 0; i < cluster_->nodes().size(); ++i) {
          cluster_->nodes()[i].host->PowerLoss();
          StartLater(i);
        }
      });
    });
  }
  void RestartInTurn() {
    for (size_t i = 0; i < cluster_->nodes().size(); ++i) {
      RaftWorld::Node& node = cluster_->nodes()[i];
      Later(seconds(i), [&node] {
        node.host->Crash();
        node.frozen = false;
      });
      Later(seconds(i) + milliseconds(300), [&node] { node.host->Start(); });
    }
  }

  RaftWorld* const cluster_;
  runtime::Random* const random_;
  size_t lost_disks_ = 0;
};

class RaftSimulationTest : public testing::TestWithParam<size_t> {};

TEST_P(RaftSimulationTest, KeepsItsPromisesUnderMixedFaults) {
  const uint64_t first = EnvironmentNumber("POSTHATCH_FIRST_SEED", 1);
  const uint64_t seeds = EnvironmentNumber("POSTHATCH_SEEDS", 30);
  size_t acknowledged = 0;
  size_t reads = 0;
  size_t leaders = 0;
  size_t lost_disks = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    RaftWorld cluster(seed, GetParam());
    ASSERT_TRUE(cluster.RunUntilLeader()) << "seed " << seed;
    cluster.RunClients();
    FaultMix faults(&cluster);
    faults.Run(seconds(40));
    const std::string trouble = cluster.Settle();
    ASSERT_EQ(trouble, "") << "seed " << seed << "\n"
                           << absl::StrJoin(cluster.world().RecentTrace(), "\n");
    const std::vector<std::string> violations = cluster.history().Check(cluster.Length(0));
    ASSERT_TRUE(violations.empty()) << "seed " << seed << ": " << absl::StrJoin(violations, "; ");
    acknowledged += cluster.history().acknowledged();
    reads += cluster.history().reads();
    leaders += cluster.history().leaders();
    lost_disks += faults.lost_disks();
  }
  // A run that saw nothing has proved nothing.
  EXPECT_GT(acknowledged, seeds * 50);
  EXPECT_GT(reads, seeds * 20);
  EXPECT_GT(leaders, seeds * 2);
  EXPECT_GT(lost_disks, seeds / 10);
  std::cout << seeds << " seeds, " << GetParam() << " replicas: " << acknowledged
            << " acknowledged commands, " << reads << " reads, " << leaders << " leaderships, "
            << lost_disks << " lost disks\n";
}

INSTANTIATE_TEST_SUITE_P(Sizes, RaftSimulationTest, testing::Values(3, 5));

TEST(RaftReplicaTest, EqualSeedsGiveEqualRuns) {
  const auto hash_of = [](uint64_t seed) {
    RaftWorld cluster(seed, 3);
    cluster.RunClients();
    FaultMix faults(&cluster);
    faults.Run(seconds(10));
    return cluster.world().trace_hash();
  };
  EXPECT_EQ(hash_of(5), hash_of(5));
  EXPECT_NE(hash_of(5), hash_of(6));
}

TEST(RaftReplicaTest, DisksLostOneAfterAnotherAreReplacedAndNothingIsLost) {
  RaftWorld cluster(11, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  cluster.RunClients();
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_TRUE(cluster.world().RunUntil([&cluster] { return cluster.IsWhole(); }, seconds(30)));
    const uint64_t old_id = cluster.Replica(i)->Status().replica_id;
    cluster.LoseDisk(i);
    cluster.nodes()[i].host->Start();
    cluster.world().RunFor(seconds(5));
    ASSERT_TRUE(cluster.Usable(i));
    EXPECT_NE(cluster.Replica(i)->Status().replica_id, old_id);
  }
  ASSERT_TRUE(cluster.world().RunUntil([&cluster] { return cluster.IsWhole(); }, seconds(30)));
  EXPECT_EQ(cluster.Settle(), "");
  EXPECT_TRUE(cluster.history().Check(cluster.Length(0)).empty());
  EXPECT_GT(cluster.history().acknowledged(), 100U);
}

TEST(RaftReplicaTest, LeaderWithASlowDiskHandsOver) {
  RaftWorld cluster(12, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  cluster.RunClients();
  const int slow = cluster.Leader();
  cluster.nodes()[static_cast<size_t>(slow)].host->SetDiskDelay(milliseconds(400));
  ASSERT_TRUE(cluster.world().RunUntil(
      [&] { return cluster.Leader() >= 0 && cluster.Leader() != slow; }, seconds(10)));
  cluster.world().RunFor(seconds(10));
  EXPECT_NE(cluster.Leader(), slow);
  cluster.StopClients();
}

TEST(RaftReplicaTest, FullDiskRefusesCommandsAndRecovers) {
  RaftWorld cluster(13, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  for (RaftWorld::Node& node : cluster.nodes()) node.host->SetDiskFull(true);
  cluster.Append(static_cast<size_t>(cluster.Leader()));
  cluster.world().RunFor(seconds(2));
  EXPECT_EQ(cluster.history().acknowledged(), 0U);
  const int leader = cluster.Leader();
  ASSERT_GE(leader, 0);
  absl::Status refused;
  cluster.Replica(static_cast<size_t>(leader))
      ->Propose("x", [&refused](const absl::StatusOr<std::string>& answer) {
        refused = answer.status();
      });
  EXPECT_TRUE(absl::IsResourceExhausted(refused)) << refused;
  cluster.RunClients();
  EXPECT_EQ(cluster.Settle(), "");
  EXPECT_TRUE(cluster.history().Check(cluster.Length(0)).empty());
}

TEST(RaftReplicaTest, TransferMovesLeadershipWithoutAnElectionTimeout) {
  RaftWorld cluster(14, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  const int old_leader = cluster.Leader();
  absl::Status result = absl::UnknownError("no answer");
  cluster.Replica(static_cast<size_t>(old_leader))
      ->TransferLeadership([&result](const absl::Status& status) { result = status; });
  EXPECT_TRUE(cluster.world().RunUntil(
      [&] { return cluster.Leader() >= 0 && cluster.Leader() != old_leader; }, milliseconds(500)));
  cluster.world().RunFor(milliseconds(500));
  EXPECT_TRUE(result.ok()) << result;
}

TEST(RaftReplicaTest, WakingLeaderAnswersNoReadAndHasNoQuorum) {
  RaftWorld cluster(15, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  const auto old_leader = static_cast<size_t>(cluster.Leader());
  cluster.nodes()[old_leader].host->Freeze();
  cluster.nodes()[old_leader].frozen = true;
  cluster.world().RunFor(seconds(21));
  ASSERT_GE(cluster.Leader(), 0);
  EXPECT_FALSE(cluster.Replica(old_leader)->HasQuorumNow());
  bool read_answered = false;
  cluster.Replica(old_leader)->ReadBarrier([&read_answered](const absl::Status& status) {
    read_answered = status.ok();
  });
  cluster.nodes()[old_leader].host->Thaw();
  cluster.world().RunFor(seconds(3));
  EXPECT_FALSE(read_answered);
}

TEST(RaftReplicaTest, SingleControllerFormsAClusterAndSurvivesPowerLoss) {
  RaftWorld cluster(17, 1);
  ASSERT_TRUE(cluster.RunUntilLeader());
  cluster.RunClients();
  cluster.world().RunFor(seconds(5));
  cluster.nodes()[0].host->PowerLoss();
  EXPECT_EQ(cluster.Settle(), "");
  EXPECT_TRUE(cluster.history().Check(cluster.Length(0)).empty());
  EXPECT_GT(cluster.history().acknowledged(), 50U);
}

TEST(RaftReplicaTest, TwoControllersOfThreeFormNoCluster) {
  RaftWorld cluster(16, 3);
  cluster.nodes()[2].host->Crash();
  cluster.world().RunFor(seconds(20));
  EXPECT_EQ(cluster.Leader(), -1);
  cluster.nodes()[2].host->Start();
  EXPECT_TRUE(cluster.RunUntilLeader());
}

TEST(RaftReplicaTest, FormsOneClusterThoughReplicasDieAndLoseDisksMeanwhile) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    RaftWorld cluster(seed, 3);
    // One replica dies in the moment of forming; at odd seeds its disk is lost too.
    cluster.world().RunFor(cluster.random().Between(milliseconds(500), milliseconds(1500)));
    const size_t i = cluster.random().Uniform(3);
    cluster.nodes()[i].host->PowerLoss();
    if (seed % 2 == 1) cluster.LoseDisk(i);
    cluster.world().RunFor(cluster.random().Between(milliseconds(1), seconds(4)));
    cluster.nodes()[i].host->Start();
    ASSERT_TRUE(cluster.world().RunUntil([&cluster] { return cluster.IsWhole(); }, seconds(60)))
        << "seed " << seed;
  }
}

// ---------------------------------------------------------------------------------- the checks

LogHistory::Operation NewOperation(bool is_read, const std::string& command, int64_t begin,
                                   int64_t end, uint64_t position) {
  return {is_read, command, begin, end, position};
}

TEST(LogHistoryTest, AcceptsALinearizableHistory) {
  LogHistory history;
  history.OnApplied("a", 1, "x");
  history.OnApplied("a", 2, "y");
  history.OnApplied("b", 1, "x");
  history.AddOperation(NewOperation(false, "x", 0, 10, 1));
  history.AddOperation(NewOperation(true, "", 5, 12, 2));
  history.AddOperation({false, "y", 8, std::nullopt, 0});
  history.AddOperation(NewOperation(true, "", 13, 14, 2));
  EXPECT_TRUE(history.Check(2).empty());
}

TEST(LogHistoryTest, FindsALostCommand) {
  LogHistory history;
  history.OnApplied("a", 1, "x");
  history.AddOperation(NewOperation(false, "y", 0, 10, 2));
  EXPECT_FALSE(history.Check(1).empty());
  LogHistory forgotten;
  forgotten.OnApplied("a", 1, "x");
  forgotten.AddOperation(NewOperation(false, "x", 0, 10, 1));
  EXPECT_FALSE(forgotten.Check(0).empty());
}

TEST(LogHistoryTest, FindsReplicasThatDifferAndCommandsAppliedTwice) {
  LogHistory differ;
  differ.OnApplied("a", 1, "x");
  differ.OnApplied("b", 1, "y");
  EXPECT_FALSE(differ.Check(1).empty());
  LogHistory twice;
  twice.OnApplied("a", 1, "x");
  twice.OnApplied("a", 2, "x");
  EXPECT_FALSE(twice.Check(2).empty());
}

TEST(LogHistoryTest, FindsTwoLeadersAndTwoQuorums) {
  LogHistory history;
  history.OnLeader("a", 3);
  history.OnLeader("a", 3);
  EXPECT_TRUE(history.Check(0).empty());
  history.OnLeader("b", 3);
  EXPECT_FALSE(history.Check(0).empty());
  LogHistory quorums;
  quorums.OnTwoQuorums();
  EXPECT_FALSE(quorums.Check(0).empty());
}

TEST(LogHistoryTest, FindsStaleReadsAndReadsOfTheFuture) {
  LogHistory stale;
  stale.OnApplied("a", 1, "x");
  stale.AddOperation(NewOperation(false, "x", 0, 10, 1));
  stale.AddOperation(NewOperation(true, "", 11, 12, 0));
  EXPECT_FALSE(stale.Check(1).empty());
  LogHistory back;
  back.OnApplied("a", 1, "x");
  back.AddOperation({false, "x", 0, std::nullopt, 0});
  back.AddOperation(NewOperation(true, "", 1, 2, 1));
  back.AddOperation(NewOperation(true, "", 3, 4, 0));
  EXPECT_FALSE(back.Check(1).empty());
  LogHistory future;
  future.OnApplied("a", 1, "x");
  future.AddOperation(NewOperation(true, "", 1, 2, 1));
  future.AddOperation(NewOperation(false, "x", 3, 4, 1));
  EXPECT_FALSE(future.Check(1).empty());
}

}  // namespace
}  // namespace posthatch::consensus
