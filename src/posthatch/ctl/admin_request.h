#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "posthatch/ctl/invocation.h"
#include "posthatch/http/http.h"

namespace posthatch::ctl {

// Whether the command changes the control state. Its request then carries a request id.
bool IsChange(CommandKind command);

// Makes the HTTP request of a command (docs/API.md). InvalidArgument if the file or the selector
// can't be read. `invocation.request_id` must be set for changes.
absl::StatusOr<http::Request> MakeRequest(const Invocation& invocation);

// Numbers of back ends in an inventory.
struct MatchCount {
  int matching = 0;  // matched by an evacuation's selector
  int all = 0;
};
// Counts the back ends that `selector` matches. `inventory_json` is the body of a response to
// GET /admin/v1/inventory. InvalidArgument if either can't be parsed.
absl::StatusOr<MatchCount> CountMatches(const std::string& selector,
                                        const std::string& inventory_json);

}  // namespace posthatch::ctl
