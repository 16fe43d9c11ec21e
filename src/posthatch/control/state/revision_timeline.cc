#include "posthatch/control/state/revision_timeline.h"

#include <algorithm>
#include <iterator>

namespace posthatch::control {
namespace {

// Per model. Beyond it the two oldest become one.
constexpr size_t kMaxRevisions = 8;

}  // namespace

void RevisionTimeline::Observe(const FleetState& state, runtime::MonotonicTime now) {
  ObserveAges(state.revision_ages(), now);
  for (const ModelRevision& named : state.revisions()) {
    Revisions& revisions = models_[named.model()];
    // Of a revision below the newest known one, this process may have forgotten the time.
    const bool is_newest = revisions.empty() || named.revision() > revisions.rbegin()->first;
    if (is_newest) Record(named.revision(), now, &revisions);
  }
}

void RevisionTimeline::ObserveAges(const google::protobuf::RepeatedPtrField<RevisionAge>& ages,
                                   runtime::MonotonicTime sent_at) {
  for (const RevisionAge& age : ages) {
    Record(age.revision(), sent_at - std::chrono::milliseconds(age.age_ms()),
           &models_[age.model()]);
  }
}

void RevisionTimeline::Record(uint64_t revision, runtime::MonotonicTime named_at,
                              Revisions* revisions) {
  const auto [entry, is_new] = revisions->try_emplace(revision, named_at);
  entry->second = std::min(entry->second, named_at);
  if (revisions->size() <= kMaxRevisions) return;
  // What is older than both is outdated since the earlier time. What lies between them is taken for
  // outdated too early, which is safe.
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

runtime::MonotonicTime RevisionTimeline::newest_named_at() const {
  runtime::MonotonicTime newest{};
  for (const auto& [model, revisions] : models_) {
    for (const auto& [revision, named_at] : revisions) newest = std::max(newest, named_at);
  }
  return newest;
}

void RevisionTimeline::SaveAges(runtime::MonotonicTime now,
                                google::protobuf::RepeatedPtrField<RevisionAge>* ages) const {
  for (const auto& [model, revisions] : models_) {
    for (const auto& [revision, named_at] : revisions) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - named_at);
      RevisionAge* saved = ages->Add();
      saved->set_model(model);
      saved->set_revision(revision);
      saved->set_age_ms(static_cast<uint64_t>(std::max<int64_t>(age.count(), 0)));
    }
  }
}

}  // namespace posthatch::control
