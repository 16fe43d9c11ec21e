#include "posthatch/gateway/api_error.h"

#include <boost/json.hpp>

#include "posthatch/gateway/header_names.h"

namespace posthatch::gateway {
namespace {

struct ErrorCodeEntry {
  std::string_view name;
  int http_status;
};

ErrorCodeEntry EntryOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBadRequest:
      return {"bad_request", 400};
    case ErrorCode::kUnauthorized:
      return {"unauthorized", 401};
    case ErrorCode::kNotFound:
      return {"not_found", 404};
    case ErrorCode::kInProgress:
      return {"in_progress", 409};
    case ErrorCode::kKeyReused:
      return {"key_reused", 409};
    case ErrorCode::kKeyExpired:
      return {"key_expired", 410};
    case ErrorCode::kTooManyRequests:
      return {"too_many_requests", 429};
    case ErrorCode::kRateLimited:
      return {"rate_limited", 429};
    case ErrorCode::kBackendFailed:
      return {"backend_failed", 502};
    case ErrorCode::kDraining:
      return {"draining", 503};
    case ErrorCode::kNoCapacity:
      return {"no_capacity", 503};
    case ErrorCode::kNoLease:
      return {"no_lease", 503};
    case ErrorCode::kOverloaded:
      return {"overloaded", 503};
    case ErrorCode::kRecordUnavailable:
      return {"record_unavailable", 503};
    case ErrorCode::kTimeout:
      return {"timeout", 504};
  }
  return {"internal", 500};
}

std::string ErrorBody(const ApiError& error) {
  boost::json::object fields;
  fields["code"] = ErrorCodeName(error.code);
  fields["message"] = error.message;
  fields["executed"] = error.executed == Executed::kNo ? "no" : "unknown";
  boost::json::object body;
  body["error"] = std::move(fields);
  return boost::json::serialize(body);
}

}  // namespace

std::string_view ErrorCodeName(ErrorCode code) { return EntryOf(code).name; }

int HttpStatusOf(ErrorCode code) { return EntryOf(code).http_status; }

http::Response MakeErrorResponse(const ApiError& error) {
  http::Response response;
  response.status = HttpStatusOf(error.code);
  response.headers.Add(header::kContentType, "application/json");
  if (error.retry_after_seconds > 0) {
    response.headers.Add("Retry-After", std::to_string(error.retry_after_seconds));
  }
  response.body = ErrorBody(error);
  return response;
}

std::string MakeErrorEvent(const ApiError& error) {
  return "event: error\ndata: " + ErrorBody(error) + "\n\n";
}

}  // namespace posthatch::gateway
