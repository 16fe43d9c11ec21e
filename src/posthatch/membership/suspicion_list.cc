#include "posthatch/membership/suspicion_list.h"

#include <algorithm>
#include <cmath>

namespace posthatch::membership {

void SuspicionList::Start(const std::string& node_id, const std::string& accuser, size_t fleet_size,
                          runtime::MonotonicTime now) {
  const auto [found, added] = suspicions_.try_emplace(node_id);
  if (!added) return;
  const double scale = std::max(1.0, std::log10(static_cast<double>(fleet_size)));
  found->second.start = now;
  found->second.min_timeout = runtime::Duration(
      static_cast<int64_t>(static_cast<double>(options_->min_suspicion.count()) * scale));
  found->second.accusers.insert(accuser);
}

bool SuspicionList::Confirm(const std::string& node_id, const std::string& accuser) {
  const auto found = suspicions_.find(node_id);
  if (found == suspicions_.end()) return false;
  std::set<std::string>& accusers = found->second.accusers;
  if (accusers.size() > static_cast<size_t>(options_->confirmations)) return false;
  return accusers.insert(accuser).second;
}

void SuspicionList::Extend(runtime::Duration duration) {
  for (auto& [node_id, suspicion] : suspicions_) suspicion.start += duration;
}

runtime::Duration SuspicionList::TimeoutOf(const Suspicion& suspicion) const {
  const auto confirmations = static_cast<double>(suspicion.accusers.size() - 1);
  const double reduction =
      std::log(confirmations + 1) / std::log(static_cast<double>(options_->confirmations) + 1);
  const double factor = std::max(
      1.0, options_->max_suspicion_factor - (options_->max_suspicion_factor - 1) * reduction);
  return runtime::Duration(
      static_cast<int64_t>(static_cast<double>(suspicion.min_timeout.count()) * factor));
}

std::vector<std::string> SuspicionList::TakeExpired(runtime::MonotonicTime now) {
  std::vector<std::string> expired;
  for (auto next = suspicions_.begin(); next != suspicions_.end();) {
    if (now - next->second.start < TimeoutOf(next->second)) {
      ++next;
    } else {
      expired.push_back(next->first);
      next = suspicions_.erase(next);
    }
  }
  return expired;
}

}  // namespace posthatch::membership
