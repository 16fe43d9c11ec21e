#include "posthatch/emulator/kv_event_log.h"

#include <algorithm>
#include <utility>

#include "posthatch/emulator/json_body.h"

namespace posthatch::emulator {

namespace json = boost::json;

namespace {

constexpr uint64_t kMaxWaitMs = 30000;

json::array HexArray(const std::vector<index::BlockHash>& blocks) {
  json::array array;
  array.reserve(blocks.size());
  for (const index::BlockHash block : blocks) array.emplace_back(ToHex(block));
  return array;
}

}  // namespace

KvEventLog::KvEventLog(runtime::Runtime* runtime, uint64_t max_events)
    : runtime_(runtime), max_events_(max_events), visible_timer_(runtime->timers) {}

void KvEventLog::Stored(const std::vector<index::BlockHash>& blocks, uint32_t first,
                        const std::string& attempt, const WorkerBehaviour& behaviour) {
  if (blocks.empty()) return;
  json::object event = {{"type", "stored"}, {"blocks", HexArray(blocks)}, {"first", first}};
  if (!attempt.empty()) event["attempt"] = attempt;
  Append(std::move(event), behaviour);
}

void KvEventLog::Removed(const std::vector<index::BlockHash>& blocks,
                         const WorkerBehaviour& behaviour) {
  if (blocks.empty()) return;
  Append({{"type", "removed"}, {"blocks", HexArray(blocks)}}, behaviour);
}

void KvEventLog::Append(json::object event, const WorkerBehaviour& behaviour) {
  runtime::Random* random = runtime_->random;
  if (random->Chance(behaviour.events_silent_share)) return;
  event["seq"] = ++last_seq_;
  Slot slot;
  slot.seq = last_seq_;
  slot.visible_at = runtime_->clock->Now() + std::chrono::milliseconds(behaviour.events_late_ms);
  if (!slots_.empty()) slot.visible_at = std::max(slot.visible_at, slots_.back().visible_at);

  if (random->Chance(behaviour.events_lost_mark_share)) {
    slot.events.push_back({{"seq", last_seq_}, {"type", "lost"}});
  } else if (random->Chance(behaviour.events_reordered_share)) {
    reordered_events_.push_back(std::move(event));
  } else if (!random->Chance(behaviour.events_lost_share)) {
    if (random->Chance(behaviour.events_doubled_share)) slot.events.push_back(event);
    slot.events.push_back(std::move(event));
  }
  if (!slot.events.empty()) {
    std::move(reordered_events_.begin(), reordered_events_.end(), std::back_inserter(slot.events));
    reordered_events_.clear();
  }
  slots_.push_back(std::move(slot));
  while (slots_.size() > max_events_) slots_.pop_front();
  RespondToPendingPolls(/*all=*/false);
  ScheduleVisible();
}

void KvEventLog::StartEpoch(uint64_t epoch) {
  epoch_ = epoch;
  last_seq_ = 0;
  slots_.clear();
  reordered_events_.clear();
  RespondToPendingPolls(/*all=*/true);
}

void KvEventLog::Poll(const RoutedRequest& request,
                      const std::shared_ptr<http::ResponseWriter>& writer) {
  const bool same_epoch = request.QueryNumber("epoch", 0) == epoch_;
  const uint64_t after = same_epoch ? request.QueryNumber("after", 0) : 0;
  const uint64_t wait_ms = std::min(request.QueryNumber("wait_ms", 0), kMaxWaitMs);
  if (!same_epoch || wait_ms == 0 || LastVisibleSeq() > after) {
    Respond(after, writer.get());
    return;
  }
  pending_polls_.emplace_front(runtime_->timers, after, writer);
  const auto entry = pending_polls_.begin();
  entry->timeout.Start(std::chrono::milliseconds(wait_ms), [this, entry] {
    Respond(entry->after, entry->writer.get());
    pending_polls_.erase(entry);
  });
  ScheduleVisible();
}

uint64_t KvEventLog::LastVisibleSeq() const {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const auto hidden = std::partition_point(
      slots_.begin(), slots_.end(), [now](const Slot& slot) { return slot.visible_at <= now; });
  return hidden == slots_.begin() ? 0 : std::prev(hidden)->seq;
}

void KvEventLog::Respond(uint64_t after, http::ResponseWriter* writer) const {
  json::array events;
  const uint64_t up_to = LastVisibleSeq();
  const uint64_t first_retained = slots_.empty() ? last_seq_ + 1 : slots_.front().seq;
  if (after + 1 < first_retained) {
    events.push_back(json::object{{"seq", first_retained - 1}, {"type", "lost"}});
  }
  // Slots are contiguous in `seq`.
  for (uint64_t seq = std::max(after + 1, first_retained); seq <= up_to; ++seq) {
    for (const json::object& event : slots_[seq - first_retained].events) events.push_back(event);
  }
  const json::object body = {
      {"epoch", epoch_}, {"next", std::max(after, up_to)}, {"events", std::move(events)}};
  writer->SendResponse(JsonResponse(200, body));
}

void KvEventLog::RespondToPendingPolls(bool all) {
  const uint64_t up_to = LastVisibleSeq();
  for (auto entry = pending_polls_.begin(); entry != pending_polls_.end();) {
    if (all || up_to > entry->after) {
      Respond(all ? 0 : entry->after, entry->writer.get());
      entry = pending_polls_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void KvEventLog::ScheduleVisible() {
  if (pending_polls_.empty()) return;
  const uint64_t up_to = LastVisibleSeq();
  const auto next = std::find_if(slots_.begin(), slots_.end(),
                                 [up_to](const Slot& slot) { return slot.seq > up_to; });
  if (next == slots_.end()) return;
  visible_timer_.Start(next->visible_at - runtime_->clock->Now(), [this] {
    RespondToPendingPolls(/*all=*/false);
    ScheduleVisible();
  });
}

}  // namespace posthatch::emulator
