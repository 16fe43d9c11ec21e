#include "posthatch/control/expired_keys.h"

namespace posthatch::control {

void ExpiredKeys::Add(std::string_view key, int64_t dropped_ms) {
  Append({FingerprintOf(key), dropped_ms});
}

void ExpiredKeys::Append(const Entry& entry) {
  if (!keys_.insert(entry.fingerprint).second) return;
  order_.push_back(entry);
  while (order_.size() > max_keys_) ForgetOldest();
}

void ExpiredKeys::ForgetOldest() {
  keys_.erase(order_.front().fingerprint);
  order_.pop_front();
}

void ExpiredKeys::ForgetBefore(int64_t oldest_ms) {
  while (!order_.empty() && order_.front().dropped_ms < oldest_ms) ForgetOldest();
}

void ExpiredKeys::Save(google::protobuf::RepeatedPtrField<ExpiredKey>* keys) const {
  for (const Entry& entry : order_) {
    ExpiredKey* saved = keys->Add();
    saved->set_high(entry.fingerprint.high);
    saved->set_low(entry.fingerprint.low);
    saved->set_dropped_ms(entry.dropped_ms);
  }
}

void ExpiredKeys::Restore(const google::protobuf::RepeatedPtrField<ExpiredKey>& keys) {
  order_.clear();
  keys_.clear();
  for (const ExpiredKey& saved : keys) {
    Append({Fingerprint{saved.high(), saved.low()}, saved.dropped_ms()});
  }
}

}  // namespace posthatch::control
