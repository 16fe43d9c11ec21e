#include "posthatch/simulation/sim_file_system.h"

#include <utility>

namespace posthatch::simulation {

SimFileSystem::SimFileSystem(WorldCore* core, HostExecutor* host, SimDisk* disk,
                             const DiskSpeed* speed)
    : core_(core), host_(host), process_id_(host->process_id()), disk_(disk), speed_(speed) {}

void SimFileSystem::Submit(std::vector<runtime::FileOperation> operations, Done done) {
  if (process_id_ != host_->process_id()) return;
  batches_.push_back(Batch{std::move(operations), std::move(done)});
  if (batches_.size() == 1) StartNext();
}

void SimFileSystem::StartNext() {
  runtime::Duration cost(0);
  for (const runtime::FileOperation& operation : batches_.front().operations) {
    const bool is_sync = operation.kind == runtime::FileOperation::Kind::kSync ||
                         operation.kind == runtime::FileOperation::Kind::kSyncDirectory;
    cost += is_sync ? speed_->per_sync : speed_->per_operation;
  }
  completion_ = core_->queue.ScheduleAfter(cost, [this] {
    completion_ = 0;
    host_->Run(process_id_, HostExecutor::CallbackType::kNetwork, [this] { Complete(); });
  });
}

void SimFileSystem::Complete() {
  Batch batch = std::move(batches_.front());
  absl::Status status;
  for (const runtime::FileOperation& operation : batch.operations) {
    status = disk_->Apply(operation);
    core_->Mix(TraceKind::kDisk, host_->number(), static_cast<uint32_t>(operation.kind),
               operation.data);
    if (!status.ok()) break;
  }
  batches_.pop_front();
  if (!batches_.empty()) StartNext();
  if (batch.done) batch.done(status);
}

void SimFileSystem::Shutdown() {
  core_->queue.Cancel(completion_);
  completion_ = 0;
  if (batches_.empty()) return;
  std::deque<Batch> batches;
  batches.swap(batches_);
  const std::vector<runtime::FileOperation>& operations = batches.front().operations;
  const uint64_t applied_operations = core_->random.Uniform(operations.size() + 1);
  for (uint64_t i = 0; i < applied_operations; ++i) {
    if (!disk_->Apply(operations[i]).ok()) return;
  }
}

}  // namespace posthatch::simulation
