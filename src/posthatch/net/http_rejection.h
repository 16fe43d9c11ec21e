#pragma once

#include <string>
#include <string_view>

#include "posthatch/http/http.h"

namespace posthatch::net {

// Why the server rejects a request without passing it to the handler.
struct HttpRejection {
  int status = 400;
  std::string_view code;  // of docs/API.md
  std::string message;
  // Whether the request has provably not been executed and will not be.
  bool proven_not_executed = false;
};

// The response to the request, with the error body of docs/API.md.
http::Response MakeRejectionResponse(const HttpRejection& rejection);

}  // namespace posthatch::net
