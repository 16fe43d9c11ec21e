#include "posthatch/emulator/worker_emulator.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "posthatch/emulator/field_table.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/kv_transfer.h"
#include "posthatch/emulator/routed_server.h"
#include "posthatch/emulator/worker_run.h"
#include "posthatch/emulator/worker_state.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {

namespace json = boost::json;

using WriterPointer = std::shared_ptr<http::ResponseWriter>;

namespace {

const std::vector<Field<WorkerBehaviour>>& BehaviourFields() {
  using B = WorkerBehaviour;
  static const auto* const fields = new std::vector<Field<B>>{
      {"answers_late_ms", &B::answers_late_ms},
      {"answers_late_share", &B::answers_late_share},
      {"answers_twice_share", &B::answers_twice_share},
      {"answers_crossed_share", &B::answers_crossed_share},
      {"answers_crossed_body_share", &B::answers_crossed_body_share},
      {"cut_share", &B::cut_share},
      {"cut_at_piece", &B::cut_at_piece},
      {"cut_clean_share", &B::cut_clean_share},
      {"repeated_piece_share", &B::repeated_piece_share},
      {"skipped_piece_share", &B::skipped_piece_share},
      {"slow_factor", &B::slow_factor},
      {"events_late_ms", &B::events_late_ms},
      {"events_lost_share", &B::events_lost_share},
      {"events_silent_share", &B::events_silent_share},
      {"events_doubled_share", &B::events_doubled_share},
      {"events_reordered_share", &B::events_reordered_share},
      {"events_lost_mark_share", &B::events_lost_mark_share},
      {"ignore_salt", &B::ignore_salt},
      {"check_fencing_tokens", &B::check_fencing_tokens},
      {"keep_blocks_on_load", &B::keep_blocks_on_load},
      {"freeze_loading", &B::freeze_loading},
  };
  return *fields;
}

// Sends a rejection: states that nothing was executed and echoes the nonce of the attempt.
void SendRejection(const RunRequest& request, int status, std::string_view code,
                   std::string_view message, http::ResponseWriter* writer) {
  http::Response response = NotExecuted(status, code, message);
  response.headers.Add("X-Posthatch-Attempt", request.attempt);
  writer->SendResponse(std::move(response));
}

}  // namespace

class WorkerEmulator::Impl {
 public:
  Impl(runtime::Runtime* runtime, WorkerSettings settings, fleettest::HistoryRecorder* recorder)
      : state(runtime, std::move(settings), recorder),
        loading_timer_(runtime->timers),
        server_(runtime) {}

  absl::Status Start();
  void EmulateRestart();
  const std::string& endpoint() const { return server_.endpoint(); }

  WorkerState state;

 private:
  struct QueuedRequest {
    uint64_t number;
    RunRequest request;
    runtime::MonotonicTime arrived;
    WriterPointer writer;
  };
  struct LoadCommand {
    std::string lease_holder;
    uint64_t token = 0;
    std::string model;
    uint64_t revision = 0;
  };

  void HandleRequest(const RoutedRequest& routed, const std::string& operation,
                     const WriterPointer& writer);
  bool RejectIfUnable(const RunRequest& request, http::ResponseWriter* writer) const;
  void OnCallerDisconnected(uint64_t number);
  void StartQueuedRuns();
  void StartRun(QueuedRequest queued);
  void OnRunEnded(uint64_t number);

  void HandleLoadCommand(const RoutedRequest& routed, const WriterPointer& writer);
  bool AcceptsToken(const LoadCommand& command);
  void RecordCommand(const LoadCommand& command, bool accepted);
  void BeginLoading(uint64_t revision);
  void ServeRevision(uint64_t revision);
  void DropBlocks();

  void HandleFetch(const RoutedRequest& routed, const WriterPointer& writer);
  void HandleStatus(const WriterPointer& writer) const;
  void HandleSetBehaviour(const RoutedRequest& routed, const WriterPointer& writer);

