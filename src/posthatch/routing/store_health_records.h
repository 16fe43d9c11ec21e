#pragma once

#include <map>
#include <string>

#include "posthatch/routing/routing.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// The health of the prefix stores as checked by this gateway in the role of an aggregator. Owned by
// LoadReporter; event loop thread only.
class StoreHealthRecords {
 public:
  explicit StoreHealthRecords(const runtime::Clock* clock) : clock_(clock) {}

  // Returns whether the store's health is new or has changed, and so must be reported.
  bool Record(const std::string& endpoint, bool alive);
  // Adds all records to a report if one has changed since the last call, or with `full`. Records
  // that were not renewed are left out: another gateway may check the store now.
  void AddTo(bool full, LoadReport* report);

 private:
  struct CheckedStore {
    bool alive = false;
    runtime::MonotonicTime checked_at;
  };

  const runtime::Clock* const clock_;
  std::map<std::string, CheckedStore> stores_;  // keyed by endpoint
  bool changed_ = false;
};

}  // namespace posthatch::routing
