#include "posthatch/control/server/push_scheduler.h"

#include <algorithm>

namespace posthatch::control {
namespace {

// Batches changes that occur close together into one push.
constexpr runtime::Duration kPushDelay = std::chrono::milliseconds(1);

}  // namespace

PushScheduler::PushScheduler(runtime::Runtime* runtime, const PushSchedulerOptions& options,
                             const Leadership* leadership, const ControlState* state,
                             const RevisionTimeline* revisions, const InventoryPublisher* inventory,
                             SectionEncoder* encoder, SessionTable* sessions,
                             ControllerMetrics* metrics)
    : runtime_(runtime),
      options_(options),
      leadership_(leadership),
      state_(state),
      revisions_(revisions),
      inventory_(inventory),
      encoder_(encoder),
      sessions_(sessions),
      metrics_(metrics),
      timer_(runtime->timers) {}

void PushScheduler::Schedule() {
  if (!leadership_->active() || timer_.running()) return;
  const runtime::Duration until_allowed = next_push_at_ - runtime_->clock->Now();
  timer_.Start(std::max(kPushDelay, until_allowed), [this] { PushAll(); });
}

void PushScheduler::PushAll() {
  if (!leadership_->active()) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const uint64_t newest_index = HighestIndex(IndicesOf(state_->fleet()));
  double sent = 0;
  ++last_push_id_;
  for (auto& [key, session] : sessions_->mutable_sessions()) {
    if (!NeedsPush(session, newest_index, now)) continue;
    session.sent_index = newest_index;
    session.sent_at = now;
    ++sent;
    metrics_->pushes().Increment();
    runtime_->transport->Send(session.endpoint, runtime::SERVICE_CONTROL,
                              SerializePush(session.acked_versions), runtime::Delivery::kStream);
  }
  next_push_at_ = now + std::chrono::duration_cast<runtime::Duration>(
                            std::chrono::duration<double>(sent / options_.pushes_per_second));
}

bool PushScheduler::NeedsPush(const Session& session, uint64_t newest_index,
                              runtime::MonotonicTime now) const {
  const uint64_t acked_index = HighestIndex(session.acked_versions);
  if (session.expiry <= now || acked_index >= newest_index) return false;
  const bool push_in_flight =
      session.sent_index > acked_index && now - session.sent_at < options_.retry_interval;
  return !push_in_flight;
}

std::string PushScheduler::SerializePush(const SectionIndices& acked_versions) {
  ControlMessage message;
  StatePush* push = message.mutable_state_push();
  push->set_push(last_push_id_);
  push->set_term(leadership_->term());
  push->set_inventory_age_ms(inventory_->InventoryAgeMs());
  const bool carries_revisions =
      state_->fleet().revisions_index() > IndexOf(acked_versions, Section::kRevisions);
  EncodeRevisionAges(*revisions_, runtime_->clock->Now(), carries_revisions,
                     push->mutable_changed());
  return encoder_->SerializeWithSections(message, acked_versions);
}

}  // namespace posthatch::control
