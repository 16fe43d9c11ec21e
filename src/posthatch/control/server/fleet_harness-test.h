#pragma once

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/control/admin/admin_api.h"
#include "posthatch/control/client/gateway_session.h"
#include "posthatch/control/server/control_history-test.h"
#include "posthatch/control/server/controller_service.h"
#include "posthatch/control/server/static_controller_host-test.h"
#include "posthatch/simulation/sim_world.h"

// A simulated control plane: controllers, gateways that continuously decide and command workers, a
// platform inventory, and an operator that sends, races and resends changes over HTTP.
namespace posthatch::control {

// A controller's log, its lease guard and their owner; created by the test.
struct LogParts {
  std::shared_ptr<void> owner;
  consensus::ReplicatedLog* log = nullptr;
  LeaderLeaseGuard* guard = nullptr;
};
using LogFactory = std::function<LogParts(runtime::Runtime*, ControlState*)>;

// Serves the operators' interface at a host's HTTP endpoint.
class AdminEndpoint {
 public:
  AdminEndpoint(runtime::Runtime* runtime, const std::string& endpoint, ControlClient* client,
                QueryClient* queries)
      : api_(runtime, {}, client, queries) {
    auto server = runtime->http_servers->Listen(
        endpoint, {},
        [this](const http::Request& request, auto writer) { api_.HandleRequest(request, writer); });
    if (server.ok()) server_ = *std::move(server);
  }

 private:
  AdminApi api_;
  std::unique_ptr<http::HttpServer> server_;
};

// A controller with its state, log and operators' interface.
struct ControllerProcess {
  ControllerProcess(runtime::Runtime* runtime, const simulation::SimHost& host,
                    const ControllerServiceOptions& options, LeaderLocator::Endpoints controllers,
                    const LogFactory& make_log)
      : controller_host(std::move(controllers)),
        log(make_log(runtime, &state)),
        service(runtime, options, &controller_host, log.log, log.guard, &state),
        admin_endpoint(runtime, host.http_endpoint(), service.client(), service.client()) {}

  StaticControllerHost controller_host;
  ControlState state;
  LogParts log;
  ControllerService service;
  AdminEndpoint admin_endpoint;
};

// A gateway that every 20 ms records a decision, and a command to each worker whose lease it holds.
struct GatewayProcess {
  GatewayProcess(runtime::Runtime* host_runtime, const simulation::SimHost& host,
                 const LeaderLocator::Endpoints& controllers, ControlHistory* control_history)
      : runtime(host_runtime),
        history(control_history),
        session(host_runtime, {.zone = host.zone(), .client = {}}, controllers),
        admin_endpoint(host_runtime, host.http_endpoint(), &session, &session),
        timer(host_runtime->timers) {
    Tick();
  }
  void Tick() {
    timer.Start(std::chrono::milliseconds(20), [this] { Tick(); });
    if (!session.LeaseValid()) return;
    const runtime::MonotonicTime now = runtime->clock->Now();
    const std::string& id = runtime->transport->node_id();
    history->RecordDecision(
        {now, id, runtime->transport->incarnation(), session.state().configuration_version()});
    for (const Backend& worker : session.state().inventory().backends()) {
      uint64_t token = 0;
      if (!session.HasLeaseOnWorker(worker.id(), &token)) continue;
      history->RecordWorkerCommand({now, worker.id(), id, token});
    }
  }

  runtime::Runtime* runtime;
  ControlHistory* history;
  GatewaySession session;
  AdminEndpoint admin_endpoint;
  runtime::Timer timer;
};

// Sends changes of one tenant each, and resends each change until it has a final result.
class OperatorProcess {
 public:
  OperatorProcess(runtime::Runtime* runtime, std::vector<std::string> nodes,
                  ControlHistory* history)
      : runtime_(runtime), nodes_(std::move(nodes)), history_(history) {}

