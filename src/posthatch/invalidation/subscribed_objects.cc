#include "posthatch/invalidation/subscribed_objects.h"

#include <algorithm>

#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/wire_duration.h"

namespace posthatch::invalidation {

void SubscribedObjects::Apply(const google::protobuf::RepeatedPtrField<ObjectState>& states) {
  for (const ObjectState& state : states) {
    Object& object = objects_[state.object()];
    if (state.freshness() == EXCLUDED) {
      object.covered = false;
      continue;
    }
    object.covered = CompareVersions(state.version(), object.version) >= 0;
    if (object.covered) object.version = state.version();
    object.guarantee = FromWireMilliseconds(state.guarantee_ms());
  }
}

void SubscribedObjects::MarkNotCovered(const std::string& object) {
  const auto found = objects_.find(object);
  if (found != objects_.end()) found->second.covered = false;
}

void SubscribedObjects::MarkAllNotCovered() {
  for (auto& [name, object] : objects_) object.covered = false;
}

const SubscribedObjects::Object* SubscribedObjects::FindKnown(const std::string& name) const {
  const auto found = objects_.find(name);
  return found == objects_.end() ? nullptr : &found->second;
}

const SubscribedObjects::Object* SubscribedObjects::FindCovered(const std::string& name) const {
  const Object* object = FindKnown(name);
  return object != nullptr && object->covered ? object : nullptr;
}

std::vector<RegisteredObject> SubscribedObjects::Covered() const {
  std::vector<RegisteredObject> covered;
  for (const auto& [name, object] : objects_) {
    if (!object.covered) continue;
    RegisteredObject& entry = covered.emplace_back();
    entry.set_object(name);
    *entry.mutable_version() = object.version;
  }
  std::sort(covered.begin(), covered.end(),
            [](const auto& left, const auto& right) { return left.object() < right.object(); });
  return covered;
}

std::vector<std::string> SubscribedObjects::KnownNames() const {
  std::vector<std::string> names;
  names.reserve(objects_.size());
  for (const auto& [name, object] : objects_) names.push_back(name);
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace posthatch::invalidation
