#include "posthatch/emulator/worker_standin.h"

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

// A rejection says that nothing ran; like every response it carries the attempt's nonce.
void SendRefusal(const RunRequest& request, int status, std::string_view code,
                 std::string_view message, http::ResponseWriter* writer) {
  http::Response response = NotExecuted(status, code, message);
  response.headers.Add("X-Posthatch-Attempt", request.attempt);
  writer->SendResponse(std::move(response));
}

}  // namespace

class WorkerStandIn::Impl {
 public:
  Impl(runtime::Runtime* runtime, WorkerSettings settings, fleettest::HistoryRecorder* recorder)
      : state(runtime, std::move(settings), recorder),
        loading_timer_(runtime->timers),
        server_(runtime) {}

  absl::Status Start();
  void GoCold();
  const std::string& endpoint() const { return server_.endpoint(); }

  WorkerState state;

 private:
  struct Waiting {
    uint64_t number;
    RunRequest request;
    runtime::MonotonicTime arrived;
    WriterPointer writer;
  };
  struct Order {
    std::string holder;
    uint64_t token = 0;
    std::string model;
    uint64_t revision = 0;
  };

  void TakeRequest(const RoutedRequest& routed, const std::string& operation,
                   const WriterPointer& writer);
  bool Refuse(const RunRequest& request, http::ResponseWriter* writer) const;
  void CallerGone(uint64_t number);
  void StartWaiting();
  void StartRun(Waiting waiting);
  void RunIsOver(uint64_t number);

  void TakeOrder(const RoutedRequest& routed, const WriterPointer& writer);
  bool MayOrder(const Order& order);
  void RecordOrder(const Order& order, bool obeyed);
  void BeginLoading(uint64_t revision);
  void ServeRevision(uint64_t revision);
  void DropBlocks();

  void AnswerFetch(const RoutedRequest& routed, const WriterPointer& writer);
  void AnswerStatus(const WriterPointer& writer) const;
  void ChangeBehaviour(const RoutedRequest& routed, const WriterPointer& writer);

  bool loading_ = false;
  uint64_t loading_revision_ = 0;
  runtime::Timer loading_timer_;
  uint64_t newest_token_ = 0;
  std::string newest_holder_;
  uint64_t start_epoch_ = 0;
  uint64_t next_number_ = 1;
  std::deque<Waiting> waiting_;
  absl::btree_map<uint64_t, std::unique_ptr<WorkerRun>> runs_;
  // Declared last, so that it is destroyed first and calls into nothing that is gone.
  RoutedServer server_;
};

absl::Status WorkerStandIn::Impl::Start() {
  server_.Route("POST", "/v1/completions",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  TakeRequest(routed, "completions", writer);
                });
  server_.Route("POST", "/v1/chat/completions",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  TakeRequest(routed, "chat", writer);
                });
  server_.Route("GET", "/kv_events",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  state.events.Poll(routed, writer);
                });
  server_.Route("POST", "/kv/fetch",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  AnswerFetch(routed, writer);
                });
  server_.Route("POST", "/admin/load_weights",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  TakeOrder(routed, writer);
                });
  server_.Route("GET", "/status", [this](const RoutedRequest&, const WriterPointer& writer) {
    AnswerStatus(writer);
  });
  server_.Route("PUT", "/debug/behaviour",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  ChangeBehaviour(routed, writer);
                });
  GoCold();
  start_epoch_ = state.epoch;
  if (absl::Status listening = server_.Listen(state.settings.listen); !listening.ok()) {
    return listening;
  }
  ServeRevision(state.settings.initial_revision);
  return absl::OkStatus();
}

void WorkerStandIn::Impl::GoCold() {
  DropBlocks();
  state.up_since = state.runtime->clock->Now();
}

void WorkerStandIn::Impl::DropBlocks() {
  state.cache.Clear();
  // Rises over process restarts too, since the monotonic clock runs on.
  const auto now_us =
      static_cast<uint64_t>(runtime::ToNanoseconds(state.runtime->clock->Now()) / 1000);
  state.epoch = std::max(state.epoch + 1, now_us);
  state.events.StartEpoch(state.epoch);
}

// ---------------------------------------------------------------- runs