  void Change(uint64_t expected_version) {
    const std::string id = absl::StrCat("change-", ++changes_);
    pending_changes_[id] =
        absl::StrCat(R"({"request_id":")", id, R"(","expected_version":)", expected_version,
                     R"(,"patch":{"upsert":{"tenants":[{"name":"t)", changes_ % 7, R"("}]}}})");
    Send(id);
  }
  // Sends two concurrent changes of the same version to random nodes.
  void Race() {
    const uint64_t version = newest_version_;
    Change(version);
    Change(version);
  }
  void Evacuate() {
    const std::string id = absl::StrCat("evacuate-", ++changes_);
    pending_changes_[id] =
        absl::StrCat(R"({"request_id":")", id, R"(","name":"e","selector":)",
                     R"({"requirements":[{"key":"zone","operator":"IN","values":["z1"]}]}})");
    Send(id);
  }
  size_t pending_changes() const { return pending_changes_.size(); }
  uint64_t newest_version() const { return newest_version_; }
  size_t rejected() const { return rejected_; }

  std::string excluded_node;  // gets no requests: the operator knows that it is faulty

 private:
  void Send(const std::string& id) {
    http::Request request;
    request.method = "POST";
    request.target = id[0] == 'e' ? "/admin/v1/evacuations" : "/admin/v1/configuration";
    request.body = pending_changes_.at(id);
    auto response = std::make_shared<http::Response>();
    http::CallObserver observer;
    observer.on_head = [response](const http::Response& head) { response->status = head.status; };
    observer.on_chunk = [response](const std::string& chunk) { response->body += chunk; };
    observer.on_end = [this, id, response] { OnResponse(id, *response); };
    observer.on_error = [this, id](const http::CallError&) { ScheduleResend(id); };
    http::CallOptions options;
    options.head_timeout = std::chrono::seconds(5);
    std::string node = excluded_node;
    while (node == excluded_node) node = nodes_[runtime_->random->Uniform(nodes_.size())];
    calls_[id] = runtime_->http_client->Start(node, request, options, std::move(observer));
  }
  void ScheduleResend(const std::string& id) {
    runtime_->timers->Schedule(std::chrono::milliseconds(200), [this, id] { Send(id); });
  }
  void OnResponse(const std::string& id, const http::Response& response) {
    if (response.status == 503) {
      ScheduleResend(id);
      return;
    }
    boost::json::error_code error;
    const boost::json::value body = boost::json::parse(response.body, error);
    const boost::json::value* field =
        error || !body.is_object() ? nullptr : body.get_object().if_contains("version");
    const uint64_t version = field == nullptr ? 0 : field->to_number<uint64_t>(error);
    newest_version_ = std::max(newest_version_, version);
    if (response.status == 200) {
      if (version > 0) history_->RecordAcknowledgement({runtime_->clock->Now(), id, version});
      if (!resent_.contains(id) && runtime_->random->Chance(0.3)) {
        resent_.insert(id);  // simulates a lost response
        ScheduleResend(id);
        return;
      }
    } else {
      ++rejected_;
      history_->RecordRejection(id);
    }
    pending_changes_.erase(id);
  }

  runtime::Runtime* const runtime_;
  const std::vector<std::string> nodes_;
  ControlHistory* const history_;
  std::map<std::string, std::string> pending_changes_;
  std::set<std::string> resent_;
  std::map<std::string, std::unique_ptr<http::Call>> calls_;
  uint64_t changes_ = 0;
  uint64_t newest_version_ = 0;
  size_t rejected_ = 0;
};

// Serves an inventory of `workers` workers, each draining at random, with random 429 responses.
class InventoryProcess {
 public:
  InventoryProcess(runtime::Runtime* runtime, const std::string& endpoint, int workers)
      : runtime_(runtime), workers_(workers) {
    server_ = *runtime->http_servers->Listen(
        endpoint, {}, [this](const http::Request&, auto writer) { Respond(writer.get()); });
  }

 private:
  void Respond(http::ResponseWriter* writer) {
    http::Response response;
    if (runtime_->random->Chance(0.2)) {
      response.status = 429;
      response.headers.Add("Retry-After-Ms", "700");
      writer->SendResponse(response);
      return;
    }
    boost::json::array backends;
    for (int i = 0; i < workers_; ++i) {
      backends.push_back(boost::json::object{{"id", absl::StrCat("w", i)},
                                             {"kind", "worker"},
                                             {"endpoint", "10.9.0.1:1"},
                                             {"zone", absl::StrCat("z", i % 3)},
                                             {"draining", runtime_->random->Chance(0.05)}});
    }
    response.body = boost::json::serialize(boost::json::object{{"backends", backends}});
    writer->SendResponse(response);
  }

