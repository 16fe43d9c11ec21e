#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <utility>

#include "posthatch/consensus/raft_world-test.h"

namespace posthatch::consensus {

// Injects random faults into a RaftWorld, one after another, for the duration of Run.
class FaultMix {
 public:
  explicit FaultMix(RaftWorld* cluster) : cluster_(cluster), random_(&cluster->random()) {}

  void Run(runtime::Duration duration) {
    const runtime::MonotonicTime end = cluster_->world().Now() + duration;
    while (cluster_->world().Now() < end) {
      Inject();
      cluster_->world().RunFor(
          random_->Between(std::chrono::milliseconds(100), std::chrono::seconds(4)));
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
        return ScheduleStart(i);
      case 1:
        node.host->PowerLoss();
        return ScheduleStart(i);
      case 2:
        return LoseDisk(i);
      case 3:
        return Freeze(i);
      case 4:
        node.host->SetDiskDelay(std::chrono::milliseconds(400));
        return Schedule(std::chrono::seconds(6),
                        [&node] { node.host->SetDiskDelay(std::chrono::milliseconds(1)); });
      case 5:
        return node.host->JumpWallClock(std::chrono::seconds(random_->Chance(0.5) ? 3600 : -3600));
      case 6:
        return PartitionNode(i, /*out=*/true, /*in=*/true);
      case 7:
        return PartitionNode(i, /*out=*/true, /*in=*/false);
      case 8:
        return PartitionNode(i, /*out=*/false, /*in=*/true);
      case 9:
        node.host->SetDiskFull(true);
        return Schedule(std::chrono::seconds(2), [&node] { node.host->SetDiskFull(false); });
      case 10:
        return PowerLossOnAllNodes();
      default:
        return RollingRestart();
    }
  }

  void Schedule(runtime::Duration delay, std::function<void()> action) {
    cluster_->world().At(delay, std::move(action));
  }
  void ScheduleStart(size_t i) {
    RaftWorld::Node& node = cluster_->nodes()[i];
    node.frozen = false;
    Schedule(random_->Between(std::chrono::milliseconds(50), std::chrono::seconds(3)),
             [&node] { node.host->Start(); });
  }
  void LoseDisk(size_t i) {
    // Nothing is guaranteed once a majority of the disks is lost at the same time.
    if (!cluster_->ToleratesDiskLoss()) return;
    ++lost_disks_;
    cluster_->LoseDisk(i);
    ScheduleStart(i);
  }
  void Freeze(size_t i) {
    RaftWorld::Node& node = cluster_->nodes()[i];
    if (!node.host->running()) return;
    node.host->Freeze();
    node.frozen = true;
    Schedule(random_->Chance(0.5) ? std::chrono::seconds(21) : std::chrono::seconds(2), [&node] {
      if (!node.frozen) return;
      node.host->Thaw();
      node.frozen = false;
    });
  }
  void PartitionNode(size_t i, bool out, bool in) {
    const std::string& name = cluster_->nodes()[i].host->name();
    for (const RaftWorld::Node& other : cluster_->nodes()) {
      const std::string& other_name = other.host->name();
      if (other_name == name) continue;
      if (out) cluster_->world().Partition(name, other_name);
      if (in) cluster_->world().Partition(other_name, name);
    }
    Schedule(random_->Between(std::chrono::seconds(1), std::chrono::seconds(8)),
             [this] { cluster_->world().HealAll(); });
  }
  // All nodes lose power immediately after an acknowledgement.
  void PowerLossOnAllNodes() {
    cluster_->SetOnAcknowledged([this] {
      Schedule(runtime::Duration(0), [this] {
        for (size_t i = 0; i < cluster_->nodes().size(); ++i) {
          cluster_->nodes()[i].host->PowerLoss();
          ScheduleStart(i);
        }
      });
    });
  }
  void RollingRestart() {
    for (size_t i = 0; i < cluster_->nodes().size(); ++i) {
      RaftWorld::Node& node = cluster_->nodes()[i];
      Schedule(std::chrono::seconds(i), [&node] {
        node.host->Crash();
        node.frozen = false;
      });
      Schedule(std::chrono::seconds(i) + std::chrono::milliseconds(300),
               [&node] { node.host->Start(); });
    }
  }

  RaftWorld* const cluster_;
  runtime::Random* const random_;
  size_t lost_disks_ = 0;
};

}  // namespace posthatch::consensus
