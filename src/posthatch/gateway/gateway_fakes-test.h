#pragma once

#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/gateway/gateway.h"
#include "posthatch/gateway/key_digest.h"
#include "posthatch/test_support/fake_timers-test.h"
#include "posthatch/test_support/fake_writer-test.h"

// Fakes of all dependencies of a Gateway, driven by the test or benchmark.
namespace posthatch::gateway {

using test_support::FakeClock;
using test_support::FakeTimers;
using test_support::FakeWriter;

// A call of the gateway to a back end; the test sends the response.
struct FakeCall {
  std::string endpoint;
  http::Request request;
  http::CallOptions options;
  http::CallObserver observer;
  bool cancelled = false;
  bool paused = false;
  bool can_skip = true;
  int skipped = 0;  // responses of other calls
  http::ConnectionUse connection;
  int cached_blocks = 0;  // X-Worker-Cached-Blocks in its response heads

  std::string Field(std::string_view name) const { return std::string(request.headers.Get(name)); }
  void Head(int status = 200, uint64_t epoch = 1) const {
    HeadFor(Field("X-Posthatch-Attempt"), status, epoch);
  }
  void HeadFor(const std::string& attempt, int status = 200, uint64_t epoch = 1) const {
    if (cancelled) return;
    http::Response head;
    head.status = status;
    head.headers.Add("Content-Type", "application/json");
    head.headers.Add("X-Posthatch-Attempt", attempt);
    head.headers.Add("X-Worker-Epoch", std::to_string(epoch));
    head.headers.Add("X-Worker-Cached-Blocks", std::to_string(cached_blocks));
    observer.on_head(head);
  }
  void Chunk(std::string piece) const {
    if (!cancelled) observer.on_chunk(std::move(piece));
  }
  void End() const {
    if (!cancelled) observer.on_end();
  }
  void Error(http::CallProgress progress,
             absl::Status status = absl::UnavailableError("broken")) const {
    if (!cancelled) observer.on_error({std::move(status), progress});
  }
  void CompleteResponse(int status, std::string body, uint64_t epoch = 1) const {
    Head(status, epoch);
    Chunk(std::move(body));
    End();
  }
  void GoodCompletion() const {
    CompleteResponse(200, absl::StrCat(R"({"id":"run","request_id":")", Field("X-Request-Id"),
                                       R"(","choices":[{"index":0,"text":"T"}]})"));
  }
  void GoodOperation(const std::string& operation) const {
    CompleteResponse(200, absl::StrCat(R"({"run":"r","request_id":")", Field("X-Request-Id"),
                                       R"(","operation":")", operation, R"(","result":1})"));
  }
  std::string Event(int piece, const std::string& run = "run") const {
    return absl::StrCat("data: {\"id\": \"", run, "\", \"request_id\": \"", Field("X-Request-Id"),
                        "\", \"piece\": ", piece, ", \"choices\": [{\"index\": 0, \"text\": \"",
                        std::string(10, 'x'), "\"}]}\n\n");
  }
};

class FakeHttpClient : public http::HttpClient {
 public:
  std::unique_ptr<http::Call> Start(const std::string& endpoint, http::Request request,
                                    http::CallOptions options,
                                    http::CallObserver observer) override {
    auto call = std::make_shared<FakeCall>();
    call->endpoint = endpoint;
    call->request = std::move(request);
    call->options = options;
    call->observer = std::move(observer);
    call->connection = {calls.size() + 1, 1};
    calls.push_back(call);
    return std::make_unique<Handle>(call);
  }
  bool HasPooledConnection(const std::string& endpoint,
                           const http::PooledConnectionRules&) const override {
    return pooled_endpoints.contains(endpoint);
  }
  std::vector<std::shared_ptr<FakeCall>> calls;
  std::set<std::string> pooled_endpoints;

 private:
  class Handle : public http::Call {
   public:
    explicit Handle(std::shared_ptr<FakeCall> call) : call_(std::move(call)) {}
    ~Handle() override { call_->cancelled = true; }
    void StopReading() override { call_->paused = true; }
    void ResumeReading() override { call_->paused = false; }
    bool SkipResponse() override {
      if (call_->can_skip) ++call_->skipped;
      return call_->can_skip;
    }
    http::ConnectionUse connection_use() const override { return call_->connection; }

