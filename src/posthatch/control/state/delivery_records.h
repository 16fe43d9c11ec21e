#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/expired_keys.h"

namespace posthatch::control {

// The records of non-repeatable operations, one per (tenant, idempotency key): exactly one attempt
// ever gets BEGUN, only it may finish the record, and a finished record stays as it is.
//
// Control time: the commands carry milliseconds that the leader counts by its monotonic clock from
// where its predecessor left off. Time between two leaders isn't counted, so that a window is never
// shorter than configured. A record lives for one window, or until there are more than kMaxRecords
// (or kMaxOutcomeBytes of kept bodies). After that its key is refused (WINDOW_PASSED) for
// kExpiredWindows more windows, as far as kMaxExpired keys reach; a key older than that would be
// taken for a new one. Part of the replicated state; owned by ControlState.
class DeliveryRecords {
 public:
  static constexpr int64_t kDefaultWindowMs = 3600000;
  static constexpr size_t kMaxRecords = 100000;
  static constexpr size_t kMaxOutcomeBytes = size_t{64} * 1024 * 1024;
  static constexpr size_t kMaxExpired = 500000;
  static constexpr int64_t kExpiredWindows = 12;
  // A larger body isn't kept: the record then ends as UNKNOWN, which a resend is told.
  static constexpr size_t kMaxBodyBytes = size_t{1024} * 1024;
  static constexpr size_t kMaxKeyLength = 512;

  CommandResult Begin(const DeliveryBegin& begin, int64_t window_ms);
  // NOT_EXECUTED for a key without a record closes the key: a begin that is still under way then
  // finds it closed. Any other outcome needs the record, and the attempt that began it.
  CommandResult Finish(const DeliveryFinish& finish, int64_t window_ms);

  int64_t now_ms() const { return now_ms_; }
  size_t size() const { return records_.size(); }

  void Save(ControlSnapshot* snapshot) const;
  void Restore(const ControlSnapshot& snapshot);

 private:
  void AdvanceTime(int64_t now_ms, int64_t window_ms);
  void Insert(const std::string& key, DeliveryRecord record);
  void EvictOldest();
  // True if `key` has no record but had one.
  bool IsExpired(const std::string& key, CommandResult* result) const;

  absl::flat_hash_map<std::string, DeliveryRecord> records_;
  std::deque<std::string> eviction_order_;  // keys of records_, oldest begin first
  ExpiredKeys expired_{kMaxExpired};
  size_t outcome_bytes_ = 0;
  int64_t now_ms_ = 0;
};

}  // namespace posthatch::control
