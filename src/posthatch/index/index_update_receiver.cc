#include "posthatch/index/index_update_receiver.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "posthatch/channels/channel_names.h"
#include "posthatch/control/fleet_sections.h"
#include "posthatch/index/index_update_publisher.h"

namespace posthatch::index {
namespace {

// A version is told everywhere within this, or its channel is silent.
constexpr runtime::Duration kWaitForVersion = std::chrono::seconds(3);
constexpr size_t kMaxWaiting = 16384;

}  // namespace

uint64_t IndexUpdateReceiver::TokenInForce(const std::string& worker) const {
  const control::WorkerLease* lease = control::FindLease(fleet_->state(), worker);
  return lease == nullptr ? 0 : lease->fencing_token();
}

HolderKind IndexUpdateReceiver::KindOf(const std::string& holder) {
  // The extents of an update are of one holder.
  const uint64_t inventory_index = fleet_->state().inventory_index();
  if (holder == asked_holder_ && inventory_index == asked_inventory_) return asked_kind_;
  const control::Backend* backend = control::FindBackend(fleet_->state().inventory(), holder);
  const bool is_store = backend != nullptr && backend->kind() == control::BACKEND_KIND_STORE;
  asked_holder_ = holder;
  asked_inventory_ = inventory_index;
  asked_kind_ = is_store ? HolderKind::kStore : HolderKind::kWorker;
  return asked_kind_;
}

bool IndexUpdateReceiver::Admit(uint64_t incarnation, const IndexUpdate& update) {
  Source& source = sources_[update.holder()];
  const uint64_t newest = std::max(source.fencing_token, TokenInForce(update.holder()));
  if (update.fencing_token() < newest || update.fencing_token() == 0) {
    ++stats_.fenced;
    return false;
  }
  const bool same_life =
      update.fencing_token() == source.fencing_token && incarnation == source.incarnation;
  if (same_life && update.holder_epoch() < source.epoch) {
    ++stats_.doubled;
    return false;
  }
  if (!same_life || update.holder_epoch() > source.epoch) {
    source = {update.fencing_token(), incarnation, update.holder_epoch(), 0};
  }
  if (update.update() <= source.last_update) {
    ++stats_.doubled;
    return false;
  }
  if (update.update() != source.last_update + 1) {
    ++stats_.gaps;
    locator_->DropHolder(HolderKind::kWorker, update.holder());
    DropWaiting(update.holder());
  }
  source.last_update = update.update();
  return true;
}

void IndexUpdateReceiver::Receive(uint64_t incarnation, const IndexUpdate& update) {
  std::vector<BlockHash> removed;
  if (update.holder().empty() || !UnpackBlocks(update.removed(), &removed)) {
    ++stats_.malformed;
    return;  // its number is missing from now on, which the next update shows
  }
  if (!Admit(incarnation, update)) return;
  ++stats_.updates_applied;
  for (const Extent& extent : update.stored()) ApplyStored(extent);
  locator_->Remove(HolderKind::kWorker, update.holder(), removed);
  if (!removed.empty()) RemoveFromWaiting(update.holder(), removed);
}

bool IndexUpdateReceiver::IsEarly(const Extent& extent) {
  const auto version = channels::MakeVersion(extent.holder_epoch(), extent.holder_sequence());
  channels::ObjectVersion newest;
  const std::string object = HolderObject(KindOf(extent.holder()), extent.holder());
  return !trust_->CurrentVersion(object, &newest) || channels::CompareVersions(newest, version) < 0;
}

void IndexUpdateReceiver::ApplyStored(const Extent& extent) {
  std::vector<BlockHash> blocks;
  if (!UnpackBlocks(extent.block_hashes(), &blocks)) {
    ++stats_.malformed;
    return;
  }
  if (!IsEarly(extent)) return Apply(extent, blocks);
  ++stats_.extents_waited;
  if (waiting_.size() >= kMaxWaiting) waiting_.pop_front();
  waiting_.push_back({extent, std::move(blocks), clock_->Now() + kWaitForVersion});
}

void IndexUpdateReceiver::Apply(const Extent& extent, const std::vector<BlockHash>& blocks) {
  const auto version = channels::MakeVersion(extent.holder_epoch(), extent.holder_sequence());
  if (locator_->Add(KindOf(extent.holder()), extent.holder(), version, SeedOf(extent), blocks)) {
    stats_.blocks_stored += blocks.size();
  } else {
    ++stats_.extents_not_trusted;
  }
}

void IndexUpdateReceiver::OnVersionsTold() {
  if (waiting_.empty()) return;
  const runtime::MonotonicTime now = clock_->Now();
  std::deque<Waiting> still_waiting;
  for (Waiting& waiting : waiting_) {
    if (now >= waiting.given_up_at) {
      ++stats_.extents_not_trusted;
    } else if (IsEarly(waiting.extent)) {
      still_waiting.push_back(std::move(waiting));
    } else {
      Apply(waiting.extent, waiting.blocks);
    }
  }
  waiting_ = std::move(still_waiting);
}

void IndexUpdateReceiver::DropWaiting(const std::string& holder) {
  waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(),
                                [&holder](const Waiting& waiting) {
                                  return waiting.extent.holder() == holder;
                                }),
                 waiting_.end());
}

void IndexUpdateReceiver::RemoveFromWaiting(const std::string& holder,
                                            const std::vector<BlockHash>& removed) {
  const absl::flat_hash_set<BlockHash> gone(removed.begin(), removed.end());
  for (Waiting& waiting : waiting_) {
    if (waiting.extent.holder() != holder) continue;
    std::vector<BlockHash>& blocks = waiting.blocks;
    blocks.erase(std::remove_if(blocks.begin(), blocks.end(),
                                [&gone](BlockHash block) { return gone.contains(block); }),
                 blocks.end());
  }
}

}  // namespace posthatch::index
