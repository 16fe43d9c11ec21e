#include "posthatch/emulator/caller_load.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <map>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/json_client.h"
#include "posthatch/emulator/prompt_pool.h"
#include "posthatch/emulator/recorded_call.h"

namespace posthatch::emulator {

namespace json = boost::json;

namespace {

constexpr runtime::Duration kMinDisconnectDelay = std::chrono::milliseconds(2);
constexpr runtime::Duration kMaxDisconnectDelay = std::chrono::milliseconds(300);
constexpr runtime::Duration kReadingPause = std::chrono::milliseconds(150);
constexpr runtime::Duration kMaxRepeatDelay = std::chrono::seconds(2);
// Upper bound on the Retry-After that callers comply with.
constexpr uint32_t kMaxRetryAfterS = 5;

// A request and its resends, which all carry the same nonce and idempotency key.
struct LogicalRequest {
  CallPlan plan;
  uint32_t sends = 0;
  bool repeated = false;
};
using RequestPointer = std::shared_ptr<LogicalRequest>;

std::string InferenceBody(const OperationTraffic& operation, const std::string& prompt,
                          const std::string& question) {
  json::object body = {{"model", operation.model}, {"max_tokens", operation.max_tokens}};
  if (operation.stream) body["stream"] = true;
  if (operation.kind == OperationKind::kCompletions) {
    body["prompt"] = prompt + question;
  } else {
    body["messages"] = json::array{json::object{{"role", "system"}, {"content", prompt}},
                                   json::object{{"role", "user"}, {"content", question}}};
  }
  return json::serialize(body);
}

// Whether the response counts as lost: the operation may or may not have been executed.
bool IsResponseLost(const fleettest::CallEnded& ended) {
  if (ended.status() == 0 || !ended.complete()) return true;
  return ended.status() != 200 && ended.executed() != "no";
}

}  // namespace

class CallerLoad::Impl {
 public:
  Impl(runtime::Runtime* runtime, CallerLoadOptions options, fleettest::HistoryRecorder* recorder);

  void Start();
  void Stop(std::function<void()> done);
  void SetGateways(std::vector<std::string> gateways) { options_.gateways = std::move(gateways); }
  CallerLoadCounts counts() const;

 private:
  void ScheduleArrival();
  void Arrive();
  RequestPointer Plan();
  void PlanInference(const OperationTraffic& operation, size_t tenant, CallPlan* plan);
  void PlanService(const OperationTraffic& operation, CallPlan* plan);
  void PlanCallerBehaviour(CallPlan* plan);
  std::string OtherGateway(const std::string& last);
  void Send(const RequestPointer& request, const std::string& gateway);
  void SendLater(const RequestPointer& request, runtime::Duration delay, const std::string& last);
  void OnCallEnded(const RequestPointer& request, uint64_t call, const fleettest::CallEnded& ended);
  void Count(const fleettest::CallEnded& ended);
  void FinishStop();