void WorkerStandIn::Impl::TakeRequest(const RoutedRequest& routed, const std::string& operation,
                                      const WriterPointer& writer) {
  absl::StatusOr<RunRequest> request = ReadRunRequest(routed.request, operation, state.settings);
  if (!request.ok()) {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(request.status().message())));
    return;
  }
  if (Refuse(*request, writer.get())) return;
  if (waiting_.size() >= state.settings.max_waiting &&
      state.running >= state.settings.max_running) {
    SendRefusal(*request, 429, "overloaded", "queue is full", writer.get());
    return;
  }
  const uint64_t number = next_number_++;
  writer->OnCallerDisconnected([this, number] { CallerGone(number); });
  waiting_.push_back({number, *std::move(request), state.runtime->clock->Now(), writer});
  StartWaiting();
}

bool WorkerStandIn::Impl::Refuse(const RunRequest& request, http::ResponseWriter* writer) const {
  if (loading_) {
    SendRefusal(request, 503, "loading", "weights are being loaded", writer);
    return true;
  }
  if (request.model != state.settings.model) {
    SendRefusal(request, 404, "not_found", "this worker serves another model", writer);
    return true;
  }
  if (request.expected_revision.value_or(state.model_revision) != state.model_revision) {
    SendRefusal(request, 409, "wrong_revision",
                absl::StrCat("serves revision ", state.model_revision), writer);
    return true;
  }
  return false;
}

void WorkerStandIn::Impl::CallerGone(uint64_t number) {
  const auto run = runs_.find(number);
  if (run != runs_.end()) {
    run->second->Cancel("caller_gone", /*abort=*/false);
    return;
  }
  const auto waiting =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [number](const Waiting& entry) { return entry.number == number; });
  if (waiting != waiting_.end()) waiting_.erase(waiting);
}

void WorkerStandIn::Impl::StartWaiting() {
  while (!waiting_.empty() && state.running < state.settings.max_running) {
    Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    if (!Refuse(next.request, next.writer.get())) StartRun(std::move(next));
  }
}

void WorkerStandIn::Impl::StartRun(Waiting waiting) {
  const uint64_t number = waiting.number;
  const std::string run_id = absl::StrCat(state.settings.id, "-", start_epoch_, "-", number);
  auto run =
      std::make_unique<WorkerRun>(&state, run_id, std::move(waiting.request), waiting.arrived,
                                  std::move(waiting.writer), [this, number] { RunIsOver(number); });
  WorkerRun* started = run.get();
  runs_[number] = std::move(run);
  started->Start();
}

void WorkerStandIn::Impl::RunIsOver(uint64_t number) {
  const auto entry = runs_.find(number);
  if (entry == runs_.end()) return;
  ReleaseLater(state.runtime, std::move(entry->second));
  runs_.erase(entry);
  if (!loading_) StartWaiting();
}

// ---------------------------------------------------------------- orders

void WorkerStandIn::Impl::TakeOrder(const RoutedRequest& routed, const WriterPointer& writer) {
  const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  Order order;
  order.holder = std::string(routed.request.headers.Get("X-Posthatch-Gateway"));
  const bool has_token = absl::SimpleAtoi(
      util::ToAbsl(routed.request.headers.Get("X-Posthatch-Fencing-Token")), &order.token);
  if (!body.ok() || !has_token || TextField(*body, "model") != state.settings.model) {
    writer->SendResponse(
        NotExecuted(400, "bad_request", "needs model, revision and fencing token"));
    return;
  }
  order.model = state.settings.model;
  order.revision = NumberField(*body, "revision");
  const bool obeyed = MayOrder(order);
  RecordOrder(order, obeyed);
  if (!obeyed) {
    writer->SendResponse(
        NotExecuted(409, "stale_token", absl::StrCat("newest token seen is ", newest_token_)));
    return;
  }
  const json::object taken = {{"revision", order.revision}};
  if (!loading_ && order.revision == state.model_revision) {
    writer->SendResponse(JsonResponse(200, taken));
    return;
  }
  if (!loading_ || order.revision != loading_revision_) BeginLoading(order.revision);
  writer->SendResponse(JsonResponse(202, taken));
}

