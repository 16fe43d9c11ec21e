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

// Sends and receives a controller's ControlMessages. Messages to the controller itself bypass the
// transport: the leader that its own client finds may be this process. Registers the receiver of
// SERVICE_CONTROL at the runtime's transport. Owned by ControllerService; event loop thread only.
class ControlMessenger {
 public:
  using Receiver = std::function<void(const ControlPeer& sender, const ControlMessage& message)>;

  ControlMessenger(runtime::Runtime* runtime, Receiver receiver);
  ~ControlMessenger();
  ControlMessenger(const ControlMessenger&) = delete;
  ControlMessenger& operator=(const ControlMessenger&) = delete;

  // Never calls the receiver synchronously.
  void Send(const std::string& endpoint, const ControlMessage& message);
  // Sends a serialized ControlMessage to another process.
  void SendSerialized(const std::string& endpoint, std::string message);

 private:
  runtime::Runtime* const runtime_;
  const Receiver receiver_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::control
