#include "posthatch/gateway/sse_stream_checker.h"

#include <boost/json.hpp>
#include <charconv>

#include "absl/strings/str_cat.h"
#include "posthatch/gateway/response_fields.h"

namespace posthatch::gateway {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kData = "data: ";
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kPieceKey = "\"piece\":";

absl::Status InvalidStream(const char* what) { return absl::DataLossError(what); }

}  // namespace

absl::StatusOr<std::string> SseStreamChecker::Feed(std::string chunk) {
  std::string text;
  if (partial_.empty()) {
    text = std::move(chunk);
  } else {
    partial_.append(chunk);
    text = std::move(partial_);
    partial_.clear();
  }
  const std::string_view view(text);
  size_t start = 0;
  size_t forward_end = 0;  // end of the complete events to forward
  size_t search_from = searched_;
  while (true) {
    const size_t end = view.find(kEventEnd, search_from);
    if (end == std::string_view::npos) break;
    if (done_) return InvalidStream("bytes after [DONE]");
    if (absl::Status status = CheckEvent(view.substr(start, end - start)); !status.ok()) {
      return status;
    }
    start = end + kEventEnd.size();
    search_from = start;
    if (!done_) forward_end = start;
  }
  const size_t rest = text.size() - start;
  if (rest > 0 && done_) return InvalidStream("bytes after [DONE]");
  if (rest > kMaxEventBytes) return InvalidStream("an event is too long");
  partial_.assign(text, start, rest);
  searched_ = rest > 0 ? rest - 1 : 0;  // kEventEnd may be split across two chunks
  text.resize(forward_end);
  return text;
}

absl::Status SseStreamChecker::Finish() const {
  if (!done_ || !partial_.empty()) return InvalidStream("the body ended before [DONE]");
  return absl::OkStatus();
}

absl::Status SseStreamChecker::CheckEvent(std::string_view event) {
  if (event.substr(0, kData.size()) != kData) return InvalidStream("an event is not a data line");
  const std::string_view payload = event.substr(kData.size());
  if (payload == kDone) {
    if (next_piece_ == 0) return InvalidStream("[DONE] before any piece");
    done_ = true;
    return absl::OkStatus();
  }
  return CheckPiece(payload);
}

absl::Status SseStreamChecker::CheckPiece(std::string_view payload) {
  if (MatchesPrefix(payload)) {
    ++next_piece_;
    return absl::OkStatus();
  }
  if (absl::Status status = ParsePiece(payload); !status.ok()) return status;
  if (next_piece_ == 1) CachePrefix(payload);
  return absl::OkStatus();
}

bool SseStreamChecker::MatchesPrefix(std::string_view payload) const {
  if (prefix_.empty() || payload.substr(0, prefix_.size()) != prefix_) return false;
  if (payload.back() != '}' || payload.find('\n') != std::string_view::npos) return false;
  const char* const digits = payload.data() + prefix_.size();
  const char* const limit = payload.data() + payload.size();
  uint64_t piece = 0;
  const auto [end, error] = std::from_chars(digits, limit, piece);
  if (error != std::errc() || end == limit) return false;
  if (*digits == '0' && end != digits + 1) return false;
  return piece == next_piece_ && (*end == ',' || *end == '}');
}

absl::Status SseStreamChecker::ParsePiece(std::string_view payload) {
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(payload, error);
  if (error || !parsed.is_object()) return InvalidStream("an event is not a JSON object");
  const boost::json::object& event = parsed.get_object();
  const std::string_view run = StringField(event, "id");
  if (run.empty()) return InvalidStream("a piece has no run id");
  if (next_piece_ == 0) run_ = std::string(run);
  if (run != run_) return InvalidStream("pieces of different runs");
  if (StringField(event, "request_id") != request_id_)
    return InvalidStream("a piece of another request");
  const boost::json::value* piece = event.if_contains("piece");
  if (piece == nullptr || !piece->is_number()) return InvalidStream("a piece has no number");
  boost::json::error_code conversion_error;
  const uint64_t number = piece->to_number<uint64_t>(conversion_error);
  if (conversion_error || number != next_piece_)
    return InvalidStream("a piece is missing or repeated");
  ++next_piece_;
  return absl::OkStatus();
}

void SseStreamChecker::CachePrefix(std::string_view payload) {
  const size_t key = payload.find(kPieceKey);
  if (key == std::string_view::npos) return;
  size_t end = key + kPieceKey.size();
  if (end < payload.size() && payload[end] == ' ') ++end;
  // The prefix, closed after a number, must be an object with exactly three fields. This proves
  // that the key belongs to the event and is not part of a text.
  boost::json::error_code error;
  const boost::json::value closed =
      boost::json::parse(absl::StrCat(std::string(payload.substr(0, end)), "0}"), error);
  if (error || !closed.is_object() || closed.get_object().size() != 3) return;
  const boost::json::object& fields = closed.get_object();
  if (StringField(fields, "id") != run_ || StringField(fields, "request_id") != request_id_) return;
  if (fields.if_contains("piece") == nullptr) return;
  prefix_ = std::string(payload.substr(0, end));
}

}  // namespace posthatch::gateway