   private:
    const std::shared_ptr<FakeCall> call_;
  };
};

class FakeFleetView : public control::FleetView {
 public:
  explicit FakeFleetView(const runtime::Clock* clock) : clock_(clock) {}
  bool LeaseValid() const override { return clock_->Now() < expiry; }
  runtime::MonotonicTime lease_expiry() const override { return expiry; }
  const control::FleetState& state() const override { return fleet; }
  runtime::Duration InventoryAge() const override { return inventory_age; }
  const control::RevisionTimeline& revision_timeline() const override { return revisions; }
  void AddListener(Listener listener) override { listeners_.push_back(std::move(listener)); }
  // Notifies the listeners that every section has changed.
  void Changed() {
    ++index_;
    fleet.set_configuration_index(index_);
    fleet.set_isolation_index(index_);
    fleet.set_revisions_index(index_);
    fleet.set_evacuations_index(index_);
    fleet.set_inventory_index(index_);
    revisions.Observe(fleet, clock_->Now());
    for (const Listener& listener : listeners_) listener(fleet);
  }
  control::FleetState fleet;
  control::RevisionTimeline revisions;
  runtime::MonotonicTime expiry = runtime::MonotonicTime::max();
  runtime::Duration inventory_age{0};

 private:
  const runtime::Clock* const clock_;
  uint64_t index_ = 1;
  std::vector<Listener> listeners_;
};

// Stores the delivery records as the log does. With `defer_results`, results are deferred until
// Release().
class FakeControl : public control::ControlClient {
 public:
  void Propose(control::Command command, runtime::Duration, bool, ProposeDone done) override {
    ++proposals;
    if (lost_results > 0) {
      --lost_results;
      Apply(command);
      done(absl::DeadlineExceededError("lost"));
      return;
    }
    if (fail_finish && command.has_delivery_finish()) {
      done(absl::UnavailableError("no quorum"));
      return;
    }
    control::CommandResult result = Apply(command);
    if (defer_results) {
      deferred_results_.emplace_back([done, result] { done(result); });
    } else {
      done(result);
    }
  }
  void Release() {
    for (auto& send_result : std::exchange(deferred_results_, {})) send_result();
  }
  control::DeliveryOutcome::Kind Outcome(const std::string& key) const {
    const auto found = records.find(key);
    return found == records.end() ? control::DeliveryOutcome::KIND_UNSPECIFIED
                                  : found->second.outcome().kind();
  }
  std::map<std::string, control::DeliveryRecord> records;  // keyed by idempotency key
  int proposals = 0;
  bool defer_results = false;
  int lost_results = 0;  // number of upcoming proposals that are applied, but get no result
  bool fail_finish = false;

 private:
  control::CommandResult Apply(const control::Command& command) {
    control::CommandResult result;
    result.set_code(control::CommandResult::OK);
    if (command.has_delivery_finish()) {
      control::DeliveryRecord& record = records[command.delivery_finish().idempotency_key()];
      record.set_finished(true);
      *record.mutable_outcome() = command.delivery_finish().outcome();
      return result;
    }
    const control::DeliveryBegin& begin = command.delivery_begin();
    control::DeliveryRecord& record = records[begin.idempotency_key()];
    control::DeliveryStatus* status = result.mutable_delivery();
    if (record.attempt().empty() || record.attempt() == begin.attempt()) {
      record.set_attempt(begin.attempt());
      record.set_request_hash(begin.request_hash());
      status->set_kind(control::DeliveryStatus::BEGUN);
    } else if (record.request_hash() != begin.request_hash()) {
      status->set_kind(control::DeliveryStatus::MISMATCH);
    } else if (record.finished()) {
      status->set_kind(control::DeliveryStatus::FINISHED);
      *status->mutable_outcome() = record.outcome();
    } else {
      status->set_kind(control::DeliveryStatus::RUNNING);
    }
    return result;
  }
  std::vector<std::function<void()>> deferred_results_;
};

