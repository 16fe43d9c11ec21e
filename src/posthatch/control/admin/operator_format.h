#pragma once

#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/http/http.h"

namespace posthatch::control {

// A parsed request of a platform's operator.
struct OperatorRequest {
  enum class Kind {
    kNone,               // not an operator's request
    kMalformed,          // `error` says why
    kChange,             // `command`, without a request id
    kReadConfiguration,  // the traffic configuration in force
  };
  Kind kind = Kind::kNone;
  Command command;
  std::string error;
};

// Parses the requests of a platform's operators and renders the responses. Stateless; thread-safe.
class OperatorFormat {
 public:
  virtual ~OperatorFormat() = default;
  virtual OperatorRequest ParseRequest(const http::Request& request) const = 0;
  virtual http::Response RenderMalformed(const std::string& error) const = 0;
  virtual http::Response RenderResult(const Command& command,
                                      const CommandResult& result) const = 0;
  virtual http::Response RenderConfiguration(const TrafficConfiguration& configuration) const = 0;
  // Response if the outcome is unknown: the request may be sent again, to any controller.
  virtual http::Response RenderUnavailable() const = 0;
};

}  // namespace posthatch::control
