#pragma once

#include <string>
#include <string_view>

#include "posthatch/http/http.h"

namespace posthatch::gateway {

// Whether the request was executed, as reported in an error: "no" only if it is proven that the
// request has not run and will not run (docs/API.md, "Callers").
enum class Executed { kNo, kUnknown };

// Why a request was rejected or failed (docs/API.md, "Callers").
enum class ErrorCode {
  kBadRequest,
  kUnauthorized,
  kNotFound,
  kInProgress,         // an attempt with this idempotency key is in progress
  kKeyReused,          // the idempotency key was used for another request
  kKeyExpired,         // the idempotency key's record is closed
  kTooManyRequests,    // the tenant's concurrency limit
  kRateLimited,        // the tenant's rate limit
  kBackendFailed,      // a back end was called but sent no complete response
  kDraining,           // the gateway is stopping
  kNoCapacity,         // no back end may take the request
  kNoLease,            // no valid session lease, or no inventory that is recent enough
  kOverloaded,         // load shedding
  kRecordUnavailable,  // the delivery record could not be written or read
  kTimeout,
};

// The code as callers and metrics see it, such as "no_lease".
std::string_view ErrorCodeName(ErrorCode code);
// The HTTP status of the error.
int HttpStatusOf(ErrorCode code);

// An error response of the callers' interface.
struct ApiError {
  ErrorCode code = ErrorCode::kBackendFailed;
  std::string message;
  Executed executed = Executed::kUnknown;
  int retry_after_seconds = 0;  // 0: no Retry-After field
};

// The error as a complete response.
http::Response MakeErrorResponse(const ApiError& error);

// The error as the server-sent event that ends an incomplete stream.
std::string MakeErrorEvent(const ApiError& error);

}  // namespace posthatch::gateway
