#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/net/asio_runtime.h"
#include "posthatch/server/process.h"
#include "posthatch/server/settings/node_settings.h"
#include "posthatch/server/settings/settings_watch.h"

namespace posthatch::server {

// Builds a process after its HTTP endpoint is bound.
using MakeProcess = std::function<std::unique_ptr<Process>(const std::string& http_endpoint)>;

// Builds and starts a process, serves its HTTP endpoint and runs the event loop until a SIGTERM or
// SIGINT has been followed by a drain:
//   1. /readyz responds 503 and each response closes its connection; after `drain_notice`, but
//      no more than a third of `drain_deadline`, the listener and idle connections are closed;
//   2. Process::Drain;
//   3. once that is done and every response has ended, or at `drain_deadline`, the event loop ends.
// Destroys the process before it returns. Returns OK after a drain, also one that was cut short;
// errors are those of Process::Start and of listening.
absl::Status RunProcess(net::AsioRuntime* asio_runtime, const NodeSettings& node,
                        const http::ServerLimits& limits, const SettingsFile& settings_file,
                        const MakeProcess& make_process);

}  // namespace posthatch::server
