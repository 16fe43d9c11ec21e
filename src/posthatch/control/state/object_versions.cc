#include "posthatch/control/state/object_versions.h"

#include <utility>

namespace posthatch::control {

void ObjectVersions::Ensure(const std::string& object) {
  if (versions_.try_emplace(object).second) changed_.push_back(object);
}

void ObjectVersions::RaiseEpoch(const std::string& object, uint64_t epoch) {
  Version& version = versions_[object];
  if (epoch <= version.epoch) return;
  version = {epoch, 0};
  changed_.push_back(object);
}

void ObjectVersions::IncrementEpoch(const std::string& object) {
  RaiseEpoch(object, versions_[object].epoch + 1);
}

CommandResult ObjectVersions::Observe(const ObserveObject& observation) {
  CommandResult result;
  const std::string& object = observation.object();
  if (object.empty() || object.size() > kMaxNameLength || object.find('/') == std::string::npos) {
    result.set_code(CommandResult::INVALID);
    result.add_errors("object: a name of at most 256 bytes with a '/'");
    return result;
  }
  Version& version = versions_[object];
  if (observation.epoch() > version.epoch) {
    RaiseEpoch(object, observation.epoch());
  } else if (observation.lost() &&
             (observation.epoch() == 0 || observation.epoch() == version.epoch)) {
    ++version.sequence;
    changed_.push_back(object);
  }
  result.set_code(CommandResult::OK);
  result.set_version(version.sequence);
  return result;
}

void ObjectVersions::NotifyListeners() {
  const std::vector<std::string> changed = std::exchange(changed_, {});
  for (const std::string& object : changed) {
    invalidation::ObjectVersion version;
    if (!Find(object, &version)) continue;
    for (const Listener& listener : listeners_) listener(object, version);
  }
}

bool ObjectVersions::Find(const std::string& object, invalidation::ObjectVersion* version) const {
  const auto found = versions_.find(object);
  if (found == versions_.end()) return false;
  version->set_epoch(found->second.epoch);
  version->set_sequence(found->second.sequence);
  return true;
}

std::vector<invalidation::RegisteredObject> ObjectVersions::Objects() const {
  std::vector<invalidation::RegisteredObject> objects;
  objects.reserve(versions_.size());
  for (const auto& [name, version] : versions_) {
    invalidation::RegisteredObject& object = objects.emplace_back();
    object.set_object(name);
    object.mutable_version()->set_epoch(version.epoch);
    object.mutable_version()->set_sequence(version.sequence);
  }
  return objects;
}

void ObjectVersions::Save(google::protobuf::RepeatedPtrField<ObjectRecord>* objects) const {
  for (const auto& [name, version] : versions_) {
    ObjectRecord* saved = objects->Add();
    saved->set_object(name);
    saved->set_epoch(version.epoch);
    saved->set_sequence(version.sequence);
  }
}

void ObjectVersions::Restore(const google::protobuf::RepeatedPtrField<ObjectRecord>& objects) {
  versions_.clear();
  for (const ObjectRecord& saved : objects) {
    versions_[saved.object()] = {saved.epoch(), saved.sequence()};
  }
}

}  // namespace posthatch::control
