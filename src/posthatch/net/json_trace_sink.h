#pragma once

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/runtime/trace.h"

namespace posthatch::net {

// Trace events as JSON lines on stderr or in a file, written by spdlog's own thread so that the
// event loop never waits for the disk or a pipe. When 8192 lines are queued, the oldest are
// dropped. Event may be called on any thread.
class JsonTraceSink : public runtime::TraceSink {
 public:
  // An empty `log_file` means stderr. Errors: Internal (file can't be opened).
  static absl::StatusOr<std::unique_ptr<JsonTraceSink>> Open(const std::string& log_file,
                                                             const std::string& node_id,
                                                             runtime::Severity level);

  // Events below `level` are not written. Any thread.
  virtual void SetLevel(runtime::Severity level) = 0;
  virtual runtime::Severity level() const = 0;
};

// "debug", "info", "warning" or "error".
std::string_view SeverityName(runtime::Severity severity);
// Errors: InvalidArgument.
absl::StatusOr<runtime::Severity> ParseSeverity(std::string_view name);

}  // namespace posthatch::net
