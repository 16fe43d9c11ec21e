#include "posthatch/control/state/expired_keys.h"

namespace posthatch::control {

void ExpiredKeys::Add(std::string_view key, int64_t evicted_ms) {
  Append({FingerprintOf(key), evicted_ms});
}

void ExpiredKeys::Append(const Entry& entry) {
  if (!keys_.insert(entry.fingerprint).second) return;
  eviction_order_.push_back(entry);
  while (eviction_order_.size() > max_keys_) EvictOldest();
}

void ExpiredKeys::EvictOldest() {
  keys_.erase(eviction_order_.front().fingerprint);
  eviction_order_.pop_front();
}

void ExpiredKeys::EvictBefore(int64_t oldest_ms) {
  while (!eviction_order_.empty() && eviction_order_.front().evicted_ms < oldest_ms) EvictOldest();
}

void ExpiredKeys::Save(google::protobuf::RepeatedPtrField<ExpiredKey>* keys) const {
  for (const Entry& entry : eviction_order_) {
    ExpiredKey* saved = keys->Add();
    saved->set_high(entry.fingerprint.high);
    saved->set_low(entry.fingerprint.low);
    saved->set_evicted_ms(entry.evicted_ms);
  }
}

void ExpiredKeys::Restore(const google::protobuf::RepeatedPtrField<ExpiredKey>& keys) {
  eviction_order_.clear();
  keys_.clear();
  for (const ExpiredKey& saved : keys) {
    Append({Fingerprint{saved.high(), saved.low()}, saved.evicted_ms()});
  }
}

}  // namespace posthatch::control
