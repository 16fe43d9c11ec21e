#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "posthatch/runtime/random.h"

namespace posthatch::emulator {

// What a response is made from: two responses differ by it alone.
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

// Chooses which response a request gets: its own, or by chance another request's (crossed), or an
// earlier one once more (twice: what a duplicate response on a pooled connection does to the next
// request on it). Not thread-safe.
class ResponseMixer {
 public:
  explicit ResponseMixer(runtime::Random* random) : random_(random) {}

  ResponseIdentity Choose(const ResponseIdentity& original, const MixUpProbabilities& shares);

 private:
  static constexpr size_t kMaxRecent = 16;

  runtime::Random* const random_;
  std::deque<ResponseIdentity> recent_;
  std::deque<ResponseIdentity> repeats_;
};

// Text of one chunk of a response: it names run and number, so that a caller can check each byte.
std::string ChunkText(const std::string& run, uint32_t piece);
// Text of a complete response of `pieces` chunks.
std::string ResponseText(const std::string& run, uint32_t pieces);
// XXH3-64 of `text`, hexadecimal (docs/BACKENDS.md).
std::string Checksum(const std::string& text);

}  // namespace posthatch::emulator