  bool loading_ = false;
  uint64_t loading_revision_ = 0;
  runtime::Timer loading_timer_;
  uint64_t newest_token_ = 0;
  std::string newest_token_lease_holder_;
  uint64_t start_epoch_ = 0;
  uint64_t next_number_ = 1;
  std::deque<QueuedRequest> queue_;
  absl::btree_map<uint64_t, std::unique_ptr<WorkerRun>> runs_;
  // Declared last, so that it is destroyed first: its handlers use the other members.
  RoutedServer server_;
};

absl::Status WorkerEmulator::Impl::Start() {
  server_.Route("POST", "/v1/completions",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  HandleRequest(routed, "completions", writer);
                });
  server_.Route("POST", "/v1/chat/completions",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  HandleRequest(routed, "chat", writer);
                });
  server_.Route("GET", "/kv_events",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  state.events.Poll(routed, writer);
                });
  server_.Route("POST", "/kv/fetch",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  HandleFetch(routed, writer);
                });
  server_.Route("POST", "/admin/load_weights",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  HandleLoadCommand(routed, writer);
                });
  server_.Route("GET", "/status", [this](const RoutedRequest&, const WriterPointer& writer) {
    HandleStatus(writer);
  });
  server_.Route("PUT", "/debug/behaviour",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  HandleSetBehaviour(routed, writer);
                });
  EmulateRestart();
  start_epoch_ = state.epoch;
  if (absl::Status listening = server_.Listen(state.settings.listen); !listening.ok()) {
    return listening;
  }
  ServeRevision(state.settings.initial_revision);
  return absl::OkStatus();
}

void WorkerEmulator::Impl::EmulateRestart() {
  DropBlocks();
  state.started_at = state.runtime->clock->Now();
}

void WorkerEmulator::Impl::DropBlocks() {
  state.cache.Clear();
  // Also increases across process restarts, since the monotonic clock continues.
  const auto now_us =
      static_cast<uint64_t>(runtime::ToNanoseconds(state.runtime->clock->Now()) / 1000);
  state.epoch = std::max(state.epoch + 1, now_us);
  state.events.StartEpoch(state.epoch);
}

// ---------------------------------------------------------------- runs

void WorkerEmulator::Impl::HandleRequest(const RoutedRequest& routed, const std::string& operation,
                                         const WriterPointer& writer) {
  absl::StatusOr<RunRequest> request = ReadRunRequest(routed.request, operation, state.settings);
  if (!request.ok()) {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(request.status().message())));
    return;
  }
  if (RejectIfUnable(*request, writer.get())) return;
  if (queue_.size() >= state.settings.max_waiting && state.running >= state.settings.max_running) {
    SendRejection(*request, 429, "overloaded", "queue is full", writer.get());
    return;
  }
  const uint64_t number = next_number_++;
  writer->OnCallerDisconnected([this, number] { OnCallerDisconnected(number); });
  queue_.push_back({number, *std::move(request), state.runtime->clock->Now(), writer});
  StartQueuedRuns();
}

bool WorkerEmulator::Impl::RejectIfUnable(const RunRequest& request,
                                          http::ResponseWriter* writer) const {
  if (loading_) {
    SendRejection(request, 503, "loading", "weights are being loaded", writer);
    return true;
  }
  if (request.model != state.settings.model) {
    SendRejection(request, 404, "not_found", "this worker serves another model", writer);
    return true;
  }
  if (request.expected_revision.value_or(state.model_revision) != state.model_revision) {
    SendRejection(request, 409, "wrong_revision",
                  absl::StrCat("serves revision ", state.model_revision), writer);
    return true;
  }
  return false;
}

void WorkerEmulator::Impl::OnCallerDisconnected(uint64_t number) {
  const auto run = runs_.find(number);
  if (run != runs_.end()) {
    run->second->Cancel("caller_gone", /*abort=*/false);
    return;
  }
  const auto queued =
      std::find_if(queue_.begin(), queue_.end(),
                   [number](const QueuedRequest& entry) { return entry.number == number; });
  if (queued != queue_.end()) queue_.erase(queued);
}

