#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/http/http.h"

// Conversion between the operators' JSON (docs/API.md) and commands.
namespace posthatch::control {

// Parses the body of a POST to /admin/v1/`name`. InvalidArgument names the first bad field;
// NotFound if there is no such change.
absl::StatusOr<Command> ParseChange(std::string_view name, const std::string& body);

// Renders the response to a change: 200 if it was acknowledged, else the error of `result`.
http::Response RenderResult(const Command& command, const CommandResult& result);

// Renders a JSON error response; `retry` adds Retry-After.
http::Response RenderError(int status, std::string_view code, std::string_view message, bool retry);

}  // namespace posthatch::control
