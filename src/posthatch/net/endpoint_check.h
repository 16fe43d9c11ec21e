#pragma once

#include <string>

namespace posthatch::net {

// Whether `text` is an "ip:port" or "[ipv6]:port" that a peer could connect to, except that the
// port may be 0: the address is neither unspecified (0.0.0.0, ::) nor multicast.
bool IsConnectableEndpoint(const std::string& text);

}  // namespace posthatch::net
