#pragma once

#include "posthatch/server/process_factory.h"

namespace posthatch::server {

// Exit codes of posthatchd.
inline constexpr int kExitOk = 0;           // after a drain; --check-config found no error
inline constexpr int kExitStartFailed = 1;  // address or data folder in use, unreadable data
inline constexpr int kExitBadSettings = 2;  // settings or flags; nothing was started

// The program: `posthatchd gateway|controller --config FILE [flags]`, `posthatchd settings-table`.
// Returns the exit code.
int RunCommandLine(int argc, const char* const* argv, ProcessFactory* factory);

}  // namespace posthatch::server
