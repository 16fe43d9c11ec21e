#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "posthatch/gateway/sse_stream_checker.h"

// Checks that the forwarded bytes don't depend on how the stream is split into chunks, and are
// always a prefix of the stream.
namespace {

struct Outcome {
  std::string forwarded;
  bool valid = true;
};

Outcome FeedAll(const std::string& stream, size_t chunk_length) {
  posthatch::gateway::SseStreamChecker checker("q");
  Outcome outcome;
  for (size_t start = 0; start < stream.size() && outcome.valid; start += chunk_length) {
    const auto events = checker.Feed(stream.substr(start, chunk_length));
    outcome.valid = events.ok();
    if (events.ok()) outcome.forwarded += *events;
  }
  outcome.valid = outcome.valid && checker.Finish().ok();
  return outcome;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 2) return 0;
  const size_t chunk_length = data[0] + size_t{1};
  const std::string stream(reinterpret_cast<const char*>(data + 1), size - 1);
  const Outcome unsplit = FeedAll(stream, stream.size());
  const Outcome split = FeedAll(stream, chunk_length);
  if (unsplit.valid != split.valid) std::abort();
  if (unsplit.valid && unsplit.forwarded != split.forwarded) std::abort();
  if (stream.compare(0, split.forwarded.size(), split.forwarded) != 0) std::abort();
  return 0;
}
