#include "posthatch/control/state/delivery_records.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::control {
namespace {

// The length prefix keeps ("ab", "c") and ("a", "bc") apart.
std::string RecordKey(const std::string& tenant, const std::string& idempotency_key) {
  return absl::StrCat(tenant.size(), ":", tenant, "/", idempotency_key);
}

bool ValidateKey(const std::string& tenant, const std::string& idempotency_key,
                 const std::string& attempt, CommandResult* result) {
  if (!tenant.empty() && !idempotency_key.empty() && !attempt.empty() &&
      idempotency_key.size() <= DeliveryRecords::kMaxKeyLength) {
    return true;
  }
  result->set_code(CommandResult::INVALID);
  result->add_errors("tenant, attempt and an idempotency key of at most 512 bytes are needed");
  return false;
}

void SetFinished(const DeliveryRecord& record, CommandResult* result) {
  result->mutable_delivery()->set_kind(DeliveryStatus::FINISHED);
  *result->mutable_delivery()->mutable_outcome() = record.outcome();
}

// The status of an existing record for an attempt to begin it.
void SetStatus(const DeliveryRecord& record, const DeliveryBegin& begin, CommandResult* result) {
  // A record that was finished before its begin has no request hash.
  if (!record.request_hash().empty() && record.request_hash() != begin.request_hash()) {
    result->mutable_delivery()->set_kind(DeliveryStatus::MISMATCH);
  } else if (record.finished()) {
    SetFinished(record, result);
  } else if (record.attempt() == begin.attempt()) {
    result->mutable_delivery()->set_kind(DeliveryStatus::BEGUN);  // a resend of the same begin
  } else {
    result->mutable_delivery()->set_kind(DeliveryStatus::RUNNING);
  }
}

}  // namespace

CommandResult DeliveryRecords::Begin(const DeliveryBegin& begin, int64_t window_ms) {
  CommandResult result;
  if (!ValidateKey(begin.tenant(), begin.idempotency_key(), begin.attempt(), &result)) {
    return result;
  }
  AdvanceTime(begin.now_ms(), window_ms);
  const std::string key = RecordKey(begin.tenant(), begin.idempotency_key());
  if (IsExpired(key, &result)) return result;
  result.set_code(CommandResult::OK);
  const auto found = records_.find(key);
  if (found != records_.end()) {
    SetStatus(found->second, begin, &result);
    return result;
  }
  DeliveryRecord record = MakeRecord(begin);
  record.set_request_hash(begin.request_hash());
  record.set_gateway(begin.gateway());
  Insert(key, std::move(record));
  result.mutable_delivery()->set_kind(DeliveryStatus::BEGUN);
  return result;
}

CommandResult DeliveryRecords::Finish(const DeliveryFinish& finish, int64_t window_ms) {
  CommandResult result;
  if (!ValidateKey(finish.tenant(), finish.idempotency_key(), finish.attempt(), &result)) {
    return result;
  }
  if (finish.outcome().kind() == DeliveryOutcome::KIND_UNSPECIFIED) {
    result.set_code(CommandResult::INVALID);
    result.add_errors("outcome.kind is needed");
    return result;
  }
  AdvanceTime(finish.now_ms(), window_ms);
  const std::string key = RecordKey(finish.tenant(), finish.idempotency_key());
  if (IsExpired(key, &result)) return result;
  if (!records_.contains(key)) {
    if (finish.outcome().kind() != DeliveryOutcome::NOT_EXECUTED) {
      result.set_code(CommandResult::NOT_FOUND);
      result.add_errors("no attempt has begun with this key");
      return result;
    }
    Insert(key, MakeRecord(finish));
  }
  DeliveryRecord& record = records_.at(key);
  if (record.attempt() != finish.attempt()) {
    result.set_code(CommandResult::VERSION_CONFLICT);
    result.add_errors("another attempt holds the record");
    result.mutable_delivery()->set_kind(DeliveryStatus::RUNNING);
    if (record.finished()) SetFinished(record, &result);
    return result;
  }
  if (!record.finished()) StoreOutcome(finish.outcome(), &record);
  result.set_code(CommandResult::OK);
  SetFinished(record, &result);
  while (outcome_bytes_ > kMaxOutcomeBytes && eviction_order_.size() > 1) EvictOldest();
  return result;
}

template <typename DeliveryCommand>
DeliveryRecord DeliveryRecords::MakeRecord(const DeliveryCommand& command) const {
  DeliveryRecord record;
  record.set_tenant(command.tenant());
  record.set_idempotency_key(command.idempotency_key());
  record.set_attempt(command.attempt());
  record.set_begun_ms(now_ms_);
  return record;
}

void DeliveryRecords::StoreOutcome(const DeliveryOutcome& outcome, DeliveryRecord* record) {
  record->set_finished(true);
  if (outcome.body().size() > kMaxBodyBytes) {
    record->mutable_outcome()->set_kind(DeliveryOutcome::UNKNOWN);
  } else {
    *record->mutable_outcome() = outcome;
  }
  outcome_bytes_ += record->outcome().body().size();
}

void DeliveryRecords::AdvanceTime(int64_t now_ms, int64_t window_ms) {
  now_ms_ = std::max(now_ms_, now_ms);
  while (!eviction_order_.empty() &&
         records_.at(eviction_order_.front()).begun_ms() + window_ms < now_ms_) {
    EvictOldest();
  }
  expired_.EvictBefore(now_ms_ - kExpiredWindows * window_ms);
}

void DeliveryRecords::Insert(const std::string& key, DeliveryRecord record) {
  records_[key] = std::move(record);
  eviction_order_.push_back(key);
  while (eviction_order_.size() > kMaxRecords) EvictOldest();
}

void DeliveryRecords::EvictOldest() {
  const std::string& key = eviction_order_.front();
  outcome_bytes_ -= records_.at(key).outcome().body().size();
  expired_.Add(key, now_ms_);
  records_.erase(key);
  eviction_order_.pop_front();
}

bool DeliveryRecords::IsExpired(const std::string& key, CommandResult* result) const {
  if (records_.contains(key) || !expired_.Contains(key)) return false;
  result->set_code(CommandResult::WINDOW_PASSED);
  result->add_errors("the record of this key is no longer kept");
  return true;
}

void DeliveryRecords::Save(ControlSnapshot* snapshot) const {
  for (const std::string& key : eviction_order_) *snapshot->add_deliveries() = records_.at(key);
  snapshot->set_delivery_now_ms(now_ms_);
  expired_.Save(snapshot->mutable_expired_deliveries());
}

void DeliveryRecords::Restore(const ControlSnapshot& snapshot) {
  records_.clear();
  eviction_order_.clear();
  outcome_bytes_ = 0;
  now_ms_ = snapshot.delivery_now_ms();
  expired_.Restore(snapshot.expired_deliveries());
  for (const DeliveryRecord& record : snapshot.deliveries()) {
    outcome_bytes_ += record.outcome().body().size();
    Insert(RecordKey(record.tenant(), record.idempotency_key()), record);
  }
}

}  // namespace posthatch::control
