#include "posthatch/emulator/answer_mixer.h"

#include <xxhash.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/emulator/json_body.h"

namespace posthatch::emulator {

AnswerIdentity AnswerMixer::Choose(const AnswerIdentity& own, const MixedUpShares& shares) {
  AnswerIdentity chosen = own;
  if (!again_.empty()) {
    chosen = again_.front();
    again_.pop_front();
  } else {
    const bool whole = random_->Chance(shares.crossed);
    const bool body = random_->Chance(shares.crossed_body);
    if ((whole || body) && !recent_.empty()) {
      chosen = recent_[random_->Uniform(recent_.size())];
      if (!whole) chosen.attempt = own.attempt;
    }
  }
  if (random_->Chance(shares.twice)) again_.push_back(own);
  recent_.push_back(own);
  if (recent_.size() > kRemembered) recent_.pop_front();
  return chosen;
}

std::string PieceText(const std::string& run, uint32_t piece) {
  return absl::StrCat(run, ".", piece, " ");
}

std::string AnswerText(const std::string& run, uint32_t pieces) {
  std::string text;
  for (uint32_t piece = 0; piece < pieces; ++piece) text += PieceText(run, piece);
  return text;
}

std::string Checksum(const std::string& text) {
  return ToHex(XXH3_64bits(text.data(), text.size()));
}

}  // namespace posthatch::emulator
