#pragma once

#include <cstdint>
#include <deque>
#include <string_view>

#include "absl/container/flat_hash_set.h"
#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/fingerprint.h"

namespace posthatch::control {

// Fingerprints of keys whose records were evicted, oldest first, so that a late resend is rejected
// instead of being accepted as new. Keeps at most `max_keys`. Part of the replicated state; owned
// by DeliveryRecords or RequestRecords.
class ExpiredKeys {
 public:
  explicit ExpiredKeys(size_t max_keys) : max_keys_(max_keys) {}

  void Add(std::string_view key, int64_t evicted_ms);
  bool Contains(std::string_view key) const { return keys_.contains(FingerprintOf(key)); }
  // Evicts keys that were added before `oldest_ms`.
  void EvictBefore(int64_t oldest_ms);
  size_t size() const { return eviction_order_.size(); }

  void Save(google::protobuf::RepeatedPtrField<ExpiredKey>* keys) const;
  void Restore(const google::protobuf::RepeatedPtrField<ExpiredKey>& keys);

 private:
  struct Entry {
    Fingerprint fingerprint;
    int64_t evicted_ms = 0;
  };

  void Append(const Entry& entry);
  void EvictOldest();

  const size_t max_keys_;
  std::deque<Entry> eviction_order_;
  absl::flat_hash_set<Fingerprint> keys_;
};

}  // namespace posthatch::control
