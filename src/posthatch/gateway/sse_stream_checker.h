#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace posthatch::gateway {

// Checks the body of one streamed answer as it arrives (docs/BACKENDS.md, "Worker"): server-sent
// events of one `data` line each, with one run id, the request's id and pieces 0, 1, 2 ..., then
// [DONE] and nothing more. The first event is parsed; the text that it has before its piece number
// is the same in every event of a run, so later events are compared with it and parsed only if they
// differ. Memory is bounded by kMaxEventBytes plus one chunk.
class SseStreamChecker {
 public:
  static constexpr size_t kMaxEventBytes = size_t{1024} * 1024;

  explicit SseStreamChecker(std::string request_id) : request_id_(std::move(request_id)) {}

  // Takes the next bytes. Returns the whole events that they complete, unchanged and in order,
  // maybe none; [DONE] is kept back. DataLoss if the stream is not as it must be: nothing of this
  // chunk may be shown then.
  absl::StatusOr<std::string> Feed(std::string chunk);

  // To be called at the proper end of the body; OK only directly after [DONE].
  absl::Status Finish() const;

  uint64_t pieces() const { return next_piece_; }
  // The event that ends a complete stream.
  static constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

 private:
  absl::Status CheckEvent(std::string_view event);
  absl::Status CheckPiece(std::string_view payload);
  // Compares with the known prefix; false if the event has to be parsed.
  bool MatchesPrefix(std::string_view payload) const;
  absl::Status ParsePiece(std::string_view payload);
  // Learns the prefix from a parsed event, if it has the usual form.
  void LearnPrefix(std::string_view payload);

  const std::string request_id_;
  std::string partial_;  // bytes of an event that has not ended
  size_t searched_ = 0;  // of them, already searched for the end of the event
  std::string run_;
  std::string prefix_;  // from '{' to the piece number; empty: not known
  uint64_t next_piece_ = 0;
  bool done_ = false;
};

}  // namespace posthatch::gateway
