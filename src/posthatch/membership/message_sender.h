#pragma once

#include <string>

#include "posthatch/membership/membership.pb.h"
#include "posthatch/runtime/transport.h"

namespace posthatch::membership {

// Payload of one datagram: what the envelope (node id and endpoint of the sender, up to 130 bytes
// together) leaves of kMaxDatagramBytes.
inline constexpr size_t kMaxPayloadBytes = runtime::kMaxDatagramBytes - 160;

// How the parts of GossipMembership send; implemented by it.
class MessageSender {
 public:
  virtual ~MessageSender() = default;
  // Sends `message` as one datagram and adds updates to it as far as there is room.
  virtual void SendWithUpdates(const std::string& endpoint, MembershipMessage message) = 0;
  // Sends `message` as it is.
  virtual void SendPlain(const std::string& endpoint, const MembershipMessage& message) = 0;
};

}  // namespace posthatch::membership
