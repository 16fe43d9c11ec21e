#include "posthatch/control/state/traffic_state.h"

#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "posthatch/control/state/fingerprint.h"
#include "posthatch/control/state/traffic_validator.h"

namespace posthatch::control {
namespace {

using Names = google::protobuf::RepeatedPtrField<std::string>;

// Entries keep their positions; new ones are appended in the order of the patch.
template <typename Entry>
void PatchEntries(const google::protobuf::RepeatedPtrField<Entry>& upserts,
                  const Names& removed_names, google::protobuf::RepeatedPtrField<Entry>* entries) {
  const absl::flat_hash_set<std::string> removed(removed_names.begin(), removed_names.end());
  absl::flat_hash_map<std::string, const Entry*> changed;
  for (const Entry& entry : upserts) changed[entry.name()] = &entry;
  absl::flat_hash_set<std::string> present;
  google::protobuf::RepeatedPtrField<Entry> result;
  for (Entry& entry : *entries) {
    if (removed.contains(entry.name())) continue;
    present.insert(entry.name());
    const auto found = changed.find(entry.name());
    *result.Add() = found == changed.end() ? std::move(entry) : *found->second;
  }
  for (const Entry& entry : upserts) {
    if (present.insert(entry.name()).second) *result.Add() = entry;
  }
  entries->Swap(&result);
}

AcceptedTrafficChange ComputeIdentity(const ChangeTraffic& change) {
  const Fingerprint fingerprint = FingerprintOf(SerializeDeterministically(change));
  AcceptedTrafficChange identity;
  identity.set_high(fingerprint.high);
  identity.set_low(fingerprint.low);
  identity.set_version(change.version());
  return identity;
}

}  // namespace

TrafficConfiguration ApplyTrafficPatch(const TrafficConfiguration& base,
                                       const TrafficPatch& patch) {
  TrafficConfiguration result = base;
  const TrafficConfiguration& upsert = patch.upsert();
  PatchEntries(upsert.routes(), patch.removed_routes(), result.mutable_routes());
  PatchEntries(upsert.services(), patch.removed_services(), result.mutable_services());
  PatchEntries(upsert.tenants(), patch.removed_tenants(), result.mutable_tenants());
  if (upsert.has_limits()) *result.mutable_limits() = upsert.limits();
  return result;
}

void StripSources(TrafficConfiguration* configuration) {
  for (TrafficRoute& route : *configuration->mutable_routes()) route.clear_source();
  for (TrafficService& service : *configuration->mutable_services()) service.clear_source();
  for (TrafficTenant& tenant : *configuration->mutable_tenants()) tenant.clear_source();
  if (configuration->has_limits()) configuration->mutable_limits()->clear_source();
}

CommandResult TrafficState::Apply(const ChangeTraffic& change, bool* changed) {
  *changed = false;
  CommandResult result;
  const AcceptedTrafficChange identity = ComputeIdentity(change);
  uint64_t version = 0;
  if (FindAccepted(identity, &version)) {
    result.set_code(CommandResult::OK);
    result.set_version(version);
    return result;
  }
  result.set_version(newest_.version());
  if (change.base_version() != newest_.version()) {
    result.set_code(CommandResult::VERSION_CONFLICT);
    return result;
  }
  TrafficConfiguration candidate =
      change.has_patch() ? ApplyTrafficPatch(newest_, change.patch()) : change.whole();
  candidate.set_version(change.version());
  std::vector<std::string> errors = ValidateTraffic(candidate);
  if (change.change_case() == ChangeTraffic::CHANGE_NOT_SET) {
    errors.emplace_back("neither a whole configuration nor a patch");
  }
  if (change.version() <= newest_.version()) {
    errors.push_back(
        absl::StrCat("version ", change.version(), ": must be above ", newest_.version()));
  }
  if (!errors.empty()) {
    result.set_code(CommandResult::INVALID);
    for (std::string& error : errors) result.add_errors(std::move(error));
    return result;
  }
  newest_ = std::move(candidate);
  accepted_.push_back(identity);
  if (accepted_.size() > kMaxAccepted) accepted_.pop_front();
  *changed = true;
  result.set_code(CommandResult::OK);
  result.set_version(newest_.version());
  return result;
}

bool TrafficState::FindAccepted(const AcceptedTrafficChange& identity, uint64_t* version) const {
  // Searches the newest first. The linter suggests std::views, which clang 14 can't compile.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto accepted = accepted_.rbegin(); accepted != accepted_.rend(); ++accepted) {
    if (accepted->high() != identity.high() || accepted->low() != identity.low()) continue;
    *version = accepted->version();
    return true;
  }
  return false;
}

void TrafficState::Save(TrafficSnapshot* snapshot) const {
  *snapshot->mutable_newest() = newest_;
  for (const AcceptedTrafficChange& accepted : accepted_) *snapshot->add_accepted() = accepted;
}

void TrafficState::Restore(const TrafficSnapshot& snapshot) {
  newest_ = snapshot.newest();
  accepted_.assign(snapshot.accepted().begin(), snapshot.accepted().end());
}

}  // namespace posthatch::control
