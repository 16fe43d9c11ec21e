#include "posthatch/gateway/link_speed_estimator.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace posthatch::gateway {
namespace {

constexpr double kKeptShare = 0.95;            // of the sums, at each new sample
constexpr double kNewLinkSampleShare = 0.5;    // links change abruptly
constexpr double kUnmeasuredFetchShare = 0.2;  // of the prefill cost
constexpr double kFetchMustCostBelow = 0.7;    // of the prefill cost
constexpr double kSmallestCost = 0.001;        // milliseconds

std::string LinkName(const std::string& source, const std::string& worker) {
  return absl::StrCat(source, ">", worker);
}

}  // namespace

void LinkSpeedEstimator::RecordPrefill(uint64_t blocks, runtime::Duration elapsed) {
  if (blocks == 0) return;
  prefill_milliseconds_ = std::max(
      kSmallestCost, prefill_milliseconds_ * kKeptShare + runtime::ToMilliseconds(elapsed));
  prefill_blocks_ = prefill_blocks_ * kKeptShare + static_cast<double>(blocks);
}

void LinkSpeedEstimator::RecordFetch(const std::string& source, const std::string& worker,
                                     uint64_t fetched, uint64_t prefilled,
                                     runtime::Duration elapsed) {
  if (fetched == 0) return;
  const double fetching =
      runtime::ToMilliseconds(elapsed) - static_cast<double>(prefilled) * PrefillCost();
  const double sample = std::max(kSmallestCost, fetching / static_cast<double>(fetched));
  if (links_.size() >= kMaxLinks) links_.clear();
  const runtime::MonotonicTime now = clock_->Now();
  Link& link = links_[LinkName(source, worker)];
  const bool fresh = link.milliseconds > 0.0 && now - link.measured < kMeasurementLife;
  link.milliseconds =
      fresh ? link.milliseconds * (1.0 - kNewLinkSampleShare) + sample * kNewLinkSampleShare
            : sample;
  link.measured = now;
}

double LinkSpeedEstimator::FetchCost(const std::string& source, const std::string& worker) const {
  const auto found = links_.find(LinkName(source, worker));
  const bool measured =
      found != links_.end() && clock_->Now() - found->second.measured < kMeasurementLife;
  return measured ? found->second.milliseconds : PrefillCost() * kUnmeasuredFetchShare;
}

bool LinkSpeedEstimator::FetchPays(const std::string& source, const std::string& worker) const {
  return FetchCost(source, worker) < PrefillCost() * kFetchMustCostBelow;
}

}  // namespace posthatch::gateway