  runtime::Runtime* const runtime_;
  CallerLoadOptions options_;
  fleettest::HistoryRecorder* const recorder_;
  std::vector<PromptPool> pools_;  // indexed like mix.tenants
  std::discrete_distribution<size_t> tenant_choice_;
  std::discrete_distribution<size_t> operation_choice_;
  runtime::Timer arrival_timer_;
  runtime::MonotonicTime next_arrival_;
  bool stopping_ = false;
  std::function<void()> on_stopped_;
  uint64_t next_call_ = 1;
  uint64_t next_request_ = 1;
  uint64_t start_nonce_ = 0;  // distinguishes nonces across restarts of a load
  uint64_t pending_resends_ = 0;
  CallerLoadCounts counts_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::map<uint64_t, std::unique_ptr<RecordedCall>> calls_;
};

CallerLoad::Impl::Impl(runtime::Runtime* runtime, CallerLoadOptions options,
                       fleettest::HistoryRecorder* recorder)
    : runtime_(runtime),
      options_(std::move(options)),
      recorder_(recorder),
      arrival_timer_(runtime->timers) {
  std::vector<double> tenant_weights;
  for (const TenantTraffic& tenant : options_.mix.tenants) {
    pools_.emplace_back(tenant);
    tenant_weights.push_back(tenant.share);
  }
  tenant_choice_ = {tenant_weights.begin(), tenant_weights.end()};
  std::vector<double> operation_weights;
  for (const OperationTraffic& operation : options_.mix.operations) {
    operation_weights.push_back(operation.share);
  }
  operation_choice_ = {operation_weights.begin(), operation_weights.end()};
}

void CallerLoad::Impl::Start() {
  start_nonce_ = runtime_->random->Uniform(UINT64_C(1) << 32);
  next_arrival_ = runtime_->clock->Now();
  ScheduleArrival();
}

void CallerLoad::Impl::Stop(std::function<void()> done) {
  stopping_ = true;
  on_stopped_ = std::move(done);
  arrival_timer_.Cancel();
  FinishStop();
}

void CallerLoad::Impl::FinishStop() {
  if (!stopping_ || !calls_.empty() || pending_resends_ > 0 || on_stopped_ == nullptr) return;
  runtime_->timers->Schedule(runtime::Duration::zero(), std::exchange(on_stopped_, nullptr));
}

CallerLoadCounts CallerLoad::Impl::counts() const {
  CallerLoadCounts counts = counts_;
  counts.in_flight = calls_.size();
  return counts;
}

// An open loop: arrivals don't wait for responses.
void CallerLoad::Impl::ScheduleArrival() {
  const double rate = options_.mix.requests_per_second;
  if (rate <= 0 || stopping_) return;
  std::exponential_distribution<double> gap_seconds(rate);
  next_arrival_ += runtime::Duration(static_cast<int64_t>(gap_seconds(*runtime_->random) * 1e9));
  const runtime::Duration delay = next_arrival_ - runtime_->clock->Now();
  arrival_timer_.Start(std::max(delay, runtime::Duration::zero()), [this] {
    Arrive();
    ScheduleArrival();
  });
}

void CallerLoad::Impl::Arrive() {
  if (options_.gateways.empty() || options_.mix.operations.empty() || pools_.empty()) return;
  if (calls_.size() >= options_.max_in_flight) {
    ++counts_.skipped;
    return;
  }
  const RequestPointer request = Plan();
  const std::string gateway = OtherGateway("");
  Send(request, gateway);
  const bool keyed = !request->plan.sent.idempotency_key().empty();
  if (keyed && runtime_->random->Chance(options_.mix.racing_share)) {
    Send(request, OtherGateway(gateway));
  }
}

RequestPointer CallerLoad::Impl::Plan() {
  runtime::Random* random = runtime_->random;
  const size_t tenant_number = tenant_choice_(*random);
  const TenantTraffic& tenant = options_.mix.tenants[tenant_number];
  const OperationTraffic& operation = options_.mix.operations[operation_choice_(*random)];
  auto request = std::make_shared<LogicalRequest>();
  CallPlan& plan = request->plan;
  plan.key = tenant.key;
  plan.sent.set_tenant(tenant.name);
  plan.sent.set_key_id(tenant.key_id);
  plan.sent.set_nonce(absl::StrCat(options_.name, "-", start_nonce_, "-", next_request_++));
  if (operation.non_repeatable) {
    plan.sent.set_idempotency_key("key-" + plan.sent.nonce());
  }
  plan.options.head_timeout = options_.head_timeout;
  plan.options.body_idle_timeout = options_.body_idle_timeout;
  if (operation.kind == OperationKind::kService) {
    PlanService(operation, &plan);
  } else {
    PlanInference(operation, tenant_number, &plan);
  }
  PlanCallerBehaviour(&plan);
  return request;
}

void CallerLoad::Impl::PlanInference(const OperationTraffic& operation, size_t tenant,
                                     CallPlan* plan) {
  const bool chat = operation.kind == OperationKind::kChat;
  const PromptPool::Choice choice = pools_[tenant].Next(runtime_->random);
  const std::string question = absl::StrCat("question ", plan->sent.nonce());
  plan->target = chat ? "/v1/chat/completions" : "/v1/completions";
  plan->body = InferenceBody(operation, choice.prompt, question);
  plan->sent.set_operation(chat ? "chat" : "completions");
  plan->sent.set_model(operation.model);
  plan->sent.set_stream(operation.stream);
  plan->sent.set_expected_pieces(operation.max_tokens);
  plan->sent.set_history(absl::StrCat(choice.history, chat ? "/chat" : "/completions"));
  plan->sent.set_prompt_bytes(static_cast<uint32_t>(choice.prompt.size() + question.size()));
}

void CallerLoad::Impl::PlanService(const OperationTraffic& operation, CallPlan* plan) {
  plan->target = absl::StrCat("/v1/services/", operation.service, "/", operation.operation);
  plan->body = json::serialize(json::object{{"subject", plan->sent.nonce()}});
  plan->sent.set_operation(absl::StrCat(operation.service, "/", operation.operation));
}

// Pooled or new connection, slow reading, early disconnect.
void CallerLoad::Impl::PlanCallerBehaviour(CallPlan* plan) {
  runtime::Random* random = runtime_->random;
  plan->options.fresh_connection = !random->Chance(options_.mix.pooled_connection_share);
  if (random->Chance(options_.mix.disconnecting_share)) {
    plan->disconnect_after = random->Between(kMinDisconnectDelay, kMaxDisconnectDelay);
  }
  if (plan->sent.stream() && random->Chance(options_.mix.slow_reader_share)) {
    plan->reading_pause = kReadingPause;
  }
}

std::string CallerLoad::Impl::OtherGateway(const std::string& last) {
  std::vector<std::string> others;
  for (const std::string& gateway : options_.gateways) {
    if (gateway != last) others.push_back(gateway);
  }
  if (others.empty()) return last;
  return others[runtime_->random->Uniform(others.size())];
}

void CallerLoad::Impl::Send(const RequestPointer& request, const std::string& gateway) {
  const uint64_t call = next_call_++;
  CallPlan plan = request->plan;
  plan.sent.set_call(call);
  plan.sent.set_gateway(gateway);
  plan.sent.set_send(++request->sends);
  if (request->sends > 1) plan.disconnect_after = runtime::Duration::zero();
  ++counts_.sent;
  auto recorded =
      std::make_unique<RecordedCall>(runtime_, recorder_, std::move(plan),
                                     [this, request, call](const fleettest::CallEnded& ended) {
                                       OnCallEnded(request, call, ended);
                                     });
  RecordedCall* started = recorded.get();
  calls_[call] = std::move(recorded);
  started->Start();
}

void CallerLoad::Impl::SendLater(const RequestPointer& request, runtime::Duration delay,
                                 const std::string& last) {
  ++pending_resends_;
  std::weak_ptr<bool> alive = alive_;
  runtime_->timers->Schedule(delay, [this, alive, request, last] {
    if (alive.expired()) return;
    --pending_resends_;
    Send(request, OtherGateway(last));
  });
}

void CallerLoad::Impl::OnCallEnded(const RequestPointer& request, uint64_t call,
                                   const fleettest::CallEnded& ended) {
  const auto entry = calls_.find(call);
  ReleaseLater(runtime_, std::move(entry->second));
  calls_.erase(entry);
  Count(ended);
  const bool keyed = !ended.idempotency_key().empty();
  if (keyed && request->sends < options_.mix.max_sends) {
    if (IsResponseLost(ended)) {
      const runtime::Duration retry_after =
          std::chrono::seconds(std::min(ended.retry_after_s(), kMaxRetryAfterS));
      SendLater(request, std::max(retry_after, options_.resend_delay), ended.gateway());
    } else if (!request->repeated && runtime_->random->Chance(options_.mix.repeated_share)) {
      request->repeated = true;
      SendLater(request, runtime_->random->Between(options_.resend_delay, kMaxRepeatDelay),
                ended.gateway());
    }
  }
  FinishStop();
}

void CallerLoad::Impl::Count(const fleettest::CallEnded& ended) {
  if (ended.status() == 200 && ended.complete()) {
    ++counts_.completed;
  } else if (ended.executed() == "no") {
    ++counts_.refused;
  } else {
    ++counts_.unknown;
  }
}

CallerLoad::CallerLoad(runtime::Runtime* runtime, CallerLoadOptions options,
                       fleettest::HistoryRecorder* recorder)
    : impl_(std::make_unique<Impl>(runtime, std::move(options), recorder)) {}

CallerLoad::~CallerLoad() = default;

void CallerLoad::Start() { impl_->Start(); }
void CallerLoad::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }
void CallerLoad::SetGateways(std::vector<std::string> gateways) {
  impl_->SetGateways(std::move(gateways));
}
CallerLoadCounts CallerLoad::counts() const { return impl_->counts(); }

}  // namespace posthatch::emulator