void WorkerEmulator::Impl::StartQueuedRuns() {
  while (!queue_.empty() && state.running < state.settings.max_running) {
    QueuedRequest next = std::move(queue_.front());
    queue_.pop_front();
    if (!RejectIfUnable(next.request, next.writer.get())) StartRun(std::move(next));
  }
}

void WorkerEmulator::Impl::StartRun(QueuedRequest queued) {
  const uint64_t number = queued.number;
  const std::string run_id = absl::StrCat(state.settings.id, "-", start_epoch_, "-", number);
  auto run =
      std::make_unique<WorkerRun>(&state, run_id, std::move(queued.request), queued.arrived,
                                  std::move(queued.writer), [this, number] { OnRunEnded(number); });
  WorkerRun* started = run.get();
  runs_[number] = std::move(run);
  started->Start();
}

void WorkerEmulator::Impl::OnRunEnded(uint64_t number) {
  const auto entry = runs_.find(number);
  if (entry == runs_.end()) return;
  ReleaseLater(state.runtime, std::move(entry->second));
  runs_.erase(entry);
  if (!loading_) StartQueuedRuns();
}

// ---------------------------------------------------------------- load commands

void WorkerEmulator::Impl::HandleLoadCommand(const RoutedRequest& routed,
                                             const WriterPointer& writer) {
  const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  LoadCommand command;
  command.lease_holder = std::string(routed.request.headers.Get("X-Posthatch-Gateway"));
  const bool has_token = absl::SimpleAtoi(
      util::ToAbsl(routed.request.headers.Get("X-Posthatch-Fencing-Token")), &command.token);
  if (!body.ok() || !has_token || TextField(*body, "model") != state.settings.model) {
    writer->SendResponse(
        NotExecuted(400, "bad_request", "needs model, revision and fencing token"));
    return;
  }
  command.model = state.settings.model;
  command.revision = NumberField(*body, "revision");
  const bool accepted = AcceptsToken(command);
  RecordCommand(command, accepted);
  if (!accepted) {
    writer->SendResponse(
        NotExecuted(409, "stale_token", absl::StrCat("newest token seen is ", newest_token_)));
    return;
  }
  const json::object response_body = {{"revision", command.revision}};
  if (!loading_ && command.revision == state.model_revision) {
    writer->SendResponse(JsonResponse(200, response_body));
    return;
  }
  if (!loading_ || command.revision != loading_revision_) BeginLoading(command.revision);
  writer->SendResponse(JsonResponse(202, response_body));
}

// A fencing token belongs to one lease holder: an older token, or the newest one from another
// holder, is stale.
bool WorkerEmulator::Impl::AcceptsToken(const LoadCommand& command) {
  const bool stale =
      command.token < newest_token_ ||
      (command.token == newest_token_ && command.lease_holder != newest_token_lease_holder_);
  if (stale && state.behaviour.check_fencing_tokens) return false;
  if (!stale) {
    newest_token_ = command.token;
    newest_token_lease_holder_ = command.lease_holder;
  }
  return true;
}

void WorkerEmulator::Impl::RecordCommand(const LoadCommand& command, bool accepted) {
  fleettest::HistoryEvent event;
  fleettest::OrderSeen* seen = event.mutable_order_seen();
  seen->set_worker(state.settings.id);
  seen->set_holder(command.lease_holder);
  seen->set_fencing_token(command.token);
  seen->set_model(command.model);
  seen->set_revision(command.revision);
  seen->set_obeyed(accepted);
  state.recorder->Record(std::move(event));
}

