#include "posthatch/net/endpoint.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "posthatch/net/endpoint_check.h"
#include "posthatch/util/string_view.h"

namespace posthatch::net {

absl::StatusOr<TcpEndpoint> ParseEndpoint(std::string_view text) {
  const auto invalid = [text] {
    return absl::InvalidArgumentError(absl::StrCat("not an \"ip:port\": ", util::ToAbsl(text)));
  };
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return invalid();
  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);

  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error || address.is_v6() != bracketed) return invalid();
  uint32_t port = 0;
  if (!absl::SimpleAtoi(util::ToAbsl(text.substr(colon + 1)), &port) || port > 65535) {
    return invalid();
  }
  return TcpEndpoint(address, static_cast<uint16_t>(port));
}

bool IsConnectableEndpoint(const std::string& text) {
  const auto endpoint = ParseEndpoint(text);
  return endpoint.ok() && !endpoint->address().is_unspecified() &&
         !endpoint->address().is_multicast();
}

std::string FormatEndpoint(const TcpEndpoint& endpoint) {
  const std::string address = endpoint.address().to_string();
  if (endpoint.address().is_v6()) return absl::StrCat("[", address, "]:", endpoint.port());
  return absl::StrCat(address, ":", endpoint.port());
}

absl::Status SocketError(std::string_view operation, const boost::system::error_code& error) {
  const std::string text = absl::StrCat(util::ToAbsl(operation), ": ", error.message());
  if (error == boost::asio::error::operation_aborted) return absl::CancelledError(text);
  if (error == boost::asio::error::timed_out) return absl::DeadlineExceededError(text);
  if (error == boost::asio::error::no_descriptors) return absl::ResourceExhaustedError(text);
  if (error == boost::asio::error::access_denied || error == boost::asio::error::address_in_use) {
    return absl::FailedPreconditionError(text);
  }
  return absl::UnavailableError(text);
}

}  // namespace posthatch::net
