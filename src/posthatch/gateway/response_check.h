#pragma once

#include <string_view>

#include "absl/status/status.h"
#include "posthatch/http/http.h"

namespace posthatch::gateway {

// Whether `body` is a worker's complete response to `request_id`: JSON with that request id, a run
// id, choices, and a matching checksum of the text if there is a checksum (docs/BACKENDS.md,
// "Worker"). DataLoss otherwise.
absl::Status CheckCompletionBody(std::string_view body, std::string_view request_id);

// Whether `body` is a service's complete response to `request_id` (docs/BACKENDS.md, "Application
// service"). DataLoss otherwise.
absl::Status CheckServiceBody(std::string_view body, std::string_view request_id,
                              std::string_view operation);

// Whether the back end states that it rejected the request before running it: status 400 or more
// with `"executed": "no"` in the error.
bool GuaranteesNotExecuted(const http::Response& response);

}  // namespace posthatch::gateway
