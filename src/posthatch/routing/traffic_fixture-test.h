#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "posthatch/gateway/gateway_fakes-test.h"
#include "posthatch/routing/traffic_gateway.h"
#include "posthatch/test_support/fake_trace-test.h"

// A traffic gateway with fake dependencies, for tests.
namespace posthatch::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A call format of plain header fields.
class TestCallFormat : public CallFormat {
 public:
  absl::StatusOr<InboundCall> ReadCall(const http::Request& request) const override {
    InboundCall call;
    call.request_id = std::string(request.headers.Get("Id"));
    call.credential = std::string(request.headers.Get("Key"));
    call.model = std::string(request.headers.Get("Prompt-Model"));
    call.resume_after = std::string(request.headers.Get("After"));
    if (!call.model.empty()) call.segments = {{"shared", 2000}, {"own", 100}};
    if (request.headers.Has("Malformed")) return absl::InvalidArgumentError("malformed");
    return call;
  }
  http::Request MakeDispatch(const http::Request& original,
                             const DispatchFields& fields) const override {
    http::Request dispatch = original;
    dispatch.headers = http::Headers();
    dispatch.headers.Add("Id", original.headers.Get("Id"));
    dispatch.headers.Add("Instance", fields.instance_id);
    dispatch.headers.Add("Tenant", fields.tenant);
    dispatch.headers.Add("After", fields.resume_after);
    dispatch.headers.Add("Salt", fields.cache_salt);
    dispatch.headers.Add("Revision", std::to_string(fields.expected_revision));
    dispatch.headers.Add("Source", fields.fetch_endpoint);
    return dispatch;
  }
  ResponseClassification ClassifyResponse(const InboundCall& call,
                                          const http::Response& head) const override {
    ResponseClassification classification;
    classification.matches_request = head.headers.Get("Id") == call.request_id;
    classification.misdirected = head.status == 421;
    const bool rejected = head.headers.Has("Refused") || classification.misdirected;
    classification.execution = rejected ? Execution::kNotExecuted : Execution::kRan;
    if (head.headers.Has("Revision")) {
      classification.revision = std::stoull(std::string(head.headers.Get("Revision")));
    }
    return classification;
  }
  http::Response MakeLocalReply(const LocalReply& reply) const override {
    http::Response response;
    constexpr int kStatuses[] = {400, 404, 401, 503, 502, 504};
    response.status = kStatuses[static_cast<int>(reply.reason)];
    if (reply.retry_after > runtime::Duration::zero()) response.headers.Add("Retry", "1");
    return response;
  }
};

class FakeTransport : public runtime::Transport {
 public:
  struct Sent {
    std::string to;
    std::string payload;
  };
  const std::string& endpoint() const override { return endpoint_; }
  const std::string& node_id() const override { return node_id_; }
  uint64_t incarnation() const override { return 1; }
  void SetReceiver(runtime::Service, Receiver new_receiver) override {
    receiver = std::move(new_receiver);
  }
  void Send(const std::string& to, runtime::Service, std::string payload,
            runtime::Delivery) override {
    sent.push_back({to, std::move(payload)});
  }
  Receiver receiver;
  std::vector<Sent> sent;

 private:
  const std::string endpoint_ = "self:1";
  const std::string node_id_ = "gateway-1";
};

class NoTrust : public invalidation::ObjectTrust {
 public:
  bool IsFresh(const std::string&, const invalidation::ObjectVersion&) const override {
    return false;
  }
  bool CurrentVersion(const std::string&, invalidation::ObjectVersion*) const override {
    return false;
  }
};

// Services "llm" (workers w1, w2 in zone a, w3 in zone b, model "m") and "app" (s1, s2); routes
// once, often, stream and resume on host "h"; tenant "one" with key "key-one".
class TrafficTest : public testing::Test {
 protected:
  TrafficTest() : timers_(&clock_), view_(&clock_) {
    runtime_.clock = &clock_;
    runtime_.timers = &timers_;
    runtime_.random = &random_;
    runtime_.http_client = &client_;
    runtime_.transport = &transport_;
    runtime_.trace = &trace_;
    runtime_.metrics = &registry_;
    options_.gateway_id = "gateway-1";
    options_.zone = "a";
    options_.call_format = &format_;
    options_.retry_budget_slack = 1000;
    options_.gateways = [this] { return gateways_; };
    options_.peers = [] { return std::vector<LoadPeer>{{"gateway-2", "b", "other:1"}}; };
    FillFleet();
  }

