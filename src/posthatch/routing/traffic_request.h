#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/index/block_hash.h"
#include "posthatch/routing/sse_framer.h"
#include "posthatch/routing/traffic_context.h"

namespace posthatch::routing {

// A caller's call that was let in: its route, its tenant and the service that is to run it.
struct AdmittedCall {
  http::Request request;
  std::shared_ptr<http::ResponseWriter> writer;
  InboundCall call;
  control::TrafficRoute route;
  control::TrafficService service;
  std::string tenant;     // empty on public routes
  uint32_t priority = 0;  // 0 goes first
  runtime::MonotonicTime received_at;
};

// One call from its admission to its end: dispatches it, judges the answer, tries again where that
// is allowed, and relays. What holds on every way through it:
//   - a call that may not be repeated is sent a second time only if the first is proved not to have
//     run;
//   - "unavailable, come back later" is answered only if no dispatch may have run;
//   - an answer is passed on as complete only if it is this call's, and whole;
//   - when the caller leaves, the worker's call is cancelled.
// Owned by TrafficGateway; event loop thread only.
class TrafficRequest : public std::enable_shared_from_this<TrafficRequest> {
 public:
  TrafficRequest(TrafficContext* context, AdmittedCall admitted);

  void Start();
  // Ends it without an answer, as for a process that must go.
  void Cut();

 private:
  enum class Failure {
    kUnreachable,
    kNotExecuted,
    kMisdirected,
    kLost,
    kTruncated,
    kMismatched,
    kServerError
  };

  static const char* FailureLabel(Failure failure);
  bool IsIdempotent() const;
  // How old a kept connection may be for this call.
  double MaxIdleFraction() const;
  bool IsPrompt() const { return admitted_.service.has_engine() && !admitted_.call.model.empty(); }
  runtime::Duration TimeRemaining() const;

  void DispatchAttempt();
  void DescribePrompt();
  std::vector<index::PrefixHolder> LocatePrefix();
  bool RetryBudgetAllows();
  void Dispatch(Placement placement);
  DispatchFields MakeDispatchFields(const Placement& placement);
  void TraceDispatch(const DispatchFields& fields);
  void AnnouncePrefill();
  void TraceEnd(const char* outcome);
  http::CallOptions MakeCallOptions() const;
  http::CallObserver MakeCallObserver(uint64_t attempt);

  void OnHead(const http::Response& head);
  void OnBodyChunk(const std::string& chunk);
  void RelayEvents(const std::string& chunk);
  void OnFirstEvent();
  // The worker keeps the prompt now.
  void RecordCachedPrompt();
  void OnEnd();
  void OnStreamEnd();
  void OnResponseComplete();
  void OnCallError(const http::CallError& error);
  void OnAttemptFailed(Failure failure);
  bool MayRetry(Failure failure) const;
  void ReleaseWorker();
  void ReleasePendingTokens();

  void OnDeadline();
  void OnCallerDisconnected();
  void EndUnserved(LocalReplyReason reason, const char* outcome);
  void SendLocalReply(const LocalReply& reply, const char* outcome);
  void End(const char* outcome);

  TrafficContext* const context_;
  AdmittedCall admitted_;
  runtime::MonotonicTime deadline_;
  runtime::Timer deadline_timer_;
  bool ended_ = false;

  // The prompt.
  PromptShape shape_;
  // Its blocks as they are named under one model revision.
  struct HashedChain {
    index::BlockSeed seed;
    std::vector<index::BlockHash> blocks;
  };
  std::vector<HashedChain> chains_;  // one for each revision that workers serve

  // Over all attempts.
  uint64_t attempt_ = 0;  // number of the running one; callbacks of earlier ones are ignored
  uint32_t possible_executions_ = 0;  // dispatches that may have run
  uint32_t unexecuted_attempts_ = 0;  // dispatches that are proved not to have run
  std::vector<std::string> attempted_workers_;
  const char* last_failure_ = "";  // name of the newest failed attempt's failure
  bool stream_started_ = false;
  SseFramer events_;

  // The running attempt.
  std::unique_ptr<http::Call> call_;
  WorkerPointer worker_;
  Placement placement_;
  uint64_t revision_ = 0;
  bool prefill_pending_ = false;
  bool first_event_seen_ = false;
  bool streaming_ = false;
  runtime::MonotonicTime dispatched_at_;
  http::Response response_;
};

}  // namespace posthatch::routing
