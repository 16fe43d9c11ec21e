#pragma once

#include <string_view>

#include "absl/status/status.h"
#include "posthatch/http/http.h"

namespace posthatch::gateway {

// Whether `body` is a worker's whole answer to `request_id`: JSON with that id, a run, choices,
// and, where the answer has a checksum, one that fits the text (docs/BACKENDS.md, "Worker").
// DataLoss otherwise.
absl::Status CheckCompletionBody(std::string_view body, std::string_view request_id);

// Whether `body` is a service's whole answer to `request_id` (docs/BACKENDS.md, "Application
// service"). DataLoss otherwise.
absl::Status CheckServiceBody(std::string_view body, std::string_view request_id,
                              std::string_view operation);

// Whether the back end says that it refused before running: a status of 400 or more with
// `"executed": "no"` in its error.
bool GuaranteesNotExecuted(const http::Response& response);

}  // namespace posthatch::gateway