// A token belongs to one lease holder; an older one, or the same one from another holder, is stale.
bool WorkerStandIn::Impl::MayOrder(const Order& order) {
  const bool stale = order.token < newest_token_ ||
                     (order.token == newest_token_ && order.holder != newest_holder_);
  if (stale && state.behaviour.check_fencing_tokens) return false;
  if (!stale) {
    newest_token_ = order.token;
    newest_holder_ = order.holder;
  }
  return true;
}

void WorkerStandIn::Impl::RecordOrder(const Order& order, bool obeyed) {
  fleettest::HistoryEvent event;
  fleettest::OrderSeen* seen = event.mutable_order_seen();
  seen->set_worker(state.settings.id);
  seen->set_holder(order.holder);
  seen->set_fencing_token(order.token);
  seen->set_model(order.model);
  seen->set_revision(order.revision);
  seen->set_obeyed(obeyed);
  state.recorder->Record(std::move(event));
}

void WorkerStandIn::Impl::BeginLoading(uint64_t revision) {
  loading_ = true;
  loading_revision_ = revision;
  for (Waiting& waiting : std::exchange(waiting_, {}))
    Refuse(waiting.request, waiting.writer.get());
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
    state.up_since = state.runtime->clock->Now();
    ServeRevision(revision);
  });
}

void WorkerStandIn::Impl::ServeRevision(uint64_t revision) {
  state.model_revision = revision;
  fleettest::HistoryEvent event;
  event.mutable_revision_served()->set_worker(state.settings.id);
  event.mutable_revision_served()->set_model(state.settings.model);
  event.mutable_revision_served()->set_revision(revision);
  state.recorder->Record(std::move(event));
}

// ---------------------------------------------------------------- the rest

void WorkerStandIn::Impl::AnswerFetch(const RoutedRequest& routed, const WriterPointer& writer) {
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
      [writer, answer = FetchAnswer(state.settings.id, state.epoch, makers)] {
        writer->SendResponse(JsonResponse(200, answer));
      });
}

void WorkerStandIn::Impl::AnswerStatus(const WriterPointer& writer) const {
  const runtime::Duration up = state.runtime->clock->Now() - state.up_since;
  writer->SendResponse(JsonResponse(
      200, json::object{{"id", state.settings.id},
                        {"epoch", state.epoch},
                        {"model", state.settings.model},
                        {"revision", state.model_revision},
                        {"loading", loading_},
                        {"running", state.running},
                        {"waiting", waiting_.size()},
                        {"up_ms", static_cast<int64_t>(runtime::ToMilliseconds(up))}}));
}

void WorkerStandIn::Impl::ChangeBehaviour(const RoutedRequest& routed,
                                          const WriterPointer& writer) {
  absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  absl::Status applied = body.status();
  bool cold = false;
  if (body.ok()) {
    cold = FlagField(*body, "cold");
    body->erase("cold");
    applied = ApplyFields(*body, BehaviourFields(), &state.behaviour);
  }
  if (!applied.ok()) {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(applied.message())));
    return;
  }
  if (cold) GoCold();
  writer->SendResponse(JsonResponse(200, json::object{{"epoch", state.epoch}}));
}

// ---------------------------------------------------------------- surface

WorkerStandIn::WorkerStandIn(runtime::Runtime* runtime, WorkerSettings settings,
                             fleettest::HistoryRecorder* recorder)
    : impl_(std::make_unique<Impl>(runtime, std::move(settings), recorder)) {}

WorkerStandIn::~WorkerStandIn() = default;

absl::Status WorkerStandIn::Start() { return impl_->Start(); }
const std::string& WorkerStandIn::endpoint() const { return impl_->endpoint(); }
void WorkerStandIn::SetBehaviour(const WorkerBehaviour& behaviour) {
  impl_->state.behaviour = behaviour;
}
const WorkerBehaviour& WorkerStandIn::behaviour() const { return impl_->state.behaviour; }
void WorkerStandIn::GoCold() { impl_->GoCold(); }
uint64_t WorkerStandIn::epoch() const { return impl_->state.epoch; }
uint64_t WorkerStandIn::model_revision() const { return impl_->state.model_revision; }
uint64_t WorkerStandIn::kept_blocks() const { return impl_->state.cache.size(); }

}  // namespace posthatch::emulator
