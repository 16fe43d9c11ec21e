#pragma once

#include <deque>
#include <string>
#include <vector>

#include "posthatch/runtime/file_system.h"
#include "posthatch/simulation/sim_disk.h"
#include "posthatch/simulation/world_core.h"

namespace posthatch::simulation {

// How slow a host's disk is; shared by all lives of the host.
struct DiskSpeed {
  runtime::Duration per_sync = std::chrono::milliseconds(1);
  runtime::Duration per_operation = std::chrono::microseconds(20);
};

// One life's view of its host's disk. At a crash, the batch that is running has done any prefix of
// its operations, and those behind it none. Owned by the host's runtime.
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

  // Called at the end of the life: leaves the running batch half done, as a crash does. The object
  // stays and ignores calls.
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
  EventId completion_ = 0;
};

}  // namespace posthatch::simulation
