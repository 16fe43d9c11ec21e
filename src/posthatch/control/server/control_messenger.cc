#include "posthatch/control/server/control_messenger.h"

#include <utility>

#include "posthatch/control/state/fingerprint.h"

namespace posthatch::control {

ControlMessenger::ControlMessenger(runtime::Runtime* runtime, Receiver receiver)
    : runtime_(runtime), receiver_(std::move(receiver)) {
  runtime_->transport->SetReceiver(
      runtime::SERVICE_CONTROL, [this](const runtime::Envelope& envelope) {
        ControlMessage message;
        if (!message.ParseFromString(envelope.payload())) return;
        receiver_({envelope.from_endpoint(), envelope.from_incarnation()}, message);
      });
}

ControlMessenger::~ControlMessenger() {
  runtime_->transport->SetReceiver(runtime::SERVICE_CONTROL, [](const runtime::Envelope&) {});
}

void ControlMessenger::Send(const std::string& endpoint, const ControlMessage& message) {
  if (endpoint != runtime_->transport->endpoint()) {
    SendSerialized(endpoint, SerializeDeterministically(message));
    return;
  }
  runtime_->timers->Schedule(runtime::Duration::zero(), lifetime_.Guard([this, message] {
    receiver_({runtime_->transport->endpoint(), runtime_->transport->incarnation()}, message);
  }));
}

void ControlMessenger::SendSerialized(const std::string& endpoint, std::string message) {
  runtime_->transport->Send(endpoint, runtime::SERVICE_CONTROL, std::move(message),
                            runtime::Delivery::kStream);
}

}  // namespace posthatch::control
