#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/index/block_hash.h"
#include "posthatch/traffic/event_splitter.h"
#include "posthatch/traffic/traffic_context.h"

namespace posthatch::traffic {

// A caller's call that was let in: its route, its tenant and the service that is to run it.
struct AdmittedCall {
  http::Request request;
  std::shared_ptr<http::ResponseWriter> writer;
  InboundCall call;
  control::TrafficRoute route;
  control::TrafficService service;
  std::string tenant;     // empty on public routes
  uint32_t priority = 0;  // 0 goes first
  runtime::MonotonicTime received;
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
  enum class Failure { kUnreachable, kNotExecuted, kMisdirected, kLost, kBroken, kForeign, kError };

  static const char* NameOf(Failure failure);
  bool Repeatable() const;
  // How old a kept connection may be for this call.
  double KeptConnectionShare() const;
  bool IsPrompt() const { return admitted_.service.has_engine() && !admitted_.call.model.empty(); }
  runtime::Duration Left() const;

  void TryDispatch();
  void DescribePrompt();
  std::vector<index::PrefixHolder> LocatePrefix();
  bool BudgetAllows();
  void Dispatch(Placement placement);
  DispatchFields FieldsFor(const Placement& placement);
  void TraceDispatch(const DispatchFields& fields);
  void AnnounceStart();
  void TraceEnd(const char* outcome);
  http::CallOptions OptionsFor() const;
  http::CallObserver ObserverFor(uint64_t attempt);

  void OnHead(const http::Response& head);
  void OnPiece(const std::string& piece);
  void RelayEvents(const std::string& piece);
  void OnFirstEvent();
  // The worker keeps the prompt now.
  void RecordKept();
  void OnEnd();
  void OnStreamEnd();
  void OnWholeAnswer();
  void OnCallError(const http::CallError& error);
  void OnAttemptFailed(Failure failure);
  bool MayTryAgain(Failure failure) const;
  void ReleaseWorker();
  void PromptDone();

  void OnDeadline();
  void OnCallerGone();
  void GiveUp(RefusalReason reason, const char* outcome);
  void Refuse(const Refusal& refusal, const char* outcome);
  void End(const char* outcome);

  TrafficContext* const context_;
  AdmittedCall admitted_;
  runtime::MonotonicTime deadline_;
  runtime::Timer deadline_timer_;
  bool ended_ = false;

  // The prompt.
  PromptShape shape_;
  // Its blocks as they are named under one model revision.
  struct NamedChain {
    index::BlockSeed seed;
    std::vector<index::BlockHash> blocks;
  };
  std::vector<NamedChain> chains_;  // one for each revision that workers serve

  // Over all attempts.
  uint64_t attempt_ = 0;      // number of the running one; callbacks of earlier ones are ignored
  uint32_t runs_ = 0;         // dispatches that may have run
  uint32_t other_tries_ = 0;  // dispatches that are proved not to have run
  std::vector<std::string> tried_;
  const char* last_failure_ = "";  // name of the newest failed attempt's failure
  bool stream_started_ = false;
  EventSplitter events_;

  // The running attempt.
  std::unique_ptr<http::Call> call_;
  WorkerPointer worker_;
  Placement placement_;
  uint64_t revision_ = 0;
  bool prompt_pending_ = false;
  bool first_event_seen_ = false;
  bool streaming_ = false;
  runtime::MonotonicTime dispatched_at_;
  http::Response answer_;
};

}  // namespace posthatch::traffic
