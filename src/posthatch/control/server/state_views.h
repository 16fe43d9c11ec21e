#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "posthatch/control/state/control_state.h"

namespace posthatch::control {

// HTTP status and JSON body of a GET under /admin/v1.
struct View {
  int http_status = 200;
  std::string json;
};

// Bodies of the GET requests under /admin/v1 that show the control state (docs/API.md). `name` is
// the path after /admin/v1/; `query` the part after '?'. 404 for an unknown name or version.
View RenderView(std::string_view name, std::string_view query, const ControlState& state);

// The value of `key` in a query string like "a=1&b=2"; empty if missing.
std::string QueryValue(std::string_view query, std::string_view key);

// The JSON body of every error response under /admin/v1.
std::string ErrorJson(std::string_view code, std::string_view message);

}  // namespace posthatch::control
