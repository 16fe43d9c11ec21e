#include "posthatch/index/kv_events.h"

#include <boost/json.hpp>
#include <charconv>
#include <limits>

namespace posthatch::index {
namespace {

namespace json = boost::json;

constexpr int kHexadecimal = 16;
constexpr size_t kMaxHashDigits = 16;

bool ReadNumber(const json::object& object, std::string_view name, uint64_t* number) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return false;
  if (value->is_uint64()) {
    *number = value->get_uint64();
    return true;
  }
  if (!value->is_int64() || value->get_int64() < 0) return false;
  *number = static_cast<uint64_t>(value->get_int64());
  return true;
}

bool ReadHash(const json::value& value, BlockHash* hash) {
  if (!value.is_string()) return false;
  const json::string& text = value.get_string();
  if (text.empty() || text.size() > kMaxHashDigits) return false;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, *hash, kHexadecimal);
  return result.ec == std::errc() && result.ptr == end;
}

bool ReadBlocks(const json::object& object, std::vector<BlockHash>* blocks) {
  const json::value* value = object.if_contains("blocks");
  if (value == nullptr || !value->is_array()) return false;
  blocks->reserve(value->get_array().size());
  for (const json::value& element : value->get_array()) {
    BlockHash hash;  // NOLINT(cppcoreguidelines-init-variables): ReadHash sets it or fails
    if (!ReadHash(element, &hash)) return false;
    blocks->push_back(hash);
  }
  return true;
}

bool ReadEvent(const json::value& value, KvEvent* event) {
  if (!value.is_object()) return false;
  const json::object& object = value.get_object();
  const json::value* type = object.if_contains("type");
  if (type == nullptr || !type->is_string()) return false;
  if (!ReadNumber(object, "seq", &event->seq)) return false;
  const std::string_view name(type->get_string().data(), type->get_string().size());
  if (name == "removed") {
    event->type = KvEvent::Type::kRemoved;
    return ReadBlocks(object, &event->blocks);
  }
  if (name != "stored") return true;  // "lost", or a type that this version does not know
  event->type = KvEvent::Type::kStored;
  uint64_t first = 0;
  if (!ReadNumber(object, "first", &first)) return false;
  if (first > std::numeric_limits<uint32_t>::max()) return false;
  event->first = static_cast<uint32_t>(first);
  const json::value* attempt = object.if_contains("attempt");
  if (attempt != nullptr && attempt->is_string()) {
    event->attempt.assign(attempt->get_string().data(), attempt->get_string().size());
  }
  return ReadBlocks(object, &event->blocks);
}

}  // namespace

absl::StatusOr<KvEventBatch> ParseKvEvents(std::string_view body) {
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  if (error || !document.is_object()) return absl::InvalidArgumentError("kv_events: no object");
  const json::object& object = document.get_object();
  KvEventBatch batch;
  if (!ReadNumber(object, "epoch", &batch.epoch) || !ReadNumber(object, "next", &batch.next)) {
    return absl::InvalidArgumentError("kv_events: epoch or next is missing");
  }
  const json::value* events = object.if_contains("events");
  if (events == nullptr || !events->is_array()) {
    return absl::InvalidArgumentError("kv_events: events are missing");
  }
  for (const json::value& value : events->get_array()) {
    KvEvent event;
    if (!ReadEvent(value, &event)) return absl::InvalidArgumentError("kv_events: malformed event");
    batch.events.push_back(std::move(event));
  }
  return batch;
}

}  // namespace posthatch::index
