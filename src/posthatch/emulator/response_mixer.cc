#include "posthatch/emulator/response_mixer.h"

#include <xxhash.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/emulator/json_body.h"

namespace posthatch::emulator {

ResponseIdentity ResponseMixer::Choose(const ResponseIdentity& original,
                                       const MixUpProbabilities& probabilities) {
  ResponseIdentity chosen = original;
  if (!repeats_.empty()) {
    chosen = repeats_.front();
    repeats_.pop_front();
  } else {
    const bool crossed = random_->Chance(probabilities.crossed);
    const bool crossed_body = random_->Chance(probabilities.crossed_body);
    if ((crossed || crossed_body) && !recent_.empty()) {
      chosen = recent_[random_->Uniform(recent_.size())];
      if (!crossed) chosen.attempt = original.attempt;
    }
  }
  if (random_->Chance(probabilities.twice)) repeats_.push_back(original);
  recent_.push_back(original);
  if (recent_.size() > kMaxRecent) recent_.pop_front();
  return chosen;
}

std::string ChunkText(const std::string& run, uint32_t chunk) {
  return absl::StrCat(run, ".", chunk, " ");
}

std::string ResponseText(const std::string& run, uint32_t chunks) {
  std::string text;
  for (uint32_t chunk = 0; chunk < chunks; ++chunk) text += ChunkText(run, chunk);
  return text;
}

std::string Checksum(const std::string& text) {
  return ToHex(XXH3_64bits(text.data(), text.size()));
}

}  // namespace posthatch::emulator
