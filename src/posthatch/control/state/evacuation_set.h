#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// Active evacuations, keyed by name, and a version of each name. Part of the replicated state;
// owned by ControlState.
//
// The version of a name is the log index of the last command that was applied to it, whether or not
// that changed anything: from then on its caller may rely on the state that it ordered. A command
// with an expected version is therefore never applied after a command that its proposer had not
// seen. A command without one is applied unconditionally and is a new version of every name, so
// that a log written before versions existed and a snapshot of its state give the same versions.
class EvacuationSet {
 public:
  static constexpr size_t kMaxEvacuations = 1000;
  // Names whose versions are kept. The others share the version of the newest evicted one.
  static constexpr size_t kMaxVersions = 2000;

  // Applies the command at `log_index`. OK, INVALID (all errors), VERSION_CONFLICT (with the newest
  // version), or NOT_FOUND if there is no evacuation to lift. An active evacuation of the same name
  // is replaced.
  CommandResult Apply(uint64_t log_index, const SetEvacuation& command);

  // The version of `name`; 0 if no command was ever applied to it.
  uint64_t VersionOf(const std::string& name) const;
  // The highest version of all names.
  uint64_t newest_version() const;
  // Version of the names that aren't in versions().
  uint64_t version_floor() const { return version_floor_; }
  const std::map<std::string, uint64_t>& versions() const { return versions_; }

  void Save(google::protobuf::RepeatedPtrField<Evacuation>* evacuations) const;
  // Saves the versions; nothing if no command had an expected version.
  void SaveVersions(ControlSnapshot* snapshot) const;
  void Restore(const ControlSnapshot& snapshot);

 private:
  std::vector<std::string> Validate(const SetEvacuation& command) const;
  CommandResult Change(const SetEvacuation& command);
  void RecordVersion(uint64_t log_index, const std::string& name);
  void RecordVersionOfAllNames(uint64_t log_index);

  std::map<std::string, Evacuation> evacuations_;
  std::map<std::string, uint64_t> versions_;
  std::map<uint64_t, std::string> names_by_version_;  // the inverse of versions_
  uint64_t version_floor_ = 0;
};

}  // namespace posthatch::control
