#include "posthatch/routing/sse_framer.h"

#include <charconv>

namespace posthatch::routing {
namespace {

constexpr std::string_view kIdField = "id:";

std::optional<uint64_t> ToNumber(std::string_view text) {
  uint64_t number = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) return std::nullopt;
  return number;
}

std::string_view WithoutCarriageReturn(std::string_view line) {
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

// Value of the event's id field; nullopt if it has none.
std::optional<std::string_view> FindId(std::string_view event) {
  std::optional<std::string_view> id;
  while (!event.empty()) {
    const size_t end = event.find('\n');
    const std::string_view line = WithoutCarriageReturn(event.substr(0, end));
    if (line.starts_with(kIdField)) {
      id = line.substr(kIdField.size());
      if (id->starts_with(' ')) id->remove_prefix(1);
    }
    if (end == std::string_view::npos) break;
    event.remove_prefix(end + 1);
  }
  return id;
}

// Length of the first event in `text` with the empty line that ends it; npos if it is incomplete.
size_t EventLength(std::string_view text) {
  size_t line_start = 0;
  while (true) {
    const size_t end = text.find('\n', line_start);
    if (end == std::string_view::npos) return std::string_view::npos;
    const bool empty = WithoutCarriageReturn(text.substr(line_start, end - line_start)).empty();
    if (empty) return end + 1;
    line_start = end + 1;
  }
}

}  // namespace

std::string SseFramer::Feed(std::string_view bytes) {
  pending_.append(bytes);
  std::string out;
  size_t consumed = 0;
  while (true) {
    std::string_view rest = pending_;
    rest.remove_prefix(consumed);
    const size_t length = EventLength(rest);
    if (length == std::string_view::npos) break;
    AppendEvent(rest.substr(0, length), &out);
    consumed += length;
  }
  pending_.erase(0, consumed);
  return out;
}

void SseFramer::AppendEvent(std::string_view event, std::string* out) {
  const std::optional<std::string_view> id = FindId(event);
  if (id.has_value()) {
    const std::optional<uint64_t> number = ToNumber(*id);
    if (number.has_value() && last_number_.has_value() && *number <= *last_number_) return;
    last_number_ = number;
    last_event_id_.assign(*id);
  }
  ++events_;
  out->append(event);
}

void SseFramer::SetLastEventId(std::string_view id) {
  last_event_id_.assign(id);
  last_number_ = ToNumber(id);
}

}  // namespace posthatch::routing
