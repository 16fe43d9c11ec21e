#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/expired_keys.h"

namespace posthatch::control {

// Delivery records of non-idempotent operations, one per (tenant, idempotency key): exactly one
// attempt ever gets BEGUN, only that attempt may finish the record, and a finished record never
// changes.
//
// Control time: the commands carry milliseconds that the leader counts by its monotonic clock from
// where the previous leader stopped. Time between two leaders isn't counted, so that a window is
// never shorter than configured. A record is evicted after one window, or earlier if there are more
// than kMaxRecords records or kMaxOutcomeBytes of bodies. After that its key is rejected
// (WINDOW_PASSED) for kExpiredWindows more windows, or until kMaxExpired further keys have expired;
// an older key is accepted as new. Part of the replicated state; owned by ControlState.
class DeliveryRecords {
 public:
  static constexpr int64_t kDefaultWindowMs = 3600000;
  static constexpr size_t kMaxRecords = 100000;
  static constexpr size_t kMaxOutcomeBytes = size_t{64} * 1024 * 1024;
  static constexpr size_t kMaxExpired = 500000;
  static constexpr int64_t kExpiredWindows = 12;
  // A larger body isn't stored: the outcome becomes UNKNOWN, which a resend gets as well.
  static constexpr size_t kMaxBodyBytes = size_t{1024} * 1024;
  static constexpr size_t kMaxKeyLength = 512;

  CommandResult Begin(const DeliveryBegin& begin, int64_t window_ms);
  // NOT_EXECUTED for a key without a record creates a finished one, so that a begin that is still
  // in flight isn't granted. Any other outcome requires a record, begun by the same attempt.
  CommandResult Finish(const DeliveryFinish& finish, int64_t window_ms);

  int64_t now_ms() const { return now_ms_; }
  size_t size() const { return records_.size(); }

  void Save(ControlSnapshot* snapshot) const;
  void Restore(const ControlSnapshot& snapshot);

 private:
  void AdvanceTime(int64_t now_ms, int64_t window_ms);
  // A record for a DeliveryBegin or DeliveryFinish.
  template <typename DeliveryCommand>
  DeliveryRecord MakeRecord(const DeliveryCommand& command) const;
  void StoreOutcome(const DeliveryOutcome& outcome, DeliveryRecord* record);
  void Insert(const std::string& key, DeliveryRecord record);
  void EvictOldest();
  // True, with `result` set, if the record of `key` was evicted.
  bool IsExpired(const std::string& key, CommandResult* result) const;

  absl::flat_hash_map<std::string, DeliveryRecord> records_;
  std::deque<std::string> eviction_order_;  // keys of records_, oldest begin first
  ExpiredKeys expired_{kMaxExpired};
  size_t outcome_bytes_ = 0;
  int64_t now_ms_ = 0;
};

}  // namespace posthatch::control
