#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/gateway/gateway_context.h"
#include "posthatch/gateway/request_registry.h"
#include "posthatch/gateway/upstream_attempt.h"

namespace posthatch::gateway {

// A request for a non-idempotent operation (DESIGN.md, "Non-repeatable operations"):
//   1. A record is begun in the log; only the attempt that gets BEGUN continues.
//   2. Within kDispatchDeadline of the begin and under a valid lease the operation is dispatched
//      on a new connection, and again only if no byte of it was sent. Otherwise the record is
//      closed as not executed.
//   3. The outcome is committed before the response is sent to the caller.
// Continues after the caller disconnects, so that a repeated request gets the stored outcome. Event
// loop thread only.
class DeliveryRequest : public ActiveRequest, private AttemptListener {
 public:
  // Maximum time from proposing the record to the dispatch.
  static constexpr runtime::Duration kDispatchDeadline = std::chrono::seconds(2);
  // Maximum size of a stored response; the outcome of a longer one is recorded as unknown.
  static constexpr size_t kMaxStoredBodyBytes = size_t{64} * 1024;

  DeliveryRequest(GatewayContext* context, CallerRequest call, std::string service,
                  std::string operation);
  void Begin() override;

 private:
  void OnStreamHead(const http::Response& head) override;
  void OnStreamChunk(std::string chunk) override;
  void OnStreamEnd() override;
  void OnResponseComplete(http::Response response) override;
  void OnAttemptFailed(AttemptFailure failure) override;

  void OnBegun(const absl::StatusOr<control::CommandResult>& result);
  void RespondFromRecord(const control::DeliveryStatus& delivery);
  void Replay(const control::DeliveryOutcome& outcome);
  // Repeats all checks and dispatches the operation; closes the record if a check fails.
  void Dispatch();
  std::optional<ApiError> DispatchError() const;
  void SendTo(BackendPointer backend);
  // Commits the outcome, then sends `response`; if the commit fails, sends an error with executed
  // "unknown". `metric_label` is "ok" or an error code.
  void Commit(control::DeliveryOutcome outcome, http::Response response,
              const std::string& metric_label);
  void CloseNotExecuted(const ApiError& error);
  void CloseUnknown(const ApiError& error);
  void OnCommitted(const absl::StatusOr<control::CommandResult>& result, http::Response response,
                   const std::string& metric_label);
  void Reject(const ApiError& error);
  void End();

  GatewayContext* const context_;
  CallerRequest call_;
  const std::string service_;
  const std::string operation_;
  DeliveryKey key_;
  runtime::MonotonicTime begin_sent_;
  std::shared_ptr<UpstreamAttempt> attempt_;
  std::vector<std::string> attempted_backends_;
  runtime::Timer deadline_timer_;
};

}  // namespace posthatch::gateway
