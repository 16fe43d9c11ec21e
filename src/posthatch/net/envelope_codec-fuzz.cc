// Feeds arbitrary bytes to FrameDecoder: it must decode the same envelopes however the stream is
// split, and buffer no more than one frame of the maximum size.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "posthatch/net/envelope_codec.h"

namespace {

constexpr size_t kMaxFrameBytes = 4096;

struct Result {
  bool ok = true;
  std::vector<std::string> envelopes;
  bool operator==(const Result&) const = default;
};

Result Decode(std::string_view bytes, size_t step) {
  posthatch::net::FrameDecoder decoder(kMaxFrameBytes);
  Result result;
  while (!bytes.empty() && result.ok) {
    const size_t size = std::min(step, bytes.size());
    result.ok = decoder
                    .Feed(bytes.substr(0, size),
                          [&result](const posthatch::runtime::Envelope& envelope) {
                            result.envelopes.push_back(envelope.SerializeAsString());
                            return true;
                          })
                    .ok();
    bytes.remove_prefix(size);
    if (decoder.buffered_bytes() > kMaxFrameBytes + posthatch::net::kFrameHeaderBytes) abort();
  }
  return result;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  if (!(Decode(bytes, data[0] % 16 + 1) == Decode(bytes, bytes.size() + 1))) abort();
  return 0;
}
