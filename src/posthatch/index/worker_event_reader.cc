#include "posthatch/index/worker_event_reader.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/index/replication/extent_codec.h"

namespace posthatch::index {
namespace {

// How long an event waits for the dispatching gateway's report, which it may overtake.
constexpr runtime::Duration kAttributionWait = std::chrono::seconds(3);
constexpr runtime::Duration kAttributionRetry = std::chrono::milliseconds(100);
constexpr size_t kMaxUnattributedEvents = 4096;

}  // namespace

WorkerEventReader::WorkerEventReader(runtime::Runtime* runtime, WorkerEventFeed::Options options,
                                     Dependencies dependencies)
    : runtime_(runtime),
      options_(options),
      dependencies_(dependencies),
      retry_timer_(runtime->timers) {}

bool WorkerEventReader::MayRead(const std::string& worker) const {
  if (!dependencies_.fleet->LeaseValid()) return false;
  const control::WorkerLease* lease = control::FindLease(dependencies_.fleet->state(), worker);
  return lease != nullptr && lease->holder() == runtime_->transport->node_id() &&
         lease->holder_incarnation() == runtime_->transport->incarnation() &&
         lease->fencing_token() == feeds_.at(worker).fencing_token;
}

void WorkerEventReader::FollowFleet(const control::FleetState& state) {
  absl::btree_map<std::string, std::string> endpoints;
  for (const control::Backend& backend : state.inventory().backends()) {
    if (backend.kind() == control::BACKEND_KIND_WORKER) {
      endpoints[backend.id()] = backend.endpoint();
    }
  }
  absl::btree_map<std::string, uint64_t> leased;
  for (const control::WorkerLease& lease : state.leases()) {
    if (lease.holder() == runtime_->transport->node_id() &&
        lease.holder_incarnation() == runtime_->transport->incarnation() &&
        endpoints.contains(lease.worker_id())) {
      leased[lease.worker_id()] = lease.fencing_token();
    }
  }
  for (auto it = feeds_.begin(); it != feeds_.end();) {
    const auto lease = leased.find(it->first);
    if (lease == leased.end() || lease->second != it->second.fencing_token ||
        endpoints[it->first] != it->second.feed->endpoint()) {
      dependencies_.publisher->End(it->first);
      it = feeds_.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& [worker, token] : leased) {
    if (!feeds_.contains(worker)) StartFeed(worker, endpoints[worker], token);
  }
}

void WorkerEventReader::StartFeed(const std::string& worker, const std::string& endpoint,
                                  uint64_t fencing_token) {
  WorkerEventFeedOwner* owner = this;
  LeasedFeed& feed = feeds_[worker];
  feed.fencing_token = fencing_token;
  feed.feed = std::make_unique<WorkerEventFeed>(runtime_, options_, worker, endpoint,
                                                dependencies_.trust, owner);
  feed.feed->Start();
}

void WorkerEventReader::OnEpoch(const std::string& worker, uint64_t epoch) {
  ++stats_.epochs;
  const std::string object = HolderObject(HolderKind::kWorker, worker);
  invalidation::ObjectVersion version;
  const bool known =
      dependencies_.trust->CurrentVersion(object, &version) && version.epoch() == epoch;
  if (!known) {
    dependencies_.locator->DropHolder(HolderKind::kWorker, worker);
    dependencies_.reporter->ReportEpoch(object, epoch, "new epoch");
  }
  dependencies_.publisher->Begin(worker, epoch, feeds_.at(worker).fencing_token);
}

void WorkerEventReader::OnLost(const std::string& worker, uint64_t epoch, EventLoss loss) {
  ++stats_.losses;
  const char* reason = LossReason(loss);
  dependencies_.locator->DropHolder(HolderKind::kWorker, worker);
  dependencies_.reporter->ReportLoss(HolderObject(HolderKind::kWorker, worker), epoch, reason);
  runtime_->trace->Event(runtime::Severity::kInfo, "KvEventsLost",
                         {{"worker", worker}, {"epoch", epoch}, {"reason", reason}});
}

void WorkerEventReader::OnEvent(const std::string& worker,
                                const invalidation::ObjectVersion& version, KvEvent event) {
  if (event.type == KvEvent::Type::kRemoved) {
    stats_.removed_blocks += event.blocks.size();
    dependencies_.locator->Remove(HolderKind::kWorker, worker, event.blocks);
    dependencies_.publisher->AddRemoved(worker, event.blocks);
    DropUnattributed(worker, event.blocks);
    return;
  }
  stats_.stored_blocks += event.blocks.size();
  if (ApplyStored(worker, version, event)) return;
  if (unattributed_.size() >= kMaxUnattributedEvents) {
    stats_.unattributed_blocks += unattributed_.front().event.blocks.size();
    unattributed_.pop_front();
  }
  unattributed_.push_back(
      {worker, version, std::move(event), runtime_->clock->Now() + kAttributionWait});
  if (!retry_timer_.running()) {
    retry_timer_.Start(kAttributionRetry, [this] { RetryUnattributed(); });
  }
}

void WorkerEventReader::DropUnattributed(const std::string& worker,
                                         const std::vector<BlockHash>& removed) {
  const absl::flat_hash_set<BlockHash> removed_set(removed.begin(), removed.end());
  for (Unattributed& pending : unattributed_) {
    if (pending.worker != worker) continue;
    std::vector<BlockHash>& blocks = pending.event.blocks;
    blocks.erase(
        std::remove_if(blocks.begin(), blocks.end(),
                       [&removed_set](BlockHash block) { return removed_set.contains(block); }),
        blocks.end());
  }
}

std::vector<BlockHash> WorkerEventReader::Attribute(const KvEvent& event, BlockSeed* seed) const {
  if (!event.attempt.empty()) {
    const BlockSeed* attempt_seed = dependencies_.attributions->FindAttempt(event.attempt);
    if (attempt_seed != nullptr) {
      *seed = *attempt_seed;
      return event.blocks;
    }
  }
  const BlockSeed* salt_seed =
      event.salt.empty() ? nullptr : dependencies_.attributions->FindSalt(event.salt);
  if (salt_seed != nullptr) {
    *seed = *salt_seed;
    return event.blocks;
  }
  std::vector<BlockHash> attributed;
  const BlockSeed* first = nullptr;
  for (const BlockHash block : event.blocks) {
    const BlockSeed* block_seed = dependencies_.attributions->FindBlock(block);
    if (block_seed == nullptr) continue;
    if (first == nullptr) first = block_seed;
    if (block_seed == first) attributed.push_back(block);
  }
  if (first != nullptr) *seed = *first;
  return attributed;
}

bool WorkerEventReader::ApplyStored(const std::string& worker,
                                    const invalidation::ObjectVersion& version,
                                    const KvEvent& event) {
  if (event.blocks.empty()) return true;
  BlockSeed seed;
  const std::vector<BlockHash> blocks = Attribute(event, &seed);
  if (blocks.empty()) return false;
  if (!dependencies_.locator->Add(HolderKind::kWorker, worker, version, seed, blocks)) {
    return true;  // the version or the seed is not trusted now, so the entry is useless
  }
  Extent extent = MakeExtent(worker, version, seed);
  extent.set_block_hashes(PackBlocks(blocks));
  extent.set_first_block(event.first);
  dependencies_.publisher->AddStored(worker, extent);
  return true;
}

void WorkerEventReader::RetryUnattributed() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  std::deque<Unattributed> still_pending;
  for (Unattributed& pending : unattributed_) {
    if (now >= pending.expires_at) {
      stats_.unattributed_blocks += pending.event.blocks.size();
    } else if (!ApplyStored(pending.worker, pending.version, pending.event)) {
      still_pending.push_back(std::move(pending));
    }
  }
  unattributed_ = std::move(still_pending);
  if (!unattributed_.empty()) {
    retry_timer_.Start(kAttributionRetry, [this] { RetryUnattributed(); });
  }
}

}  // namespace posthatch::index
