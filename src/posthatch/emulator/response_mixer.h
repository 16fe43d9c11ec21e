#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "posthatch/runtime/random.h"

namespace posthatch::emulator {

// The content of a response is derived from these fields alone.
struct ResponseIdentity {
  std::string run;
  std::string request_id;  // the caller's nonce, echoed in the body
  std::string attempt;     // the gateway's nonce, echoed in the head
  std::string operation;
  uint32_t tokens = 0;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
};

struct MixUpProbabilities {
  double twice = 0;
  double crossed = 0;
  double crossed_body = 0;
};

// Chooses which response a request gets: its own, or with the given probabilities that of another
// recent request (crossed; crossed_body: the body alone) or a response that was already sent
// (twice: as if it had been sent twice on a pooled connection and were taken for the response to
// the next request). Not thread-safe.
class ResponseMixer {
 public:
  explicit ResponseMixer(runtime::Random* random) : random_(random) {}

  ResponseIdentity Choose(const ResponseIdentity& original,
                          const MixUpProbabilities& probabilities);

 private:
  static constexpr size_t kMaxRecent = 16;

  runtime::Random* const random_;
  std::deque<ResponseIdentity> recent_;
  std::deque<ResponseIdentity> repeats_;
};

// Text of a chunk of a response: contains run and number, so that a caller can verify each byte.
std::string ChunkText(const std::string& run, uint32_t chunk);
// Text of a complete response of `chunks` chunks.
std::string ResponseText(const std::string& run, uint32_t chunks);
// XXH3-64 of `text`, hexadecimal (docs/BACKENDS.md).
std::string Checksum(const std::string& text);

}  // namespace posthatch::emulator
