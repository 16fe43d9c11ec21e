#include "posthatch/emulator/response_mixer.h"

#include <xxhash.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/emulator/json_body.h"

namespace posthatch::emulator {

ResponseIdentity ResponseMixer::Choose(const ResponseIdentity& original,
                                       const MixUpProbabilities& shares) {
  ResponseIdentity chosen = original;
  if (!repeats_.empty()) {
    chosen = repeats_.front();
    repeats_.pop_front();
  } else {
    const bool whole = random_->Chance(shares.crossed);
    const bool body = random_->Chance(shares.crossed_body);
    if ((whole || body) && !recent_.empty()) {
      chosen = recent_[random_->Uniform(recent_.size())];
      if (!whole) chosen.attempt = original.attempt;
    }
  }
  if (random_->Chance(shares.twice)) repeats_.push_back(original);
  recent_.push_back(original);
  if (recent_.size() > kMaxRecent) recent_.pop_front();
  return chosen;
}

std::string ChunkText(const std::string& run, uint32_t piece) {
  return absl::StrCat(run, ".", piece, " ");
}

std::string ResponseText(const std::string& run, uint32_t pieces) {
  std::string text;
  for (uint32_t piece = 0; piece < pieces; ++piece) text += ChunkText(run, piece);
  return text;
}

std::string Checksum(const std::string& text) {
  return ToHex(XXH3_64bits(text.data(), text.size()));
}

}  // namespace posthatch::emulator