class FakeLocator : public index::PrefixLocator {
 public:
  std::vector<index::PrefixHolder> Locate(const index::BlockSeed&,
                                          const std::vector<index::BlockHash>&) override {
    return holders;
  }
  void RecordDispatch(const index::BlockSeed& seed, const std::vector<index::BlockHash>&,
                      const std::string& worker_id, uint64_t) override {
    recorded.emplace_back(worker_id, seed);
  }
  std::vector<index::PrefixHolder> holders;
  std::vector<std::pair<std::string, index::BlockSeed>> recorded;
};

// A gateway in zone "a" with tenants "one" (key "key-one") and "two", model "m", service "lobby"
// with the non-idempotent operation "place" and the idempotent "ask", two workers in each of two
// zones, and two service back ends. All are past their slow start.
struct FakeFleet {
  FakeFleet() : timers(&clock), view(&clock) {
    runtime.clock = &clock;
    runtime.timers = &timers;
    runtime.random = &random;
    runtime.http_client = &client;
    runtime.metrics = &registry;
    options.gateway_id = "gateway-1";
    options.zone = "a";
    FillFleet();
  }

  void FillFleet() {
    control::Configuration* configuration = view.fleet.mutable_configuration();
    view.fleet.set_configuration_version(1);
    view.fleet.set_configuration_index(1);
    for (const char* name : {"one", "two"}) {
      control::Tenant* tenant = configuration->add_tenants();
      tenant->set_name(name);
      tenant->add_key_sha256(Sha256Hex(absl::StrCat("key-", name)));
      view.fleet.add_isolation()->set_tenant(name);
    }
    control::Model* model = configuration->add_models();
    model->set_name("m");
    model->set_block_tokens(4);
    control::ServiceRoute* service = configuration->add_services();
    service->set_name("lobby");
    control::ServiceOperation* place = service->add_operations();
    place->set_name("place");
    place->set_non_repeatable(true);
    service->add_operations()->set_name("ask");
    for (int number = 1; number <= 4; ++number) {
      AddBackend(absl::StrCat("w", number), control::BACKEND_KIND_WORKER, number <= 2 ? "a" : "b");
    }
    AddBackend("s1", control::BACKEND_KIND_SERVICE, "a");
    AddBackend("s2", control::BACKEND_KIND_SERVICE, "b");
  }

  void AddBackend(const std::string& id, control::BackendKind kind, const std::string& zone) {
    control::Backend* backend = view.fleet.mutable_inventory()->add_backends();
    backend->set_id(id);
    backend->set_kind(kind);
    backend->set_endpoint(id + ":80");
    backend->set_zone(zone);
    if (kind == control::BACKEND_KIND_WORKER) backend->set_model("m");
    if (kind == control::BACKEND_KIND_SERVICE) backend->set_service("lobby");
  }

  void StartGateway() {
    gateway = std::make_unique<Gateway>(&runtime, options, &view, &control, &locator);
    timers.Advance(std::chrono::seconds(11));  // past the slow start
  }

  std::shared_ptr<FakeWriter> Send(const std::string& target, const std::string& body,
                                   const std::string& idempotency_key = "",
                                   const std::string& key = "key-one") {
    http::Request request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    request.headers.Add("Authorization", "Bearer " + key);
    request.headers.Add("X-Request-Id", absl::StrCat("id-", ++sent));
    if (!idempotency_key.empty()) request.headers.Add("Idempotency-Key", idempotency_key);
    auto writer = std::make_shared<FakeWriter>();
    gateway->HandleRequest(std::move(request), writer);
    return writer;
  }
  std::shared_ptr<FakeWriter> Complete(bool stream = false, const std::string& key = "key-one") {
    return Send("/v1/completions",
                absl::StrCat(R"({"model":"m","prompt":")", std::string(64, 'p'), R"(","stream":)",
                             stream ? "true" : "false", "}"),
                "", key);
  }
  std::shared_ptr<FakeWriter> Place(const std::string& key) {
    return Send("/v1/services/lobby/place", R"({"seat":1})", key);
  }
  FakeCall& LastCall() { return *client.calls.back(); }

  FakeClock clock;
  FakeTimers timers;
  runtime::Random random{7};
  FakeHttpClient client;
  prometheus::Registry registry;
  runtime::Runtime runtime;
  FakeFleetView view;
  FakeControl control;
  FakeLocator locator;
  GatewayOptions options;
  std::unique_ptr<Gateway> gateway;
  int sent = 0;
};

}  // namespace posthatch::gateway
