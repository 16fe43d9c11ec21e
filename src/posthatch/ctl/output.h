#pragma once

#include <string>

#include "posthatch/ctl/invocation.h"

namespace posthatch::ctl {

// Renders the JSON body of a response in the requested format. As a table: first the single
// fields, one per line, then each list of objects as columns, then other lists line by line. Text
// that isn't JSON is unchanged.
std::string RenderOutput(const std::string& json, OutputFormat format);

}  // namespace posthatch::ctl
