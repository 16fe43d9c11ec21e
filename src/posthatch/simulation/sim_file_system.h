#pragma once

#include <deque>
#include <string>
#include <vector>

#include "posthatch/runtime/file_system.h"
#include "posthatch/simulation/sim_disk.h"
#include "posthatch/simulation/world_core.h"

namespace posthatch::simulation {

// Speed of a host's disk; shared by all processes of the host.
struct DiskSpeed {
  runtime::Duration per_sync = std::chrono::milliseconds(1);
  runtime::Duration per_operation = std::chrono::microseconds(20);
};

// One process's access to its host's disk. After a crash, a random prefix of the running batch has
// been applied, and no later batch. Owned by the host's runtime.
class SimFileSystem : public runtime::FileSystem {
 public:
  SimFileSystem(WorldCore* core, HostExecutor* host, SimDisk* disk, const DiskSpeed* speed);

  void Submit(std::vector<runtime::FileOperation> operations, Done done) override;
  absl::StatusOr<std::string> ReadFile(const std::string& path) override {
    return disk_->ReadFile(path);
  }
  absl::StatusOr<std::vector<std::string>> ListDirectory(const std::string& path) override {
    return disk_->ListDirectory(path);
  }

  // Called when the process ends: leaves the running batch partially applied. The object remains
  // and ignores calls.
  void Shutdown();

 private:
  struct Batch {
    std::vector<runtime::FileOperation> operations;
    Done done;
  };
  void StartNext();
  void Complete();

  WorldCore* const core_;
  HostExecutor* const host_;
  const uint64_t process_id_;
  SimDisk* const disk_;
  const DiskSpeed* const speed_;
  std::deque<Batch> batches_;  // the first one is running
  EventId completion_ = 0;     // event that completes the running batch; 0: none
};

}  // namespace posthatch::simulation