  runtime::Runtime* const runtime_;
  const int workers_;
  std::unique_ptr<http::HttpServer> server_;
};

// Boots the hosts of a fleet in one simulated world and records its history.
class FleetHarness {
 public:
  FleetHarness(uint64_t seed, int controllers, int gateways, int workers, LogFactory make_log)
      : world(seed), make_log_(std::move(make_log)) {
    for (int i = 0; i < controllers; ++i) AddController(i);
    for (int i = 0; i < gateways; ++i) AddGateway(i);
    simulation::SimHost* inventory = world.AddHost("inventory", "z0", "10.0.3.1");
    inventory->SetBoot([inventory, workers](runtime::Runtime* runtime) {
      return std::make_shared<InventoryProcess>(runtime, inventory->http_endpoint(), workers);
    });
    std::vector<std::string> nodes;
    for (const simulation::SimHost* host : controller_hosts) nodes.push_back(host->http_endpoint());
    for (const simulation::SimHost* host : gateway_hosts) nodes.push_back(host->http_endpoint());
    world.AddHost("operator", "z0", "10.0.4.1")->SetBoot([this, nodes](runtime::Runtime* runtime) {
      auto process = std::make_shared<OperatorProcess>(runtime, nodes, &history);
      operator_process = process.get();
      return process;
    });
    for (simulation::SimHost* host : world.hosts()) host->Start();
  }

  ControllerProcess* Controller(const simulation::SimHost* host) const {
    const auto found = controllers_.find(host);
    return found == controllers_.end() || !host->running() ? nullptr : found->second.lock().get();
  }
  GatewayProcess* Gateway(const simulation::SimHost* host) const {
    const auto found = gateways_.find(host);
    return found == gateways_.end() || !host->running() ? nullptr : found->second.lock().get();
  }
  // The controller that holds the leader lease, or null.
  simulation::SimHost* Leader() const {
    for (simulation::SimHost* host : controller_hosts) {
      const ControllerProcess* process = Controller(host);
      if (process != nullptr && process->service.leading() &&
          process->log.guard->HasLeaderLease()) {
        return host;
      }
    }
    return nullptr;
  }

  simulation::SimWorld world;
  ControlHistory history;
  std::vector<simulation::SimHost*> controller_hosts;
  std::vector<simulation::SimHost*> gateway_hosts;
  OperatorProcess* operator_process = nullptr;

 private:
  std::vector<std::string> ControllerEndpoints() const {
    std::vector<std::string> endpoints;
    for (const simulation::SimHost* host : controller_hosts) {
      endpoints.push_back(host->internal_endpoint());
    }
    return endpoints;
  }
  void AddController(int number) {
    simulation::SimHost* host =
        world.AddHost(absl::StrCat("c", number), absl::StrCat("z", number % 3),
                      absl::StrCat("10.0.1.", number + 1));
    controller_hosts.push_back(host);
    host->SetBoot([this, host](runtime::Runtime* runtime) {
      ControllerServiceOptions options;
      options.inventory.endpoint = "10.0.3.1:8080";
      auto process = std::make_shared<ControllerProcess>(
          runtime, *host, options, [this] { return ControllerEndpoints(); }, make_log_);
      controllers_[host] = process;
      return process;
    });
  }
  void AddGateway(int number) {
    simulation::SimHost* host =
        world.AddHost(absl::StrCat("g", number), absl::StrCat("z", number % 3),
                      absl::StrCat("10.0.2.", number + 1));
    gateway_hosts.push_back(host);
    host->SetBoot([this, host](runtime::Runtime* runtime) {
      auto process = std::make_shared<GatewayProcess>(
          runtime, *host, [this] { return ControllerEndpoints(); }, &history);
      gateways_[host] = process;
      return process;
    });
  }

  const LogFactory make_log_;
  std::map<const simulation::SimHost*, std::weak_ptr<ControllerProcess>> controllers_;
  std::map<const simulation::SimHost*, std::weak_ptr<GatewayProcess>> gateways_;
};

}  // namespace posthatch::control
