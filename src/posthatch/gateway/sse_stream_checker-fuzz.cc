#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "posthatch/gateway/sse_stream_checker.h"

// Checks that the forwarded bytes don't depend on how the stream is split into chunks, and are
// always a prefix of the stream.
namespace {

struct Outcome {
  std::string shown;
  bool good = true;
};

Outcome FeedAll(const std::string& stream, size_t chunk_length) {
  posthatch::gateway::SseStreamChecker checker("q");
  Outcome outcome;
  for (size_t start = 0; start < stream.size() && outcome.good; start += chunk_length) {
    const auto events = checker.Feed(stream.substr(start, chunk_length));
    outcome.good = events.ok();
    if (events.ok()) outcome.shown += *events;
  }
  outcome.good = outcome.good && checker.Finish().ok();
  return outcome;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 2) return 0;
  const size_t chunk_length = data[0] + size_t{1};
  const std::string stream(reinterpret_cast<const char*>(data + 1), size - 1);
  const Outcome in_one = FeedAll(stream, stream.size());
  const Outcome in_chunks = FeedAll(stream, chunk_length);
  if (in_one.good != in_chunks.good) std::abort();
  if (in_one.good && in_one.shown != in_chunks.shown) std::abort();
  if (stream.compare(0, in_chunks.shown.size(), in_chunks.shown) != 0) std::abort();
  return 0;
}
