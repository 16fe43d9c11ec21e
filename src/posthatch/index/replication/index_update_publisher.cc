#include "posthatch/index/replication/index_update_publisher.h"

#include <algorithm>
#include <utility>

#include "posthatch/index/replication/extent_codec.h"

namespace posthatch::index {

IndexUpdatePublisher::IndexUpdatePublisher(runtime::Runtime* runtime,
                                           IndexUpdatePublisherOptions options,
                                           IndexUpdateFanout* fanout)
    : runtime_(runtime),
      options_(options),
      fanout_(fanout),
      available_bytes_(options.burst_bytes),
      refilled_at_(runtime->clock->Now()),
      batch_timer_(runtime->timers) {}

void IndexUpdatePublisher::Begin(const std::string& holder, uint64_t epoch,
                                 uint64_t fencing_token) {
  Holder& state = holders_[holder];
  state = Holder();
  state.pending_update.set_holder(holder);
  state.pending_update.set_holder_epoch(epoch);
  state.pending_update.set_fencing_token(fencing_token);
}

void IndexUpdatePublisher::AddStored(const std::string& holder, const Extent& extent) {
  const auto found = holders_.find(holder);
  if (found == holders_.end()) return;
  Holder& state = found->second;
  std::vector<BlockHash> blocks;
  if (!state.removed.empty() && UnpackBlocks(extent.block_hashes(), &blocks)) {
    for (const BlockHash block : blocks) state.removed.erase(block);
  }
  *state.pending_update.add_stored() = extent;
  StartBatch();
}

void IndexUpdatePublisher::AddRemoved(const std::string& holder,
                                      absl::Span<const BlockHash> blocks) {
  const auto found = holders_.find(holder);
  if (found == holders_.end()) return;
  found->second.removed.insert(blocks.begin(), blocks.end());
  StartBatch();
}

void IndexUpdatePublisher::StartBatch() {
  if (batch_timer_.running()) return;
  const size_t factor =
      std::clamp<size_t>(fanout_->gateways() / std::max<size_t>(1, options_.gateways_at_period), 1,
                         options_.max_period_factor);
  batch_timer_.Start(options_.batch_period * static_cast<int64_t>(factor), [this] { Flush(); });
}

void IndexUpdatePublisher::Refill() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  available_bytes_ =
      std::min(available_bytes_ + seconds * options_.bytes_per_second, options_.burst_bytes);
  refilled_at_ = now;
}

void IndexUpdatePublisher::Flush() {
  batch_timer_.Cancel();
  Refill();
  for (auto& [name, holder] : holders_) {
    if (holder.HasPendingChanges()) FlushHolder(&holder);
  }
}

void IndexUpdatePublisher::FlushHolder(Holder* holder) {
  IndexUpdate& update = holder->pending_update;
  update.set_removed(PackBlocks(std::vector(holder->removed.begin(), holder->removed.end())));
  holder->removed.clear();
  if (static_cast<double>(update.ByteSizeLong()) > available_bytes_) {
    for (const Extent& extent : update.stored()) {
      stats_.stored_blocks_dropped += extent.block_hashes().size() / sizeof(BlockHash);
    }
    update.clear_stored();
  }
  if (static_cast<double>(update.ByteSizeLong()) > available_bytes_) {
    ++stats_.updates_skipped;
    ++holder->last_update;
  } else if (update.stored_size() > 0 || !update.removed().empty()) {
    update.set_update(++holder->last_update);
    const size_t bytes = fanout_->Send(update);
    available_bytes_ -= static_cast<double>(bytes);
    ++stats_.updates_sent;
    stats_.bytes_sent += bytes * fanout_->recipients();
  }
  update.clear_stored();
  update.clear_removed();
}

}  // namespace posthatch::index
