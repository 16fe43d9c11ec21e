#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// The accepted versions of the operators' configuration, newest last. Optimistic concurrency: a
// change may name the version that it is based on, and is rejected if that is no longer the newest.
// Part of the replicated state: deterministic, reads no clock. Owned by ControlState.
class ConfigurationHistory {
 public:
  // Limits on the versions retained for reads and rollbacks; the newest one is always retained.
  static constexpr size_t kMaxVersions = 1000;
  static constexpr size_t kMaxBytes = size_t{32} * 1024 * 1024;

  // Returns OK (with the new version), INVALID (all errors), VERSION_CONFLICT or NOT_FOUND
  // (rollback to a version that isn't retained). Nothing changes unless the result is OK.
  CommandResult Apply(uint64_t log_index, const std::string& request_id,
                      const ChangeConfiguration& change);

  // Null before the first change.
  const ConfigurationVersion* newest() const {
    return versions_.empty() ? nullptr : &versions_.back();
  }
  // Null if the version isn't retained.
  const ConfigurationVersion* Find(uint64_t version) const;
  // The version that was accepted at `log_index`; null if it isn't retained.
  const ConfigurationVersion* FindByLogIndex(uint64_t log_index) const;
  const std::deque<ConfigurationVersion>& versions() const { return versions_; }

  void Save(google::protobuf::RepeatedPtrField<ConfigurationVersion>* history) const;
  void Restore(const google::protobuf::RepeatedPtrField<ConfigurationVersion>& history);

 private:
  // Sets `candidate` to the configuration that `change` results in. False, with `result` set, if
  // there is none.
  bool MakeCandidate(const ChangeConfiguration& change, Configuration* candidate,
                     CommandResult* result) const;
  void Append(ConfigurationVersion version);

  std::deque<ConfigurationVersion> versions_;
  size_t bytes_ = 0;
};

}  // namespace posthatch::control
