#pragma once

#include <string>
#include <string_view>

#include "posthatch/http/http.h"

namespace posthatch::net {

// Why the server rejects a request without passing it to the handler.
struct HttpRejection {
  int status = 400;
  std::string_view code;  // an error code of docs/API.md
  std::string message;
  // Whether it is certain that the request has not been and will not be executed.
  bool proven_not_executed = false;
};

// The response to the request, with the error body of docs/API.md.
http::Response MakeRejectionResponse(const HttpRejection& rejection);

}  // namespace posthatch::net
