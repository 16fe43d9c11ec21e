#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::control {

// The process that sent a message.
struct ControlPeer {
  std::string endpoint;
  uint64_t incarnation = 0;
};

// Sends and receives a controller's ControlMessages; those to itself bypass the transport, since a
// controller's own client may find that the leader is this very process. Takes SERVICE_CONTROL of
// the runtime's transport. Owned by ControllerService; event loop thread only.
class ControlMessenger {
 public:
  using Receiver = std::function<void(const ControlPeer& sender, const ControlMessage& message)>;

  ControlMessenger(runtime::Runtime* runtime, Receiver receiver);
  ~ControlMessenger();
  ControlMessenger(const ControlMessenger&) = delete;
  ControlMessenger& operator=(const ControlMessenger&) = delete;

  // Never delivers within the call.
  void Send(const std::string& endpoint, const ControlMessage& message);

 private:
  runtime::Runtime* const runtime_;
  const Receiver receiver_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::control
