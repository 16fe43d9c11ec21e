#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "posthatch/runtime/random.h"

namespace posthatch::emulator {

// All that an answer is made of: two answers differ by it alone.
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

// Chooses which answer a request gets: its own, or by chance one that belongs to another request
// (crossed), or an earlier one once more (twice: what a doubled answer on a kept connection does to
// the request that comes next on it).
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

// Text of one piece of an answer: it names run and number, so that a caller can check each byte.
std::string ChunkText(const std::string& run, uint32_t piece);
// Text of a whole answer of `pieces` pieces.
std::string ResponseText(const std::string& run, uint32_t pieces);
// XXH3-64 of `text`, hexadecimal (docs/BACKENDS.md).
std::string Checksum(const std::string& text);

}  // namespace posthatch::emulator