  void FillFleet() {
    control::TrafficConfiguration* traffic = view_.fleet.mutable_traffic();
    view_.fleet.set_traffic_index(1);
    traffic->set_version(1);
    AddService("llm", true);
    AddService("app", false);
    AddRoute("once", control::NON_IDEMPOTENT, "app");
    AddRoute("often", control::IDEMPOTENT, "app");
    AddRoute("stream", control::STREAMING, "llm");
    AddRoute("resume", control::STREAMING, "llm")->set_resumable(true);
    control::TrafficTenant* tenant = traffic->add_tenants();
    tenant->set_name("one");
    tenant->add_keys("key-one");
    control::ModelRevision* revision = view_.fleet.add_revisions();
    revision->set_model("m");
    revision->set_revision(1);
    AddWorker("w1", "llm", "a");
    AddWorker("w2", "llm", "a");
    AddWorker("w3", "llm", "b");
    AddWorker("s1", "app", "a");
    AddWorker("s2", "app", "a");
  }

  void AddService(const std::string& name, bool engine) {
    control::TrafficService* service = view_.fleet.mutable_traffic()->add_services();
    service->set_name(name);
    if (!engine) return;
    service->set_slow_start_ms(3000);
    service->set_slow_start_requests_per_second(5);
    service->mutable_engine()->add_models("m");
    service->mutable_engine()->set_kv_token_bytes(1000);
    service->mutable_engine()->set_link_mbps(100000);
  }

  control::TrafficRoute* AddRoute(const std::string& name, control::RouteKind kind,
                                  const std::string& service) {
    control::TrafficRoute* route = view_.fleet.mutable_traffic()->add_routes();
    route->set_name(name);
    route->set_host("h");
    route->set_path_prefix("/" + name + "/");
    route->set_kind(kind);
    route->set_timeout_ms(5000);
    route->set_max_attempts(2);
    control::RouteTarget* target = route->add_targets();
    target->set_service(service);
    target->set_weight(1);
    return route;
  }

  control::Backend* AddWorker(const std::string& id, const std::string& service,
                              const std::string& zone) {
    control::Backend* backend = view_.fleet.mutable_inventory()->add_backends();
    backend->set_id(id);
    backend->set_service(service);
    backend->set_endpoint(id + ":80");
    backend->set_zone(zone);
    const bool worker = service == "llm";
    backend->set_kind(worker ? control::BACKEND_KIND_WORKER : control::BACKEND_KIND_SERVICE);
    if (worker) {
      backend->set_model("m");
      backend->set_model_revision(1);
    }
    return backend;
  }

  void Start() {
    gateway_ = std::make_unique<TrafficGateway>(&runtime_, options_, &view_, &locator_, &trust_);
    gateway_->Start();
  }

  std::shared_ptr<gateway::FakeWriter> Send(const std::string& route,
                                            const std::string& key = "key-one") {
    http::Request request;
    request.method = "POST";
    request.target = "/" + route + "/x";
    request.body = "body";
    request.headers.Add("Host", "h");
    request.headers.Add("Id", "id-" + std::to_string(++sent_));
    request.headers.Add("Key", key);
    if (route == "stream" || route == "resume") request.headers.Add("Prompt-Model", "m");
    auto writer = std::make_shared<gateway::FakeWriter>();
    gateway_->HandleRequest(std::move(request), writer);
    return writer;
  }

  gateway::FakeCall& Last() { return *client_.calls.back(); }
  // Delivers the head of a response to the last call, with the call's own id unless `id` is given.
  void Head(int status, const std::string& id = "", bool rejected = false) {
    http::Response head;
    head.status = status;
    head.headers.Add("Id", id.empty() ? Last().Field("Id") : id);
    if (rejected) head.headers.Add("Refused", "1");
    const auto call = client_.calls.back();
    if (!call->cancelled) call->observer.on_head(head);
  }
  void Respond(int status, const std::string& body) {
    const auto call = client_.calls.back();
    Head(status);
    call->Chunk(body);
    call->End();
  }

  gateway::FakeClock clock_;
  gateway::FakeTimers timers_;
  runtime::Random random_{7};
  gateway::FakeHttpClient client_;
  FakeTransport transport_;
  test_support::FakeTrace trace_;
  prometheus::Registry registry_;
  runtime::Runtime runtime_;
  gateway::FakeFleetView view_;
  gateway::FakeLocator locator_;
  NoTrust trust_;
  TestCallFormat format_;
  TrafficGatewayOptions options_;
  std::vector<std::string> gateways_ = {"gateway-1"};
  std::unique_ptr<TrafficGateway> gateway_;
  int sent_ = 0;
};

}  // namespace posthatch::routing
