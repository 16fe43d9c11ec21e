#include "posthatch/fleettest/checks/stream_check.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <optional>

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N4";
constexpr std::string_view kTitle = "a stream contains the chunks 0, 1, 2, ... of one run";

constexpr size_t kMaxShownChunks = 12;

std::optional<std::string> ChunkMismatch(const CallEnded& ended) {
  for (int position = 0; position < ended.pieces_size(); ++position) {
    if (ended.pieces(position) != static_cast<uint32_t>(position)) {
      const size_t shown = std::min<size_t>(ended.pieces_size(), kMaxShownChunks);
      return fmt::format("chunks {} instead of 0, 1, 2, ...",
                         fmt::join(ended.pieces().begin(), ended.pieces().begin() + shown, ", "));
    }
  }
  if (ended.piece_runs_size() > 1) {
    return fmt::format("chunks of several runs: {}", fmt::join(ended.piece_runs(), ", "));
  }
  return std::nullopt;
}

// A stream that ended as complete although its run did not, or that is shorter than requested.
std::optional<std::string> TruncatedButComplete(const RecordedHistory& history,
                                                const CallRecord& call) {
  const CallEnded& ended = *call.ended;
  if (!ended.complete()) return std::nullopt;
  if (ended.pieces_size() == 0) return "complete without chunks";
  const uint32_t expected = call.sent->expected_pieces();
  if (expected > 0 && static_cast<uint32_t>(ended.pieces_size()) < expected) {
    return fmt::format("complete with {} of {} chunks", ended.pieces_size(), expected);
  }
  const RunRecord* run =
      ended.piece_runs_size() == 1 ? history.FindRun(ended.piece_runs(0)) : nullptr;
  if (run != nullptr && run->ended != nullptr && !run->ended->completed()) {
    return fmt::format("complete, but run {} was interrupted at the back end", ended.piece_runs(0));
  }
  return std::nullopt;
}

}  // namespace

CheckResult StreamCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  for (const CallRecord& call : history.calls()) {
    if (!call.sent->stream() || !call.succeeded()) continue;
    result.Examine();
    std::optional<std::string> mismatch = ChunkMismatch(*call.ended);
    if (!mismatch) mismatch = TruncatedButComplete(history, call);
    if (mismatch) result.Violate(fmt::format("request {}: {}", call.sent->nonce(), *mismatch));
  }
  return result;
}

}  // namespace posthatch::fleettest