void WorkerEmulator::Impl::BeginLoading(uint64_t revision) {
  loading_ = true;
  loading_revision_ = revision;
  for (QueuedRequest& queued : std::exchange(queue_, {}))
    RejectIfUnable(queued.request, queued.writer.get());
  std::vector<WorkerRun*> running;
  for (const auto& [number, run] : runs_) running.push_back(run.get());
  for (WorkerRun* run : running) run->Cancel("loading", /*abort=*/true);
  if (!state.behaviour.keep_blocks_on_load) DropBlocks();
  if (state.behaviour.freeze_loading) {
    loading_timer_.Cancel();
    return;
  }
  loading_timer_.Start(state.Slowed(state.settings.timing.weight_loading), [this, revision] {
    loading_ = false;
    state.started_at = state.runtime->clock->Now();
    ServeRevision(revision);
  });
}

void WorkerEmulator::Impl::ServeRevision(uint64_t revision) {
  state.model_revision = revision;
  fleettest::HistoryEvent event;
  event.mutable_revision_served()->set_worker(state.settings.id);
  event.mutable_revision_served()->set_model(state.settings.model);
  event.mutable_revision_served()->set_revision(revision);
  state.recorder->Record(std::move(event));
}

// ---------------------------------------------------------------- fetches, status, faults

void WorkerEmulator::Impl::HandleFetch(const RoutedRequest& routed, const WriterPointer& writer) {
  const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  if (!body.ok()) {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(body.status().message())));
    return;
  }
  const std::vector<BlockMaker> makers = state.cache.Lookup(ReadBlocks(*body));
  const runtime::Duration transfer =
      TransferTime(makers.size(), state.settings.timing.kv_bytes_per_block,
                   state.settings.timing.link_bytes_per_second);
  state.runtime->timers->Schedule(
      state.Slowed(transfer),
      [writer, response = FetchResponse(state.settings.id, state.epoch, makers)] {
        writer->SendResponse(JsonResponse(200, response));
      });
}

void WorkerEmulator::Impl::HandleStatus(const WriterPointer& writer) const {
  const runtime::Duration up = state.runtime->clock->Now() - state.started_at;
  writer->SendResponse(JsonResponse(
      200, json::object{{"id", state.settings.id},
                        {"epoch", state.epoch},
                        {"model", state.settings.model},
                        {"revision", state.model_revision},
                        {"loading", loading_},
                        {"running", state.running},
                        {"waiting", queue_.size()},
                        {"up_ms", static_cast<int64_t>(runtime::ToMilliseconds(up))}}));
}

void WorkerEmulator::Impl::HandleSetBehaviour(const RoutedRequest& routed,
                                              const WriterPointer& writer) {
  absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  absl::Status applied = body.status();
  bool restart = false;
  if (body.ok()) {
    restart = FlagField(*body, "cold");
    body->erase("cold");
    applied = ApplyFields(*body, BehaviourFields(), &state.behaviour);
  }
  if (!applied.ok()) {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(applied.message())));
    return;
  }
  if (restart) EmulateRestart();
  writer->SendResponse(JsonResponse(200, json::object{{"epoch", state.epoch}}));
}

// ---------------------------------------------------------------- public interface

WorkerEmulator::WorkerEmulator(runtime::Runtime* runtime, WorkerSettings settings,
                               fleettest::HistoryRecorder* recorder)
    : impl_(std::make_unique<Impl>(runtime, std::move(settings), recorder)) {}

WorkerEmulator::~WorkerEmulator() = default;

absl::Status WorkerEmulator::Start() { return impl_->Start(); }
const std::string& WorkerEmulator::endpoint() const { return impl_->endpoint(); }
void WorkerEmulator::SetBehaviour(const WorkerBehaviour& behaviour) {
  impl_->state.behaviour = behaviour;
}
const WorkerBehaviour& WorkerEmulator::behaviour() const { return impl_->state.behaviour; }
void WorkerEmulator::EmulateRestart() { impl_->EmulateRestart(); }
uint64_t WorkerEmulator::epoch() const { return impl_->state.epoch; }
uint64_t WorkerEmulator::model_revision() const { return impl_->state.model_revision; }
uint64_t WorkerEmulator::cached_blocks() const { return impl_->state.cache.size(); }

}  // namespace posthatch::emulator
