#include "posthatch/index/replication/index_update_receiver.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/index/replication/extent_codec.h"
#include "posthatch/invalidation/channel_names.h"

namespace posthatch::index {
namespace {

// Within this time every gateway receives a new version, or its channel has timed out.
constexpr runtime::Duration kVersionWait = std::chrono::seconds(3);
constexpr size_t kMaxPendingExtents = 16384;

}  // namespace

uint64_t IndexUpdateReceiver::CurrentFencingToken(const std::string& worker) const {
  const control::WorkerLease* lease = control::FindLease(fleet_->state(), worker);
  return lease == nullptr ? 0 : lease->fencing_token();
}

HolderKind IndexUpdateReceiver::KindOf(const std::string& holder) {
  // The last result is cached, since all extents of an update have the same holder.
  const uint64_t inventory_index = fleet_->state().inventory_index();
  if (holder == cached_holder_ && inventory_index == cached_inventory_index_) return cached_kind_;
  const control::Backend* backend = control::FindBackend(fleet_->state().inventory(), holder);
  const bool is_store = backend != nullptr && backend->kind() == control::BACKEND_KIND_STORE;
  cached_holder_ = holder;
  cached_inventory_index_ = inventory_index;
  cached_kind_ = is_store ? HolderKind::kStore : HolderKind::kWorker;
  return cached_kind_;
}

bool IndexUpdateReceiver::Admit(uint64_t incarnation, const IndexUpdate& update) {
  SenderState& sender = senders_[update.holder()];
  const uint64_t newest = std::max(sender.fencing_token, CurrentFencingToken(update.holder()));
  if (update.fencing_token() < newest || update.fencing_token() == 0) {
    ++stats_.fenced;
    return false;
  }
  const bool same_incarnation =
      update.fencing_token() == sender.fencing_token && incarnation == sender.incarnation;
  if (same_incarnation && update.holder_epoch() < sender.epoch) {
    ++stats_.duplicates;
    return false;
  }
  if (!same_incarnation || update.holder_epoch() > sender.epoch) {
    sender = {update.fencing_token(), incarnation, update.holder_epoch(), 0};
  }
  if (update.update() <= sender.last_update) {
    ++stats_.duplicates;
    return false;
  }
  if (update.update() != sender.last_update + 1) {
    ++stats_.gaps;
    locator_->DropHolder(HolderKind::kWorker, update.holder());
    DropPending(update.holder());
  }
  sender.last_update = update.update();
  return true;
}

void IndexUpdateReceiver::Receive(uint64_t incarnation, const IndexUpdate& update) {
  std::vector<BlockHash> removed;
  if (update.holder().empty() || !UnpackBlocks(update.removed(), &removed)) {
    ++stats_.malformed;
    return;  // the next update shows its missing number as a gap
  }
  if (!Admit(incarnation, update)) return;
  ++stats_.updates_applied;
  for (const Extent& extent : update.stored()) ApplyStored(extent);
  locator_->Remove(HolderKind::kWorker, update.holder(), removed);
  if (!removed.empty()) RemoveFromPending(update.holder(), removed);
}

bool IndexUpdateReceiver::IsAheadOfChannel(const Extent& extent) {
  const auto version = invalidation::MakeVersion(extent.holder_epoch(), extent.holder_sequence());
  invalidation::ObjectVersion newest;
  const std::string object = HolderObject(KindOf(extent.holder()), extent.holder());
  return !trust_->CurrentVersion(object, &newest) ||
         invalidation::CompareVersions(newest, version) < 0;
}

void IndexUpdateReceiver::ApplyStored(const Extent& extent) {
  std::vector<BlockHash> blocks;
  if (!UnpackBlocks(extent.block_hashes(), &blocks)) {
    ++stats_.malformed;
    return;
  }
  if (!IsAheadOfChannel(extent)) return Apply(extent, blocks);
  ++stats_.extents_deferred;
  if (pending_.size() >= kMaxPendingExtents) pending_.pop_front();
  pending_.push_back({extent, std::move(blocks), clock_->Now() + kVersionWait});
}

void IndexUpdateReceiver::Apply(const Extent& extent, const std::vector<BlockHash>& blocks) {
  const auto version = invalidation::MakeVersion(extent.holder_epoch(), extent.holder_sequence());
  if (locator_->Add(KindOf(extent.holder()), extent.holder(), version, SeedOf(extent), blocks)) {
    stats_.blocks_stored += blocks.size();
  } else {
    ++stats_.extents_untrusted;
  }
}

void IndexUpdateReceiver::OnVersionsAdvanced() {
  if (pending_.empty()) return;
  const runtime::MonotonicTime now = clock_->Now();
  std::deque<PendingExtent> still_pending;
  for (PendingExtent& pending : pending_) {
    if (now >= pending.expires_at) {
      ++stats_.extents_untrusted;
    } else if (IsAheadOfChannel(pending.extent)) {
      still_pending.push_back(std::move(pending));
    } else {
      Apply(pending.extent, pending.blocks);
    }
  }
  pending_ = std::move(still_pending);
}

void IndexUpdateReceiver::DropPending(const std::string& holder) {
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                [&holder](const PendingExtent& pending) {
                                  return pending.extent.holder() == holder;
                                }),
                 pending_.end());
}

void IndexUpdateReceiver::RemoveFromPending(const std::string& holder,
                                            const std::vector<BlockHash>& removed) {
  const absl::flat_hash_set<BlockHash> removed_set(removed.begin(), removed.end());
  for (PendingExtent& pending : pending_) {
    if (pending.extent.holder() != holder) continue;
    std::vector<BlockHash>& blocks = pending.blocks;
    blocks.erase(
        std::remove_if(blocks.begin(), blocks.end(),
                       [&removed_set](BlockHash block) { return removed_set.contains(block); }),
        blocks.end());
  }
}

}  // namespace posthatch::index
