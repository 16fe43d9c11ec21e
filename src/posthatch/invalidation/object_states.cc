#include "posthatch/invalidation/object_states.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/wire_duration.h"

namespace posthatch::invalidation {
namespace {

using VersionsByObject = absl::flat_hash_map<std::string, ObjectVersion>;

Freshness ClassifyFreshness(const VersionsByObject& subscriber_versions, const std::string& object,
                            const ObjectVersion& newest) {
  const auto found = subscriber_versions.find(object);
  if (found == subscriber_versions.end()) return UNKNOWN;
  const int comparison = CompareVersions(found->second, newest);
  if (comparison == 0) return FRESH;
  return comparison < 0 ? STALE : UNKNOWN;
}

void AddState(const std::string& object, const ObjectVersion& version, Freshness freshness,
              RegistrationResponse* response) {
  ObjectState* state = response->add_objects();
  state->set_object(object);
  *state->mutable_version() = version;
  state->set_freshness(freshness);
  state->set_guarantee_ms(ToWireMilliseconds(GuaranteeOf(object)));
}

}  // namespace

void AddRequestedStates(const PublisherSource& source, const RegistrationRequest& request,
                        RegistrationResponse* response) {
  VersionsByObject subscriber_versions;
  for (const auto& object : request.include()) {
    subscriber_versions[object.object()] = object.version();
  }
  if (request.base() == RegistrationRequest::INCLUDE_ALL) {
    const absl::flat_hash_set<std::string> excluded(request.exclude().begin(),
                                                    request.exclude().end());
    for (const auto& object : source.Objects(request.channel())) {
      if (excluded.contains(object.object())) continue;
      AddState(object.object(), object.version(),
               ClassifyFreshness(subscriber_versions, object.object(), object.version()), response);
      subscriber_versions.erase(object.object());
    }
  }
  for (const auto& object : request.include()) {
    if (!subscriber_versions.contains(object.object())) continue;  // added above
    ObjectVersion newest;
    if (source.Find(request.channel(), object.object(), &newest)) {
      AddState(object.object(), newest,
               ClassifyFreshness(subscriber_versions, object.object(), newest), response);
    } else {
      AddState(object.object(), ObjectVersion(), EXCLUDED, response);
    }
  }
}

ObjectState ChangedState(const PublisherSource& source, const std::string& channel,
                         const std::string& object) {
  ObjectVersion version;
  if (!source.Find(channel, object, &version)) return ExcludedState(object);
  ObjectState state;
  state.set_object(object);
  *state.mutable_version() = version;
  state.set_freshness(STALE);
  state.set_guarantee_ms(ToWireMilliseconds(GuaranteeOf(object)));
  return state;
}

ObjectState ExcludedState(const std::string& object) {
  ObjectState state;
  state.set_object(object);
  state.set_freshness(EXCLUDED);
  return state;
}

}  // namespace posthatch::invalidation
