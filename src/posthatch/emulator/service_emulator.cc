#include "posthatch/emulator/service_emulator.h"

#include <boost/json/serialize.hpp>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "posthatch/emulator/field_table.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/response_mixer.h"
#include "posthatch/emulator/routed_server.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {

namespace json = boost::json;

using WriterPointer = std::shared_ptr<http::ResponseWriter>;

namespace {

constexpr std::string_view kOperationsPath = "/operations/";

const std::vector<Field<ServiceBehaviour>>& BehaviourFields() {
  using B = ServiceBehaviour;
  static const auto* const fields = new std::vector<Field<B>>{
      {"answers_late_ms", &B::answers_late_ms},
      {"answers_late_share", &B::answers_late_share},
      {"start_late_ms", &B::start_late_ms},
      {"start_late_share", &B::start_late_share},
      {"answers_lost_share", &B::answers_lost_share},
      {"requests_lost_share", &B::requests_lost_share},
      {"answers_twice_share", &B::answers_twice_share},
      {"answers_crossed_share", &B::answers_crossed_share},
      {"answers_crossed_body_share", &B::answers_crossed_body_share},
      {"answers_cut_share", &B::answers_cut_share},
      {"slow_factor", &B::slow_factor},
  };
  return *fields;
}

// An operation in progress.
struct Operation {
  ResponseIdentity identity;
  std::string tenant;
  std::string gateway;
  std::string idempotency_key;
  uint32_t attempt_number = 0;
  runtime::MonotonicTime arrived;
  WriterPointer writer;
};

}  // namespace

class ServiceEmulator::Impl {
 public:
  Impl(runtime::Runtime* runtime, ServiceSettings settings, fleettest::HistoryRecorder* recorder)
      : runtime_(runtime),
        settings_(std::move(settings)),
        recorder_(recorder),
        mixer_(runtime->random),
        server_(runtime) {}

  absl::Status Start();
  const std::string& endpoint() const { return server_.endpoint(); }
  ServiceBehaviour behaviour;

 private:
  using OperationPointer = std::shared_ptr<Operation>;

  void HandleOperation(const RoutedRequest& routed, const WriterPointer& writer);
  // Runs `step` after `delay`, unless this object is destroyed by then.
  void RunAfter(runtime::Duration delay, std::function<void()> step);
  void Execute(const OperationPointer& operation);
  void RecordStart(const Operation& operation);
  void FinishOperation(const Operation& operation);
  void SendOperationResponse(const Operation& operation);

  runtime::Runtime* const runtime_;
  const ServiceSettings settings_;
  fleettest::HistoryRecorder* const recorder_;
  ResponseMixer mixer_;
  runtime::MonotonicTime up_since_;
  uint64_t start_epoch_ = 0;
  uint64_t next_run_ = 1;
  uint32_t running_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  RoutedServer server_;
};

absl::Status ServiceEmulator::Impl::Start() {
  up_since_ = runtime_->clock->Now();
  start_epoch_ = static_cast<uint64_t>(runtime::ToNanoseconds(up_since_) / 1000);
  server_.Route("POST", std::string(kOperationsPath),
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  HandleOperation(routed, writer);
                });
  server_.Route("GET", "/status", [this](const RoutedRequest&, const WriterPointer& writer) {
    writer->SendResponse(JsonResponse(
        200, json::object{{"id", settings_.id}, {"epoch", start_epoch_}, {"running", running_}}));
  });
  server_.Route(
      "PUT", "/debug/behaviour", [this](const RoutedRequest& routed, const WriterPointer& writer) {
        const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
        const absl::Status applied =
            body.ok() ? ApplyFields(*body, BehaviourFields(), &behaviour) : body.status();
        if (applied.ok()) {
          writer->SendResponse(JsonResponse(200, json::object{{"ok", true}}));
        } else {
          writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(applied.message())));
        }
      });
  return server_.Listen(settings_.listen);
}

void ServiceEmulator::Impl::HandleOperation(const RoutedRequest& routed,
                                            const WriterPointer& writer) {
  if (running_ >= settings_.max_running) {
    http::Response rejection = NotExecuted(429, "overloaded", "too many operations in progress");
    rejection.headers.Add("X-Posthatch-Attempt", routed.request.headers.Get("X-Posthatch-Attempt"));
    writer->SendResponse(std::move(rejection));
    return;
  }
  if (runtime_->random->Chance(behaviour.requests_lost_share)) {
    writer->Abort();
    return;
  }
  const http::Headers& headers = routed.request.headers;
  auto operation = std::make_shared<Operation>();
  operation->identity.request_id = std::string(headers.Get("X-Request-Id"));
  operation->identity.attempt = std::string(headers.Get("X-Posthatch-Attempt"));
  operation->identity.operation = routed.path.substr(kOperationsPath.size());
  operation->tenant = std::string(headers.Get("X-Posthatch-Tenant"));
  operation->gateway = std::string(headers.Get("X-Posthatch-Gateway"));
  operation->idempotency_key = std::string(headers.Get("Idempotency-Key"));
  if (!absl::SimpleAtoi(util::ToAbsl(headers.Get("X-Posthatch-Attempt-Number")),
                        &operation->attempt_number)) {
    operation->attempt_number = 0;
  }
  operation->arrived = runtime_->clock->Now();
  operation->writer = writer;
  ++running_;
  const bool delayed = runtime_->random->Chance(behaviour.start_late_share);
  if (delayed) {
    RunAfter(std::chrono::milliseconds(behaviour.start_late_ms),
             [this, operation] { Execute(operation); });
  } else {
    Execute(operation);
  }
}

