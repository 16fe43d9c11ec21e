#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "posthatch/ctl/invocation.h"
#include "posthatch/http/http.h"

namespace posthatch::ctl {

// Whether the command changes something, and so carries a request id.
bool IsChange(CommandKind command);

// The HTTP request of a command (docs/API.md). InvalidArgument if the file or the selector can't be
// read. `invocation.request_id` must be set for changes.
absl::StatusOr<http::Request> MakeRequest(const Invocation& invocation);

// The number of back ends that an evacuation's selector matches, and of all back ends, by the body
// of GET /admin/v1/inventory.
struct MatchCount {
  int matching = 0;
  int all = 0;
};
absl::StatusOr<MatchCount> CountMatches(const std::string& selector,
                                        const std::string& inventory_json);

}  // namespace posthatch::ctl
