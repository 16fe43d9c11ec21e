#pragma once

#include <string>

#include "absl/functional/function_ref.h"
#include "posthatch/routing/load.h"
#include "posthatch/routing/routing.pb.h"

namespace posthatch::routing {

// The loads of one source (this gateway, or a zone) as they were last reported, and the changes
// since. Not thread-safe.
class ReportedLoads {
 public:
  // Whether `current` differs enough from the last reported load to be reported.
  using Differs = absl::FunctionRef<bool(const Load& current, const Load& reported)>;

  // The last reported load at the worker; zero if none was reported.
  Load Find(const std::string& worker_id) const;
  // Adds an entry to `report` for each load of `current` that differs from the last reported one,
  // or with `full` for each that isn't zero; and a zero entry for each worker that is no longer in
  // `current`. These loads count as reported from now on.
  void AddChanges(const LoadMap& current, bool full, Differs differs, LoadReport* report);

 private:
  LoadMap reported_;
};

}  // namespace posthatch::routing
