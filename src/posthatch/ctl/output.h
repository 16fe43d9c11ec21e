#pragma once

#include <string>

#include "posthatch/ctl/invocation.h"

namespace posthatch::ctl {

// An answer's JSON body as the operator wants it. As a table: single fields first, one a line, then
// each list of objects as columns, then other lists line by line. What isn't JSON is left as it is.
std::string RenderOutput(const std::string& json, OutputFormat format);

}  // namespace posthatch::ctl
