#pragma once

#include <string>

#include "posthatch/http/http.h"

namespace posthatch::gateway {

// What a refusal may say about the request: "no" only where it is proved that it has not run and
// will not run (docs/API.md, "Callers").
enum class Executed { kNo, kUnknown };

// A refusal of the callers' interface. The values of `code` and their statuses are those of the
// table in docs/API.md.
struct ApiError {
  int status = 500;
  std::string code;
  std::string message;
  Executed executed = Executed::kUnknown;
  int retry_after_seconds = 0;  // 0: no Retry-After field
};

// The error as a whole answer.
http::Response MakeErrorResponse(const ApiError& error);

// The error as a server-sent event that ends a broken stream.
std::string MakeErrorEvent(const ApiError& error);

}  // namespace posthatch::gateway
