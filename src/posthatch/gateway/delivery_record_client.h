#pragma once

#include <functional>
#include <string>

#include "posthatch/control/client/control_client.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::gateway {

// Identifies an attempt at a non-idempotent operation.
struct DeliveryKey {
  std::string tenant;
  std::string idempotency_key;
  std::string request_hash;  // hash of service, operation and body
  std::string attempt;       // nonce, unique among all attempts with the key
};

// Writes the delivery records in the replicated log (DESIGN.md, "Non-repeatable operations"). Event
// loop thread only.
class DeliveryRecordClient {
 public:
  // Gets the result of the command. After an error the command may still be applied.
  using Done = std::function<void(absl::StatusOr<control::CommandResult>)>;

  DeliveryRecordClient(control::ControlClient* client, std::string gateway_id)
      : client_(client), gateway_id_(std::move(gateway_id)) {}

  void Begin(const DeliveryKey& key, Done done);
  void Finish(const DeliveryKey& key, control::DeliveryOutcome outcome, Done done);
  // Called if the result of Begin is unknown: finds out in the background whether it was applied,
  // and if so closes the record as not executed. The attempt must not be dispatched any more.
  void Abandon(const DeliveryKey& key);

 private:
  control::Command BeginCommand(const DeliveryKey& key) const;

  control::ControlClient* const client_;
  const std::string gateway_id_;
  util::Lifetime lifetime_;  // drops the results of pending proposals on destruction
};

}  // namespace posthatch::gateway
