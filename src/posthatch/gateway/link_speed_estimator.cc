#include "posthatch/gateway/link_speed_estimator.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace posthatch::gateway {
namespace {

constexpr double kSumDecay = 0.95;                 // factor for the sums at each new sample
constexpr double kLinkSampleWeight = 0.5;          // links change abruptly
constexpr double kUnmeasuredFetchCostRatio = 0.2;  // fraction of the prefill cost
constexpr double kMaxFetchCostRatio = 0.7;         // fraction of the prefill cost
constexpr double kMinCostMs = 0.001;               // per block

std::string LinkName(const std::string& source, const std::string& worker) {
  return absl::StrCat(source, ">", worker);
}

}  // namespace

void LinkSpeedEstimator::RecordPrefill(uint64_t blocks, runtime::Duration elapsed) {
  if (blocks == 0) return;
  prefill_milliseconds_ =
      std::max(kMinCostMs, prefill_milliseconds_ * kSumDecay + runtime::ToMilliseconds(elapsed));
  prefill_blocks_ = prefill_blocks_ * kSumDecay + static_cast<double>(blocks);
}

void LinkSpeedEstimator::RecordFetch(const std::string& source, const std::string& worker,
                                     uint64_t fetched, uint64_t prefilled,
                                     runtime::Duration elapsed) {
  if (fetched == 0) return;
  const double fetching =
      runtime::ToMilliseconds(elapsed) - static_cast<double>(prefilled) * PrefillCost();
  const double sample = std::max(kMinCostMs, fetching / static_cast<double>(fetched));
  if (links_.size() >= kMaxLinks) links_.clear();
  const runtime::MonotonicTime now = clock_->Now();
  Link& link = links_[LinkName(source, worker)];
  const bool fresh = link.milliseconds > 0.0 && now - link.measured < kMeasurementTtl;
  link.milliseconds =
      fresh ? link.milliseconds * (1.0 - kLinkSampleWeight) + sample * kLinkSampleWeight : sample;
  link.measured = now;
}

double LinkSpeedEstimator::FetchCost(const std::string& source, const std::string& worker) const {
  const auto found = links_.find(LinkName(source, worker));
  const bool measured =
      found != links_.end() && clock_->Now() - found->second.measured < kMeasurementTtl;
  return measured ? found->second.milliseconds : PrefillCost() * kUnmeasuredFetchCostRatio;
}

bool LinkSpeedEstimator::FetchIsWorthwhile(const std::string& source,
                                           const std::string& worker) const {
  return FetchCost(source, worker) < PrefillCost() * kMaxFetchCostRatio;
}

}  // namespace posthatch::gateway
