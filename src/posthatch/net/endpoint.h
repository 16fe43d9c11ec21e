#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/net/asio_types.h"

namespace posthatch::net {

// Reads "ip:port" or "[ipv6]:port"; host names are not resolved. Errors: InvalidArgument.
absl::StatusOr<TcpEndpoint> ParseEndpoint(std::string_view text);

// Formats `endpoint` as ParseEndpoint reads it.
std::string FormatEndpoint(const TcpEndpoint& endpoint);

// Maps an error of a socket operation: Unavailable, DeadlineExceeded, Cancelled, ResourceExhausted
// (no file descriptors left) or Internal; the message names `operation`.
absl::Status SocketError(std::string_view operation, const boost::system::error_code& error);

}  // namespace posthatch::net
