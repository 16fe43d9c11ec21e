#include "posthatch/gateway/api_error.h"

#include <boost/json.hpp>

#include "posthatch/gateway/header_names.h"

namespace posthatch::gateway {
namespace {

std::string ErrorBody(const ApiError& error) {
  boost::json::object fields;
  fields["code"] = error.code;
  fields["message"] = error.message;
  fields["executed"] = error.executed == Executed::kNo ? "no" : "unknown";
  boost::json::object body;
  body["error"] = std::move(fields);
  return boost::json::serialize(body);
}

}  // namespace

http::Response MakeErrorResponse(const ApiError& error) {
  http::Response response;
  response.status = error.status;
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
