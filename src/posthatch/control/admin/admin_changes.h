#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/http/http.h"

// Between the operators' JSON (docs/API.md) and commands.
namespace posthatch::control {

// The command of a POST to /admin/v1/`name`. InvalidArgument says what can't be read, with the path
// of the field; NotFound if there is no such change.
absl::StatusOr<Command> ReadChange(std::string_view name, const std::string& body);

// The answer to a change: 200 acknowledged, or the refusal that `result` stands for.
http::Response RenderResult(const Command& command, const CommandResult& result);

// JSON answer of an error; `retry` adds Retry-After.
http::Response RenderError(int status, std::string_view code, std::string_view message, bool retry);

}  // namespace posthatch::control
