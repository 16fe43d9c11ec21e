#include "posthatch/index/index_update_receiver.h"

#include <algorithm>
#include <vector>

#include "posthatch/channels/channel_names.h"
#include "posthatch/index/index_update_publisher.h"

namespace posthatch::index {

uint64_t IndexUpdateReceiver::TokenInForce(const std::string& worker) const {
  for (const control::WorkerLease& lease : fleet_->state().leases()) {
    if (lease.worker_id() == worker) return lease.fencing_token();
  }
  return 0;
}

HolderKind IndexUpdateReceiver::KindOf(const std::string& holder) const {
  for (const control::Backend& backend : fleet_->state().inventory().backends()) {
    if (backend.id() != holder) continue;
    return backend.kind() == control::BACKEND_KIND_STORE ? HolderKind::kStore : HolderKind::kWorker;
  }
  return HolderKind::kWorker;
}

bool IndexUpdateReceiver::Admit(const runtime::Envelope& envelope, const IndexUpdate& update) {
  Source& source = sources_[update.holder()];
  const uint64_t newest = std::max(source.fencing_token, TokenInForce(update.holder()));
  if (update.fencing_token() < newest || update.fencing_token() == 0) {
    ++stats_.fenced;
    return false;
  }
  const bool same_life = update.fencing_token() == source.fencing_token &&
                         envelope.from_incarnation() == source.incarnation;
  if (same_life && update.holder_epoch() < source.epoch) {
    ++stats_.doubled;
    return false;
  }
  if (!same_life || update.holder_epoch() > source.epoch) {
    source = {update.fencing_token(), envelope.from_incarnation(), update.holder_epoch(), 0};
  }
  if (update.update() <= source.last_update) {
    ++stats_.doubled;
    return false;
  }
  if (update.update() != source.last_update + 1) {
    ++stats_.gaps;
    locator_->DropHolder(HolderKind::kWorker, update.holder());
  }
  source.last_update = update.update();
  return true;
}

void IndexUpdateReceiver::Receive(const runtime::Envelope& envelope, const IndexUpdate& update) {
  std::vector<BlockHash> removed;
  if (update.holder().empty() || !UnpackBlocks(update.removed(), &removed)) {
    ++stats_.malformed;
    return;  // its number is missing from now on, which the next update shows
  }
  if (!Admit(envelope, update)) return;
  ++stats_.updates_applied;
  for (const Extent& extent : update.stored()) ApplyStored(extent);
  locator_->Remove(HolderKind::kWorker, update.holder(), removed);
}

void IndexUpdateReceiver::ApplyStored(const Extent& extent) {
  std::vector<BlockHash> blocks;
  if (!UnpackBlocks(extent.block_hashes(), &blocks)) {
    ++stats_.malformed;
    return;
  }
  const auto version = channels::MakeVersion(extent.holder_epoch(), extent.holder_sequence());
  if (locator_->Add(KindOf(extent.holder()), extent.holder(), version, SeedOf(extent), blocks)) {
    stats_.blocks_stored += blocks.size();
  } else {
    ++stats_.extents_not_trusted;
  }
}

}  // namespace posthatch::index
