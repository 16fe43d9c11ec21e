#include "posthatch/routing/weighted_split.h"

namespace posthatch::routing {
namespace {

// The fractional part of the golden ratio: its multiples leave no large gaps.
constexpr double kGoldenStep = 0.6180339887498949;
constexpr uint64_t kStartingPoints = 1'000'000;

}  // namespace

const control::RouteTarget* WeightedSplit::Next(const control::TrafficRoute& route) {
  if (route.targets_size() == 1) return route.targets(0).weight() > 0 ? &route.targets(0) : nullptr;
  double total = 0;
  for (const control::RouteTarget& target : route.targets()) total += target.weight();
  if (total <= 0) return nullptr;
  const auto [position, is_new] = positions_.try_emplace(route.name(), 0);
  if (is_new) {
    position->second = static_cast<double>(random_->Uniform(kStartingPoints)) /
                       static_cast<double>(kStartingPoints);
  }
  position->second += kGoldenStep;
  if (position->second >= 1) position->second -= 1;
  double point = position->second * total;
  const control::RouteTarget* chosen = nullptr;
  for (const control::RouteTarget& target : route.targets()) {
    if (target.weight() == 0) continue;
    chosen = &target;
    point -= target.weight();
    if (point < 0) break;
  }
  return chosen;
}

}  // namespace posthatch::routing
