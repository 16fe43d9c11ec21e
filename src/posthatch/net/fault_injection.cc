#include "posthatch/net/fault_injection.h"

#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/util/string_view.h"

namespace posthatch::net {
namespace {

namespace json = boost::json;

constexpr int64_t kMaxDelayMs = 3'600'000;

absl::Status InvalidValueError(std::string_view key, std::string_view expected) {
  return absl::InvalidArgumentError(
      absl::StrCat(util::ToAbsl(key), " must be ", util::ToAbsl(expected)));
}

absl::Status ReadEndpoints(std::string_view key, const json::value& value,
                           absl::flat_hash_set<std::string>* endpoints) {
  const json::array* list = value.if_array();
  if (list == nullptr) return InvalidValueError(key, "a list of \"ip:port\"");
  for (const json::value& item : *list) {
    const json::string* endpoint = item.if_string();
    if (endpoint == nullptr) return InvalidValueError(key, "a list of \"ip:port\"");
    endpoints->insert(std::string(*endpoint));
  }
  return absl::OkStatus();
}

absl::StatusOr<runtime::Duration> ReadMilliseconds(std::string_view key, const json::value& value) {
  const int64_t* milliseconds = value.if_int64();
  if (milliseconds == nullptr || *milliseconds < 0 || *milliseconds > kMaxDelayMs) {
    return InvalidValueError(key, absl::StrCat("0 to ", kMaxDelayMs, " milliseconds"));
  }
  return std::chrono::milliseconds(*milliseconds);
}

absl::Status ReadDelays(std::string_view key, const json::value& value,
                        absl::flat_hash_map<std::string, runtime::Duration>* delays) {
  constexpr std::string_view kExpected = R"(a list of {"endpoint": "ip:port", "ms": n})";
  const json::array* list = value.if_array();
  if (list == nullptr) return InvalidValueError(key, kExpected);
  for (const json::value& item : *list) {
    const json::object* entry = item.if_object();
    if (entry == nullptr) return InvalidValueError(key, kExpected);
    const json::value* endpoint = entry->if_contains("endpoint");
    const json::value* milliseconds = entry->if_contains("ms");
    if (endpoint == nullptr || !endpoint->is_string() || milliseconds == nullptr ||
        entry->size() != 2) {
      return InvalidValueError(key, kExpected);
    }
    const auto delay = ReadMilliseconds(key, *milliseconds);
    if (!delay.ok()) return delay.status();
    (*delays)[std::string(endpoint->get_string())] = *delay;
  }
  return absl::OkStatus();
}

absl::Status ReadRule(std::string_view key, const json::value& value, FaultRules* rules) {
  if (key == "drop_to") return ReadEndpoints(key, value, &rules->drop_to);
  if (key == "drop_from") return ReadEndpoints(key, value, &rules->drop_from);
  if (key == "delay_to") return ReadDelays(key, value, &rules->delay_to);
  if (key == "delay_from") return ReadDelays(key, value, &rules->delay_from);
  if (key == "disk_sync_delay_ms") {
    const auto delay = ReadMilliseconds(key, value);
    if (!delay.ok()) return delay.status();
    rules->disk_sync_delay = *delay;
    return absl::OkStatus();
  }
  if (key == "disk_full") {
    if (!value.is_bool()) return InvalidValueError(key, "true or false");
    rules->disk_full = value.get_bool();
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(absl::StrCat("unknown key ", util::ToAbsl(key)));
}

std::string AddressWithoutPort(const std::string& endpoint) {
  return endpoint.substr(0, endpoint.rfind(':'));
}

// The entry for `endpoint`, or else the entry for its address without the port.
template <typename Container>
auto FindRule(const Container& container, const std::string& endpoint) {
  const auto exact = container.find(endpoint);
  if (exact != container.end() || container.empty()) return exact;
  return container.find(AddressWithoutPort(endpoint));
}

}  // namespace

absl::StatusOr<FaultRules> ParseFaultRules(std::string_view json) {
  boost::system::error_code error;
  const json::value document = json::parse({json.data(), json.size()}, error);
  if (error) return absl::InvalidArgumentError(absl::StrCat("not JSON: ", error.message()));
  const json::object* object = document.if_object();
  if (object == nullptr) return absl::InvalidArgumentError("not a JSON object");
  FaultRules rules;
  for (const auto& [key, value] : *object) {
    absl::Status status = ReadRule({key.data(), key.size()}, value, &rules);
    if (!status.ok()) return status;
  }
  return rules;
}

void FaultInjection::SetRules(FaultRules rules) {
  rules_ = std::move(rules);
  disk_sync_delay_ns_.store(rules_.disk_sync_delay.count(), std::memory_order_relaxed);
  disk_full_.store(rules_.disk_full, std::memory_order_relaxed);
  std::vector<uint64_t> subscriptions;
  for (const auto& [subscription, listener] : listeners_) subscriptions.push_back(subscription);
  for (const uint64_t subscription : subscriptions) {
    const auto found = listeners_.find(subscription);
    if (found == listeners_.end()) continue;
    const std::function<void()> changed = found->second;
    changed();
  }
}

bool FaultInjection::DropsTo(const std::string& endpoint) const {
  return FindRule(rules_.drop_to, endpoint) != rules_.drop_to.end();
}

bool FaultInjection::DropsFrom(const std::string& endpoint) const {
  return FindRule(rules_.drop_from, endpoint) != rules_.drop_from.end();
}

runtime::Duration FaultInjection::DelayTo(const std::string& endpoint) const {
  const auto rule = FindRule(rules_.delay_to, endpoint);
  return rule == rules_.delay_to.end() ? runtime::Duration::zero() : rule->second;
}

runtime::Duration FaultInjection::DelayFrom(const std::string& endpoint) const {
  const auto rule = FindRule(rules_.delay_from, endpoint);
  return rule == rules_.delay_from.end() ? runtime::Duration::zero() : rule->second;
}

runtime::Duration FaultInjection::disk_sync_delay() const {
  return runtime::Duration(disk_sync_delay_ns_.load(std::memory_order_relaxed));
}

uint64_t FaultInjection::Subscribe(std::function<void()> changed) {
  listeners_[++last_subscription_] = std::move(changed);
  return last_subscription_;
}

void FaultInjection::Unsubscribe(uint64_t subscription) { listeners_.erase(subscription); }

}  // namespace posthatch::net
