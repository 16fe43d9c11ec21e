#include "posthatch/emulator/prompt_pool.h"

#include <xxhash.h>

#include <cmath>

#include "absl/strings/str_cat.h"
#include "posthatch/emulator/json_body.h"

namespace posthatch::emulator {

PromptPool::PromptPool(const TenantTraffic& tenant) : tenant_(tenant) {
  std::vector<double> weights;
  for (uint32_t rank = 0; rank < tenant.histories; ++rank) {
    const bool common = rank % 2 == 0;
    histories_.push_back(
        {common ? absl::StrCat("common/", rank) : absl::StrCat(tenant.name, "/", rank), "", 0, 0});
    StartGeneration(&histories_.back());
    weights.push_back(std::pow(rank + 1.0, -tenant.zipf_exponent));
  }
  choice_ = std::discrete_distribution<size_t>(weights.begin(), weights.end());
}

void PromptPool::StartGeneration(History* history) const {
  history->turns = 0;
  history->text =
      FillerText(absl::StrCat(history->name, "#", history->generation), tenant_.first_prompt_bytes);
}

PromptPool::Choice PromptPool::Next(runtime::Random* random) {
  if (histories_.empty()) return {};
  History& history = histories_[choice_(*random)];
  if (history.text.size() + tenant_.turn_bytes > tenant_.longest_prompt_bytes) {
    ++history.generation;
    StartGeneration(&history);
  }
  Choice choice{absl::StrCat(history.name, "#", history.generation), history.text};
  ++history.turns;
  history.text += FillerText(absl::StrCat(choice.history, "+", history.turns), tenant_.turn_bytes);
  return choice;
}

std::string FillerText(const std::string& seed, size_t bytes) {
  std::string text;
  text.reserve(bytes + 32);
  for (uint64_t counter = 0; text.size() < bytes; ++counter) {
    text += ToHex(XXH3_64bits_withSeed(seed.data(), seed.size(), counter));
    text += ' ';
  }
  text.resize(bytes);
  return text;
}

}  // namespace posthatch::emulator
