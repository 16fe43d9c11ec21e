#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/expired_keys.h"

namespace posthatch::control {

// The results of operators' changes and observations by request id, so that a resend gets the first
// result. The newest kMaxRecords are kept; kMaxExpired older ids are rejected with WINDOW_PASSED;
// an id that is older still is accepted as new. Part of the replicated state; owned by
// ControlState.
class RequestRecords {
 public:
  // With 8,500 changes a day, results are kept for more than a day and WINDOW_PASSED is returned
  // for eleven more days.
  static constexpr size_t kMaxRecords = 10000;
  static constexpr size_t kMaxExpired = 100000;

  // True if `request_id` was seen before; `result` is then the first result, REQUEST_ID_REUSED if
  // the command differs, or WINDOW_PASSED.
  bool Find(const std::string& request_id, const std::string& command_hash,
            CommandResult* result) const;
  void Record(const std::string& request_id, const std::string& command_hash,
              const CommandResult& result);

  void Save(ControlSnapshot* snapshot) const;
  void Restore(const ControlSnapshot& snapshot);

 private:
  absl::flat_hash_map<std::string, RequestRecord> records_;
  std::deque<std::string> eviction_order_;  // request ids, oldest first
  ExpiredKeys expired_{kMaxExpired};
};

}  // namespace posthatch::control
