#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "posthatch/routing/traffic_fixture-test.h"
#include "posthatch/server/controller_node.h"
#include "posthatch/server/platform_gateway_node.h"
#include "posthatch/server/service_instances-test.h"
#include "posthatch/simulation/sim_world.h"

// A complete fleet for routed traffic in the simulator: the deployed processes (ControllerNode,
// PlatformGatewayNode), the platform's inventory, workers that load weights, and an operator.
namespace posthatch::server {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An inventory page is a serialized control::Inventory.
class TestInventoryFormat : public control::InventoryFormat {
 public:
  http::Request PageRequest(const std::string& /*page*/) const override {
    http::Request request;
    request.method = "GET";
    request.target = "/list";
    return request;
  }
  absl::StatusOr<control::InventoryPage> ParsePage(const std::string& body) const override {
    control::InventoryPage page;
    if (!page.inventory.ParseFromString(body)) return absl::InvalidArgumentError("no inventory");
    return page;
  }
  runtime::Duration RetryAfter(const http::Response& /*refusal*/) const override { return {}; }
};

// Operators send a serialized Command to /change.
class TestOperatorFormat : public control::OperatorFormat {
 public:
  control::OperatorRequest ParseRequest(const http::Request& request) const override {
    control::OperatorRequest parsed;
    if (request.target == "/read") parsed.kind = control::OperatorRequest::Kind::kReadConfiguration;
    if (request.target != "/change") return parsed;
    parsed.kind = parsed.command.ParseFromString(request.body)
                      ? control::OperatorRequest::Kind::kChange
                      : control::OperatorRequest::Kind::kMalformed;
    return parsed;
  }
  http::Response RenderMalformed(const std::string& error) const override {
    return {400, {}, error};
  }
  http::Response RenderResult(const control::Command& /*command*/,
                              const control::CommandResult& result) const override {
    return {result.code() == control::CommandResult::OK ? 200 : 412, {}, ""};
  }
  http::Response RenderConfiguration(
      const control::TrafficConfiguration& configuration) const override {
    return {200, {}, std::to_string(configuration.version())};
  }
  http::Response RenderUnavailable() const override { return {503, {}, ""}; }
};

class TestWorkerCommandFormat : public rollout::WorkerCommandFormat {
 public:
  http::Request MakeLoadWeightsRequest(const rollout::LoadWeightsCommand& command) const override {
    http::Request request;
    request.method = "POST";
    request.target = absl::StrCat("/order/", command.revision);
    return request;
  }
  rollout::WorkerCommandResult ParseCommandResult(const http::Response& head) const override {
    switch (head.status) {
      case 200:
        return rollout::WorkerCommandResult::kAlreadyServed;
      case 202:
        return rollout::WorkerCommandResult::kAccepted;
      case 409:
        return rollout::WorkerCommandResult::kBusy;
      default:
        return rollout::WorkerCommandResult::kUnknown;
    }
  }
  http::Request MakeStatusRequest(const std::string& /*worker_id*/) const override {
    http::Request request;
    request.method = "GET";
    request.target = "/report";
    return request;
  }
  absl::StatusOr<rollout::WorkerStatus> ParseStatus(const std::string& body,
                                                    const std::string& /*model*/) const override {
    rollout::WorkerStatus status;
    if (!absl::SimpleAtoi(body, &status.revision)) return absl::InvalidArgumentError("no report");
    status.busy = status.revision == 0;
    return status;
  }
};

struct TestFormats {
  TestInventoryFormat inventory;
  TestOperatorFormat operators;
  routing::TestCallFormat calls;
  TestWorkerCommandFormat worker_commands;

