#pragma once

#include <string>

namespace posthatch::control {

// Identifies another live gateway of the same zone.
struct ZonePeer {
  std::string node_id;
  std::string endpoint;  // internal, "ip:port"
};

}  // namespace posthatch::control
