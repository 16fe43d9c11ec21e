#pragma once

#include <string>

#include "posthatch/ctl/invocation.h"

namespace posthatch::ctl {

// A response's JSON body in the format that the operator asked for. As a table: first the single
// fields, one per line, then each list of objects as columns, then other lists line by line. Text
// that isn't JSON is unchanged.
std::string RenderOutput(const std::string& json, OutputFormat format);

}  // namespace posthatch::ctl
