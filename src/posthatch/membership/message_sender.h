#pragma once

#include <string>

#include "posthatch/membership/membership.pb.h"
#include "posthatch/runtime/transport.h"

namespace posthatch::membership {

// Maximum payload of one datagram: kMaxDatagramBytes less the envelope (node id and endpoint of the
// sender, up to 130 bytes together).
inline constexpr size_t kMaxPayloadBytes = runtime::kMaxDatagramBytes - 160;

// Interface through which the components of GossipMembership send messages. Event loop thread only.
class MessageSender {
 public:
  virtual ~MessageSender() = default;
  // Sends `message` as one datagram and piggybacks as many queued updates as fit.
  virtual void SendWithUpdates(const std::string& endpoint, MembershipMessage message) = 0;
  // Sends `message` without further updates.
  virtual void SendPlain(const std::string& endpoint, const MembershipMessage& message) = 0;
};

}  // namespace posthatch::membership
