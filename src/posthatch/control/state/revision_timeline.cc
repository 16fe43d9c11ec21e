#include "posthatch/control/state/revision_timeline.h"

#include <algorithm>
#include <iterator>

namespace posthatch::control {
namespace {

// Revisions kept per model. Beyond that the two oldest are merged.
constexpr size_t kMaxRevisions = 8;

}  // namespace

void RevisionTimeline::Observe(const FleetState& state, runtime::MonotonicTime now) {
  ObserveAges(state.revision_ages(), now);
  for (const ModelRevision& applied : state.revisions()) {
    Revisions& revisions = models_[applied.model()];
    // A revision below the newest known one was set earlier, but its time may have been merged into
    // that of another one.
    const bool is_newest = revisions.empty() || applied.revision() > revisions.rbegin()->first;
    if (is_newest) Record(applied.revision(), now, &revisions);
  }
}

void RevisionTimeline::ObserveAges(const google::protobuf::RepeatedPtrField<RevisionAge>& ages,
                                   runtime::MonotonicTime sent_at) {
  for (const RevisionAge& age : ages) {
    Record(age.revision(), sent_at - std::chrono::milliseconds(age.age_ms()),
           &models_[age.model()]);
  }
}

void RevisionTimeline::Record(uint64_t revision, runtime::MonotonicTime set_at,
                              Revisions* revisions) {
  const auto [entry, is_new] = revisions->try_emplace(revision, set_at);
  entry->second = std::min(entry->second, set_at);
  if (revisions->size() <= kMaxRevisions) return;
  // Revisions older than both have been outdated since the earlier time. Revisions between the two
  // count as outdated too early, which is safe.
  const auto oldest = revisions->begin();
  const auto next = std::next(oldest);
  next->second = std::min(oldest->second, next->second);
  revisions->erase(oldest);
}

std::optional<runtime::MonotonicTime> RevisionTimeline::OutdatedSince(const std::string& model,
                                                                      uint64_t revision) const {
  const auto found = models_.find(model);
  if (found == models_.end()) return std::nullopt;
  std::optional<runtime::MonotonicTime> since;
  for (auto newer = found->second.upper_bound(revision); newer != found->second.end(); ++newer) {
    since = since.has_value() ? std::min(*since, newer->second) : newer->second;
  }
  return since;
}

runtime::MonotonicTime RevisionTimeline::newest_set_at() const {
  runtime::MonotonicTime newest{};
  for (const auto& [model, revisions] : models_) {
    for (const auto& [revision, set_at] : revisions) newest = std::max(newest, set_at);
  }
  return newest;
}

void RevisionTimeline::SaveAges(runtime::MonotonicTime now,
                                google::protobuf::RepeatedPtrField<RevisionAge>* ages) const {
  for (const auto& [model, revisions] : models_) {
    for (const auto& [revision, set_at] : revisions) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - set_at);
      RevisionAge* saved = ages->Add();
      saved->set_model(model);
      saved->set_revision(revision);
      saved->set_age_ms(static_cast<uint64_t>(std::max<int64_t>(age.count(), 0)));
    }
  }
}

}  // namespace posthatch::control
