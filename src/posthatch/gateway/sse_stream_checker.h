#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace posthatch::gateway {

// Validates the body of one streamed response as it arrives (docs/BACKENDS.md, "Worker"):
// server-sent events of one `data` line each, with the same run id, the request id and piece
// numbers 0, 1, 2 ..., then [DONE] and nothing more. The first event is parsed; the text before its
// piece number is the same in every event of a run, so later events are compared with it and parsed
// only if they differ. Memory is bounded by kMaxEventBytes plus one chunk.
class SseStreamChecker {
 public:
  static constexpr size_t kMaxEventBytes = size_t{1024} * 1024;

  explicit SseStreamChecker(std::string request_id) : request_id_(std::move(request_id)) {}

  // Takes the next chunk. Returns the events that it completes, unchanged and in order, possibly
  // none; [DONE] is withheld. DataLoss if the stream is invalid: nothing of this chunk may be
  // forwarded then.
  absl::StatusOr<std::string> Feed(std::string chunk);

  // Called at the end of the body; OK only directly after [DONE].
  absl::Status Finish() const;

  uint64_t pieces() const { return next_piece_; }
  // The event that ends a complete stream.
  static constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

 private:
  absl::Status CheckEvent(std::string_view event);
  absl::Status CheckPiece(std::string_view payload);
  // Whether the payload has the known prefix and the next piece number; if not, it has to be
  // parsed.
  bool MatchesPrefix(std::string_view payload) const;
  absl::Status ParsePiece(std::string_view payload);
  // Sets the prefix from a parsed event, if it has the usual form.
  void CachePrefix(std::string_view payload);

  const std::string request_id_;
  std::string partial_;  // bytes of an incomplete event
  size_t searched_ = 0;  // length of partial_ already searched for kEventEnd
  std::string run_;
  std::string prefix_;  // text from '{' to the piece number; empty: unknown
  uint64_t next_piece_ = 0;
  bool done_ = false;
};

}  // namespace posthatch::gateway