  PlatformFormats all() const {
    return {&inventory, &operators, &calls, index::NativeKvEventFormat(), &worker_commands};
  }
};

struct PlatformFleetPlan {
  int controllers = 9;
  int gateways = 100;
  int zones = 6;
  int workers = 40;
  int service_instances = 0;
  // Time in which a worker loads weights, and prefills one prompt; it prefills one at a time.
  runtime::Duration load_time = milliseconds(1100);
  runtime::Duration prefill_time = milliseconds(40);
  // Time that a worker takes to respond with its status.
  runtime::Duration status_time{0};
  // Routes of every configuration besides those that the tests ask for.
  int other_routes = 0;
  // Processors of the controllers and of the gateways; null: they need no processor time.
  simulation::ProcessorModel* controller_processor = nullptr;
  simulation::ProcessorModel* gateway_processor = nullptr;
};

// Start of a prompt at a worker, which then sends the first token.
struct PromptStart {
  std::string request_id;  // "GATEWAY/NUMBER"
  std::string worker_id;
  uint64_t revision = 0;
  runtime::MonotonicTime at;
};

class PlatformFleet {
 public:
  PlatformFleet(uint64_t seed, const PlatformFleetPlan& plan)
      : world(seed), instances(&world), plan_(plan) {
    for (int i = 0; i < plan.workers; ++i) AddWorker(i);
    for (int i = 0; i < plan.service_instances; ++i) instances.Add(i, ZoneOf(i), &inventory_);
    AddInventory();
    for (int i = 0; i < plan.controllers; ++i) AddController(i);
    for (int i = 0; i < plan.gateways; ++i) AddGateway(i);
    operator_ = world.AddHost("operator", "z0", "10.0.9.1");
    operator_->SetBoot([](runtime::Runtime*) { return std::make_shared<int>(0); });
    for (simulation::SimHost* host : world.hosts()) host->Start();
  }
  // Records a hash of the behaviour in the test report; builds that behave equally have equal
  // hashes.
  ~PlatformFleet() {
    testing::Test::RecordProperty("behaviour_hash",
                                  absl::StrCat(absl::Hex(world.behaviour_hash())));
  }
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  // Sends configuration `version`, with a route /vN/ for every version N up to it, to controllers
  // in turn until it is acknowledged.
  void SendConfiguration(uint64_t version) {
    control::Command command;
    control::ChangeTraffic* change = command.mutable_change_traffic();
    change->set_base_version(version - 1);
    change->set_version(version);
    control::TrafficConfiguration* configuration = change->mutable_whole();
    configuration->add_services()->set_name("llm");
    configuration->mutable_services(0)->mutable_engine()->add_models("m");
    for (uint64_t i = 1; i <= version; ++i) {
      *configuration->add_routes() = MakeRoute(absl::StrCat("v", i));
    }
    for (int i = 0; i < plan_.other_routes; ++i) {
      *configuration->add_routes() = MakeRoute(absl::StrCat("other-route-", i));
    }
    control::TrafficRoute* prompts = configuration->add_routes();
    *prompts = configuration->routes(0);
    prompts->set_name("prompt");
    prompts->set_path_prefix("/prompt/");
    prompts->set_kind(control::STREAMING);
    prompts->set_resumable(true);
    prompts->set_max_attempts(2);
    prompts->set_timeout_ms(10'000);
    if (plan_.service_instances > 0) AddServiceRoute(configuration);
    Send(absl::StrCat("change ", version), command,
         [this, version] { acknowledged[version] = world.Now(); });
  }
  // Adds the route /vN/ to the configuration N - 1, as a patch.
  void SendRoute(uint64_t version) {
    control::Command command;
    control::ChangeTraffic* change = command.mutable_change_traffic();
    change->set_base_version(version - 1);
    change->set_version(version);
    *change->mutable_patch()->mutable_upsert()->add_routes() =
        MakeRoute(absl::StrCat("v", version));
    Send(absl::StrCat("change ", version), command,
         [this, version] { acknowledged[version] = world.Now(); });
  }
  void SetRevision(uint64_t revision) {
    control::Command command;
    control::SetModelRevision* set_revision = command.mutable_set_model_revision();
    set_revision->set_model("m");
    set_revision->set_revision(revision);
    Send(absl::StrCat("revision ", revision), command,
         [this, revision] { revision_acknowledged[revision] = world.Now(); });
  }
  // Runs for `duration`, while callers send `per_second` prompts a second, each to a random
  // gateway.
  void RunWithPrompts(runtime::Duration duration, int per_second) {
    const runtime::MonotonicTime until = world.Now() + duration;
    while (world.Now() < until) {
      SendPrompt();
      world.RunFor(runtime::Duration(seconds(1)) / per_second);
    }
  }
  // Runs for `duration`, while callers send `per_second` requests a second to the service's
  // instances, each to a random gateway.
  void RunWithServiceRequests(runtime::Duration duration, int per_second) {
    const runtime::MonotonicTime until = world.Now() + duration;
    while (world.Now() < until) {
      SendServiceRequest();
      world.RunFor(runtime::Duration(seconds(1)) / per_second);
    }
  }
  // Ids of the service's requests that were answered with `status`.
  std::vector<std::string> ServiceRequestsWithStatus(int status) const {
    std::vector<std::string> ids;
    for (const auto& [id, writer] : service_writers_) {
      if (writer->responses > 0 && writer->sent_response.status == status) ids.push_back(id);
    }
    return ids;
  }
  // Describes each prompt that started on an old revision although a newer one had been
  // acknowledged for more than `bound` of uninterrupted time in which the controllers were stable.
  std::vector<std::string> OutdatedStarts(runtime::Duration bound) const {
    std::vector<std::string> late;
    for (const PromptStart& start : prompt_starts) {
      const auto newer = revision_acknowledged.upper_bound(start.revision);
      if (newer == revision_acknowledged.end()) continue;
      if (LongestStablePeriod(newer->second, start.at) <= bound) continue;
      late.push_back(absl::StrCat(start.request_id, " at ", start.worker_id, " on ", start.revision,
                                  " ", runtime::ToMilliseconds(start.at - newer->second),
                                  " ms after ", newer->first, " was acknowledged"));
    }
    return late;
  }
  // Longest period between `from` and `to` without a core event and at least `kCoreSettleTime`
  // after the previous one.
  runtime::Duration LongestStablePeriod(runtime::MonotonicTime from,
                                        runtime::MonotonicTime to) const {
    runtime::Duration longest{0};
    for (const runtime::MonotonicTime event : core_events) {
      if (event + kCoreSettleTime <= from || event >= to) continue;
      longest = std::max(longest, event - from);
      from = event + kCoreSettleTime;
    }
    return std::max(longest, to - from);
  }
  size_t CompletedPrompts() const {
    return std::count_if(writers_.begin(), writers_.end(),
                         [](const auto& writer) { return writer->finished; });
  }
  // Workers whose revision is older than `revision`.
  size_t OutdatedWorkers(uint64_t revision) const {
    size_t outdated = 0;
    for (const control::Backend& backend : inventory_.backends()) {
      const bool is_worker = backend.kind() == control::BACKEND_KIND_WORKER;
      if (is_worker && backend.model_revision() < revision) ++outdated;
    }
    return outdated;
  }

  // Newest configuration version whose route the gateway has; 0 if it has none or isn't running.
  uint64_t VersionAt(const simulation::SimHost* host) {
    const auto found = gateways_.find(host);
    if (!host->running() || found == gateways_.end()) return 0;
    const std::shared_ptr<PlatformGatewayNode> node = found->second.lock();
    uint64_t version = 0;
    while (node != nullptr && node->Ready() && HasRoute(node.get(), version + 1)) ++version;
    return version;
  }
  // The leader's host; null if no controller leads.
  simulation::SimHost* Leader() const {
    for (simulation::SimHost* host : controller_hosts) {
      const auto found = controllers_.find(host);
      if (!host->running() || found == controllers_.end()) continue;
      const std::shared_ptr<ControllerNode> node = found->second.lock();
      if (node != nullptr && node->HasLeaderLease()) return host;
    }
    return nullptr;
  }
  // The controller on `host`; null if it isn't running.
  std::shared_ptr<const ControllerNode> Controller(const simulation::SimHost* host) const {
    const auto found = controllers_.find(host);
    if (!host->running() || found == controllers_.end()) return nullptr;
    return found->second.lock();
  }
  simulation::SimHost* operator_host() const { return operator_; }
  // Partitions the controllers in `side` from the other controllers.
  void PartitionControllers(const std::set<const simulation::SimHost*>& side) {
    for (const simulation::SimHost* left : controller_hosts) {
      for (const simulation::SimHost* right : controller_hosts) {
        if (side.contains(left) != side.contains(right))
          world.Partition(left->name(), right->name());
      }
    }
  }
  // Runs for `duration`, and records the longest time after an acknowledgement for which a gateway
  // did not have the version in force.
  void RunAndRecordLag(runtime::Duration duration) {
    const runtime::MonotonicTime until = world.Now() + duration;
    while (world.Now() < until) {
      world.RunFor(milliseconds(100));
      for (const simulation::SimHost* host : gateway_hosts) RecordLag(host);
    }
  }

  simulation::SimWorld world;
  ServiceInstances instances;
  std::vector<simulation::SimHost*> controller_hosts;
  std::vector<simulation::SimHost*> gateway_hosts;
  std::vector<simulation::SimHost*> worker_hosts;
  std::map<uint64_t, runtime::MonotonicTime> acknowledged;           // keyed by version
  std::map<uint64_t, runtime::MonotonicTime> revision_acknowledged;  // keyed by revision
  std::vector<PromptStart> prompt_starts;
  // Times at which the test stopped or started a controller, ascending. The controllers count as
  // unstable for `kCoreSettleTime` after each.
  std::vector<runtime::MonotonicTime> core_events;
  runtime::Duration longest_lag{0};
  std::string slowest_gateway;
  uint64_t inventory_reads = 0;

  static constexpr runtime::Duration kCoreSettleTime = seconds(3);

 private:
  struct PendingCommand {
    std::unique_ptr<http::Call> call;
    std::unique_ptr<runtime::Timer> retry;
    size_t next_controller = 0;
  };

  // State of a simulated worker besides its inventory entry.
  struct WorkerModel {
    control::Backend* backend = nullptr;
    runtime::Runtime* runtime = nullptr;
    bool loading = false;                 // rejects prompts while loading weights
    runtime::MonotonicTime prefills_end;  // when its last prefill ends
  };

  // A random gateway; null if that one isn't ready.
  std::shared_ptr<PlatformGatewayNode> RandomGateway(const simulation::SimHost** host) {
    *host = gateway_hosts[world.random()->Uniform(gateway_hosts.size())];
    const auto found = gateways_.find(*host);
    if (!(*host)->running() || found == gateways_.end()) return nullptr;
    std::shared_ptr<PlatformGatewayNode> node = found->second.lock();
    return node != nullptr && node->Ready() ? node : nullptr;
  }
  static http::Request MakeCallerRequest(const std::string& target, const std::string& id) {
    http::Request request;
    request.method = "POST";
    request.target = target;
    request.headers.Add("Host", "h");
    request.headers.Add("Id", id);
    return request;
  }
  void SendPrompt() {
    const simulation::SimHost* host = nullptr;
    const std::shared_ptr<PlatformGatewayNode> node = RandomGateway(&host);
    if (node == nullptr) return;
    http::Request request =
        MakeCallerRequest("/prompt/x", absl::StrCat(host->name(), "/", ++prompts_sent_));
    request.headers.Add("Prompt-Model", "m");
    auto writer = std::make_shared<gateway::FakeWriter>();
    node->HandleHttp(std::move(request), writer);
    writers_.push_back(std::move(writer));
  }
  void SendServiceRequest() {
    const simulation::SimHost* host = nullptr;
    const std::shared_ptr<PlatformGatewayNode> node = RandomGateway(&host);
    if (node == nullptr) return;
    const std::string id = absl::StrCat(host->name(), "/once-", service_writers_.size());
    auto writer = std::make_shared<gateway::FakeWriter>();
    node->HandleHttp(MakeCallerRequest("/once/x", id), writer);
    service_writers_[id] = std::move(writer);
  }
  static void AddServiceRoute(control::TrafficConfiguration* configuration) {
    configuration->add_services()->set_name(ServiceInstances::kService);
    control::TrafficRoute* route = configuration->add_routes();
    *route = configuration->routes(0);
    route->set_name("once");
    route->set_path_prefix("/once/");
    route->mutable_targets(0)->set_service(ServiceInstances::kService);
  }

  static http::Response NotExecuted(const http::Request& request, int status) {
    http::Response response;
    response.status = status;
    response.headers.Add("Id", request.headers.Get("Id"));
    response.headers.Add("Refused", "1");
    return response;
  }
  // HTTP status with which the worker rejects the prompt; 0 if it can start it.
  static int RejectionStatus(const http::Request& request, const WorkerModel& worker) {
    const std::string expected(request.headers.Get("Revision"));
    if (request.headers.Get("Instance") != worker.backend->id()) return 421;
    if (expected != std::to_string(worker.backend->model_revision())) return 421;
    return worker.loading ? 503 : 0;
  }
  void ServePrompt(const http::Request& request, WorkerModel* worker,
                   const std::shared_ptr<http::ResponseWriter>& writer) {
    if (const int status = RejectionStatus(request, *worker); status != 0) {
      return writer->SendResponse(NotExecuted(request, status));
    }
    auto caller_gone = std::make_shared<bool>(false);
    writer->OnCallerDisconnected([caller_gone] { *caller_gone = true; });
    const runtime::MonotonicTime now = worker->runtime->clock->Now();
    worker->prefills_end = std::max(worker->prefills_end, now) + plan_.prefill_time;
    worker->runtime->timers->Schedule(worker->prefills_end - now,
                                      [this, request, worker, writer, caller_gone] {
                                        if (!*caller_gone)
                                          BeginPrompt(request, *worker, writer.get());
                                      });
  }
  void BeginPrompt(const http::Request& request, const WorkerModel& worker,
                   http::ResponseWriter* writer) {
    if (const int status = RejectionStatus(request, worker); status != 0) {
      return writer->SendResponse(NotExecuted(request, status));
    }
    prompt_starts.push_back({std::string(request.headers.Get("Id")), worker.backend->id(),
                             worker.backend->model_revision(), world.Now()});
    http::Response head;
    head.headers.Add("Id", request.headers.Get("Id"));
    writer->StartStream(head);
    writer->WriteChunk("id: 1\ndata: x\n\n");
    writer->FinishStream();
  }

  // A route that takes /NAME/.
  static control::TrafficRoute MakeRoute(const std::string& name) {
    control::TrafficRoute route;
    route.set_name(name);
    route.set_host("h");
    route.set_path_prefix(absl::StrCat("/", name, "/"));
    route.set_kind(control::NON_IDEMPOTENT);
    route.set_timeout_ms(1000);
    route.set_public_access(true);
    route.add_targets()->set_service("llm");
    route.mutable_targets(0)->set_weight(1);
    return route;
  }
  void RecordLag(const simulation::SimHost* host) {
    const uint64_t version = VersionAt(host);
    const auto next = acknowledged.upper_bound(version);
    if (version == 0 || next == acknowledged.end()) return;
    const runtime::Duration lag = world.Now() - next->second;
    if (lag <= longest_lag) return;
    longest_lag = lag;
    slowest_gateway = absl::StrCat(host->name(), " with ", version, " at ",
                                   runtime::ToMilliseconds(world.Now().time_since_epoch()));
  }
  static bool HasRoute(PlatformGatewayNode* node, uint64_t version) {
    http::Request request;
    request.method = "POST";
    request.target = absl::StrCat("/v", version, "/x");
    request.headers.Add("Host", "h");
    request.headers.Add("Malformed", "1");  // rejected with 400 if the gateway has the route
    auto writer = std::make_shared<gateway::FakeWriter>();
    node->HandleHttp(std::move(request), writer);
    return writer->sent_response.status == 400;
  }

  void Send(const std::string& name, const control::Command& command,
            const std::function<void()>& done) {
    PendingCommand& pending = pending_commands_[name];
    if (pending.retry == nullptr) {
      pending.retry = std::make_unique<runtime::Timer>(operator_->runtime()->timers);
      pending.next_controller = world.random()->Uniform(controller_hosts.size());
    }
    const simulation::SimHost* controller =
        controller_hosts[pending.next_controller++ % controller_hosts.size()];
    http::Request request;
    request.method = "POST";
    request.target = "/change";
    request.body = command.SerializeAsString();
    auto status = std::make_shared<int>(0);
    http::CallObserver observer;
    const auto retry = [this, name, command, done] {
      pending_commands_[name].retry->Start(
          milliseconds(100), [this, name, command, done] { Send(name, command, done); });
    };
    observer.on_head = [status](const http::Response& head) { *status = head.status; };
    observer.on_end = [status, done, retry] { *status == 200 ? done() : retry(); };
    observer.on_error = [retry](const http::CallError&) { retry(); };
    http::CallOptions options;
    options.head_timeout = seconds(1);
    pending.call = operator_->runtime()->http_client->Start(controller->http_endpoint(), request,
                                                            options, std::move(observer));
  }

  NodeSettings NodeSettingsOf(const simulation::SimHost* host) const {
    NodeSettings node;
    node.node_id = host->name();
    node.zone = host->zone();
    node.internal_endpoint = host->internal_endpoint();
    node.http_endpoint = host->http_endpoint();
    node.inventory_endpoint = "10.0.8.1:8080";
    node.data_folder = "data";
    for (int i = 0; i < 3; ++i) node.seeds.push_back(controller_hosts[i]->internal_endpoint());
    return node;
  }
  std::string ZoneOf(int number) const { return absl::StrCat("z", number % plan_.zones); }

  void AddController(int number) {
    simulation::SimHost* host = world.AddHost(absl::StrCat("core-", number), ZoneOf(number),
                                              absl::StrCat("10.0.1.", number + 1));
    controller_hosts.push_back(host);
    host->SetProcessor(plan_.controller_processor);
    host->SetBoot([this, host](runtime::Runtime* runtime) {
      ControllerSettings settings;
      settings.node = NodeSettingsOf(host);
      settings.founded_by_seeds = true;
      settings.target_voters = 9;
      formats_all_ = formats_.all();
      auto node = std::make_shared<ControllerNode>(runtime, settings, &formats_all_);
      servers_[host] = *runtime->http_servers->Listen(
          host->http_endpoint(), {},
          [node = std::weak_ptr<ControllerNode>(node)](const http::Request& request, auto writer) {
            if (const auto alive = node.lock()) alive->HandleHttp(request, writer);
          });
      EXPECT_TRUE(node->Start().ok());
      controllers_[host] = node;
      return node;
    });
  }
  void AddGateway(int number) {
    simulation::SimHost* host =
        world.AddHost(absl::StrCat("edge-", 1000 + number), ZoneOf(number),
                      absl::StrCat("10.1.", number / 200, ".", number % 200 + 1));
    gateway_hosts.push_back(host);
    host->SetProcessor(plan_.gateway_processor);
    host->SetBoot([this, host](runtime::Runtime* runtime) {
      GatewaySettings settings;
      settings.node = NodeSettingsOf(host);
      settings.drain_bound = seconds(4);
      settings.inventory_reads_per_second = 1000;
      auto node = std::make_shared<PlatformGatewayNode>(runtime, settings, formats_.all());
      EXPECT_TRUE(node->Start().ok());
      gateways_[host] = node;
      return node;
    });
  }
  void AddWorker(int number) {
    simulation::SimHost* host = world.AddHost(absl::StrCat("w", 100 + number), ZoneOf(number),
                                              absl::StrCat("10.2.0.", number + 1));
    worker_hosts.push_back(host);
    control::Backend* backend = inventory_.add_backends();
    backend->set_id(host->name());
    backend->set_kind(control::BACKEND_KIND_WORKER);
    backend->set_endpoint(host->http_endpoint());
    backend->set_zone(host->zone());
    backend->set_service("llm");
    backend->set_model("m");
    backend->set_model_revision(1);
    host->SetBoot([this, host, backend](runtime::Runtime* runtime) -> std::shared_ptr<void> {
      WorkerModel* worker = &workers_[host->name()];
      *worker = {.backend = backend, .runtime = runtime, .prefills_end = {}};
      auto server = runtime->http_servers->Listen(
          host->http_endpoint(), {}, [this, worker](const http::Request& request, auto writer) {
            HandleWorkerRequest(request, worker, writer);
          });
      return std::shared_ptr<http::HttpServer>(*std::move(server));
    });
  }
  void HandleWorkerRequest(const http::Request& request, WorkerModel* worker,
                           const std::shared_ptr<http::ResponseWriter>& writer) {
    if (request.target == "/prompt/x") return ServePrompt(request, worker, writer);
    http::Response response;
    if (absl::StartsWith(request.target, "/kv_events")) {
      response.body = R"({"epoch":1,"events":[]})";
      worker->runtime->timers->Schedule(milliseconds(700),
                                        [writer, response] { writer->SendResponse(response); });
      return;
    }
    if (absl::StartsWith(request.target, "/order/")) {
      response.status = HandleLoadCommand(std::stoull(request.target.substr(7)), worker);
    }
    if (request.target != "/report") return writer->SendResponse(response);
    response.body = std::to_string(worker->loading ? 0 : worker->backend->model_revision());
    worker->runtime->timers->Schedule(plan_.status_time,
                                      [writer, response] { writer->SendResponse(response); });
  }
  // Handles a command to load `revision`; returns the status of the response.
  int HandleLoadCommand(uint64_t revision, WorkerModel* worker) {
    if (worker->loading) return 409;
    if (worker->backend->model_revision() >= revision) return 200;
    worker->loading = true;
    worker->runtime->timers->Schedule(plan_.load_time, [worker, revision] {
      worker->backend->set_model_revision(revision);
      worker->loading = false;
    });
    return 202;
  }
  void AddInventory() {
    simulation::SimHost* host = world.AddHost("list", "z0", "10.0.8.1");
    host->SetBoot([this, host](runtime::Runtime* runtime) -> std::shared_ptr<void> {
      auto server = runtime->http_servers->Listen(
          host->http_endpoint(), {}, [this](const http::Request&, auto writer) {
            ++inventory_reads;
            writer->SendResponse({200, {}, inventory_.SerializeAsString()});
          });
      return std::shared_ptr<http::HttpServer>(*std::move(server));
    });
  }

  const PlatformFleetPlan plan_;
  const TestFormats formats_;
  PlatformFormats formats_all_;
  control::Inventory inventory_;
  std::map<std::string, WorkerModel> workers_;
  std::vector<std::shared_ptr<gateway::FakeWriter>> writers_;
  std::map<std::string, std::shared_ptr<gateway::FakeWriter>> service_writers_;  // by request id
  uint64_t prompts_sent_ = 0;
  simulation::SimHost* operator_ = nullptr;
  std::map<std::string, PendingCommand> pending_commands_;
  std::map<const simulation::SimHost*, std::weak_ptr<ControllerNode>> controllers_;
  std::map<const simulation::SimHost*, std::weak_ptr<PlatformGatewayNode>> gateways_;
  std::map<const simulation::SimHost*, std::unique_ptr<http::HttpServer>> servers_;
};

}  // namespace posthatch::server
