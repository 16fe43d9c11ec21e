#include "posthatch/consensus/leadership_transfer.h"

#include <limits>
#include <utility>

namespace posthatch::consensus {

namespace {

constexpr runtime::Duration kSlowDiskTransferInterval = std::chrono::seconds(10);
constexpr uint64_t kNoSyncLimit = std::numeric_limits<uint64_t>::max();

}  // namespace

bool LeadershipTransfer::Request(ReplicatedLog::ReadDone done) {
  if (!core_->IsLeader()) {
    done(absl::FailedPreconditionError("not leader"));
    return false;
  }
  if (done_) {
    done(absl::FailedPreconditionError("leadership transfer already pending"));
    return false;
  }
  done_ = std::move(done);
  deadline_ = Now() + timeout_;
  Tick();
  return true;
}

void LeadershipTransfer::Tick() {
  if (!done_) return;
  const bool another_leads = !core_->IsLeader() && core_->leader_id() != 0;
  if (!another_leads && Now() < deadline_) {
    if (core_->IsLeader() && !core_->IsTransferring()) {
      core_->TransferLeadership(kNoSyncLimit, Now());
    }
    return;
  }
  ReplicatedLog::ReadDone done = std::exchange(done_, nullptr);
  done(another_leads ? absl::OkStatus()
                     : absl::DeadlineExceededError("no other replica became leader in time"));
}

void LeadershipTransfer::TransferFromSlowDisk(uint64_t sync_p95_us) {
  const runtime::MonotonicTime now = Now();
  if (now < next_slow_disk_transfer_at_) return;
  // Requires a faster disk, or leadership would move back and forth between slow ones.
  if (!core_->TransferLeadership(sync_p95_us / 2, now)) return;
  next_slow_disk_transfer_at_ = now + kSlowDiskTransferInterval;
  runtime_->trace->Event(runtime::Severity::kWarning, "LeadershipTransferForSlowDisk",
                         {{"SyncP95Us", sync_p95_us}});
}

}  // namespace posthatch::consensus