void ServiceEmulator::Impl::RunAfter(runtime::Duration delay, std::function<void()> step) {
  std::weak_ptr<bool> alive = alive_;
  runtime_->timers->Schedule(delay, [alive, step = std::move(step)] {
    if (!alive.expired()) step();
  });
}

void ServiceEmulator::Impl::Execute(const OperationPointer& operation) {
  operation->identity.run = absl::StrCat(settings_.id, "-", start_epoch_, "-", next_run_++);
  RecordStart(*operation);
  const auto time = static_cast<double>(settings_.execution.count()) * behaviour.slow_factor;
  const bool delayed = runtime_->random->Chance(behaviour.answers_late_share);
  const runtime::Duration response_delay =
      runtime::Duration(static_cast<int64_t>(time)) +
      std::chrono::milliseconds(delayed ? behaviour.answers_late_ms : 0);
  RunAfter(response_delay, [this, operation] { FinishOperation(*operation); });
}

void ServiceEmulator::Impl::RecordStart(const Operation& operation) {
  fleettest::HistoryEvent event;
  fleettest::RunStarted* started = event.mutable_run_started();
  started->set_backend(settings_.id);
  started->set_run(operation.identity.run);
  started->set_tenant(operation.tenant);
  started->set_operation(absl::StrCat(settings_.service, "/", operation.identity.operation));
  started->set_idempotency_key(operation.idempotency_key);
  started->set_nonce(operation.identity.request_id);
  started->set_attempt(operation.identity.attempt);
  started->set_attempt_number(operation.attempt_number);
  started->set_gateway(operation.gateway);
  started->set_zone(settings_.zone);
  started->set_backend_epoch(start_epoch_);
  started->set_running(running_);
  started->set_up_since_ns(runtime::ToNanoseconds(up_since_));
  started->set_arrived_ns(runtime::ToNanoseconds(operation.arrived));
  recorder_->Record(std::move(event));
}

void ServiceEmulator::Impl::FinishOperation(const Operation& operation) {
  --running_;
  fleettest::HistoryEvent event;
  event.mutable_run_ended()->set_run(operation.identity.run);
  event.mutable_run_ended()->set_backend(settings_.id);
  event.mutable_run_ended()->set_completed(true);
  recorder_->Record(std::move(event));
  if (runtime_->random->Chance(behaviour.answers_lost_share)) {
    operation.writer->Abort();
  } else {
    SendOperationResponse(operation);
  }
}

void ServiceEmulator::Impl::SendOperationResponse(const Operation& operation) {
  const ResponseIdentity chosen = mixer_.Choose(
      operation.identity, {behaviour.answers_twice_share, behaviour.answers_crossed_share,
                           behaviour.answers_crossed_body_share});
  const std::string result = absl::StrCat(chosen.operation, " done by ", chosen.run);
  http::Response response = JsonResponse(200, json::object{{"run", chosen.run},
                                                           {"request_id", chosen.request_id},
                                                           {"operation", chosen.operation},
                                                           {"result", result},
                                                           {"checksum", Checksum(result)}});
  response.headers.Add("X-Posthatch-Attempt", chosen.attempt);
  if (runtime_->random->Chance(behaviour.answers_cut_share)) {
    const std::string half = response.body.substr(0, response.body.size() / 2);
    response.body.clear();
    operation.writer->StartStream(std::move(response));
    operation.writer->WriteChunk(half);
    operation.writer->Abort();
    return;
  }
  operation.writer->SendResponse(std::move(response));
}

ServiceEmulator::ServiceEmulator(runtime::Runtime* runtime, ServiceSettings settings,
                                 fleettest::HistoryRecorder* recorder)
    : impl_(std::make_unique<Impl>(runtime, std::move(settings), recorder)) {}

ServiceEmulator::~ServiceEmulator() = default;

absl::Status ServiceEmulator::Start() { return impl_->Start(); }
const std::string& ServiceEmulator::endpoint() const { return impl_->endpoint(); }
void ServiceEmulator::SetBehaviour(const ServiceBehaviour& behaviour) {
  impl_->behaviour = behaviour;
}
const ServiceBehaviour& ServiceEmulator::behaviour() const { return impl_->behaviour; }

}  // namespace posthatch::emulator
