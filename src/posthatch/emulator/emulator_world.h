#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/json_client.h"
#include "posthatch/emulator/recorded_call.h"
#include "posthatch/emulator/worker_emulator.h"
#include "posthatch/fleettest/history/recorders.h"
#include "posthatch/simulation/sim_world.h"

// Fixture of this folder's tests: a simulated network with one host for each emulator and a client
// host that calls them.
namespace posthatch::emulator {

class EmulatorWorld : public ::testing::Test {
 protected:
  using Milliseconds = std::chrono::milliseconds;

  explicit EmulatorWorld(uint64_t seed = 1) : world(seed) {
    client = AddHost("client");
    client->SetBoot([](runtime::Runtime*) { return std::make_shared<int>(0); });
    client->Start();
  }

  simulation::SimHost* AddHost(const std::string& name) {
    return world.AddHost(name, "zone-1", "10.0.0." + std::to_string(++hosts_));
  }

  // Starts an `Emulator` on a new host and sets `settings.listen`. The returned pointer is valid
  // until the host stops.
  template <typename Emulator, typename Settings>
  Emulator* Boot(const std::string& name, Settings settings, simulation::SimHost** host = nullptr) {
    simulation::SimHost* const emulator_host = AddHost(name);
    settings.listen = emulator_host->http_endpoint();
    auto booted = std::make_shared<Emulator*>(nullptr);
    emulator_host->SetBoot([this, settings, name, booted](runtime::Runtime* runtime) {
      recorders_.push_back(
          std::make_unique<fleettest::MemoryHistoryRecorder>(runtime->clock, name, &events));
      auto instance = std::make_shared<Emulator>(runtime, settings, recorders_.back().get());
      EXPECT_TRUE(instance->Start().ok());
      *booted = instance.get();
      return instance;
    });
    emulator_host->Start();
    world.RunFor(Milliseconds(1));
    if (host != nullptr) *host = emulator_host;
    return *booted;
  }

  WorkerEmulator* BootWorker(WorkerSettings settings = {}, simulation::SimHost** host = nullptr) {
    if (settings.id.empty()) settings.id = "worker-" + std::to_string(hosts_);
    return Boot<WorkerEmulator>(settings.id, settings, host);
  }

  // Sends a request from the client host and waits for its end.
  http::Response Send(const std::string& endpoint, http::Request request) {
    JsonClient json_client(client->runtime());
    absl::StatusOr<http::Response> result = absl::UnknownError("call has not ended");
    json_client.Send(
        endpoint, std::move(request), {},
        [&result](const absl::StatusOr<http::Response>& response) { result = response; });
    world.RunUntil([&json_client] { return json_client.in_flight() == 0; },
                   std::chrono::minutes(2));
    http::Response broken;
    broken.status = 0;
    return result.ok() ? *result : broken;
  }
  http::Response SendJson(const std::string& endpoint, const std::string& method,
                          const std::string& target, const std::string& body) {
    return Send(endpoint, JsonRequest(method, target, body));
  }
  boost::json::object Get(const std::string& endpoint, const std::string& target) {
    return *ParseObject(SendJson(endpoint, "GET", target, "").body);
  }

  // A caller's plan for a completion sent directly to a worker.
  CallPlan Completion(const std::string& endpoint, const std::string& prompt, uint32_t tokens,
                      bool stream) {
    CallPlan plan;
    plan.target = "/v1/completions";
    plan.body = R"({"prompt":")" + prompt + R"(","max_tokens":)" + std::to_string(tokens) +
                R"(,"stream":)" + (stream ? "true}" : "false}");
    plan.sent.set_gateway(endpoint);
    plan.sent.set_call(++calls_);
    plan.sent.set_nonce("nonce-" + std::to_string(calls_));
    plan.sent.set_stream(stream);
    plan.sent.set_expected_pieces(tokens);
    return plan;
  }

  // Makes the planned calls concurrently and returns their CallEnded, in the order of `plans`.
  std::vector<fleettest::CallEnded> Run(std::vector<CallPlan> plans) {
    std::vector<fleettest::CallEnded> ended(plans.size());
    std::vector<std::unique_ptr<RecordedCall>> running;
    size_t open = plans.size();
    fleettest::MemoryHistoryRecorder recorder(client->runtime()->clock, "client", &events);
    for (size_t i = 0; i < plans.size(); ++i) {
      running.push_back(std::make_unique<RecordedCall>(client->runtime(), &recorder, plans[i],
                                                       [&, i](const fleettest::CallEnded& end) {
                                                         ended[i] = end;
                                                         --open;
                                                       }));
      running.back()->Start();
    }
    EXPECT_TRUE(world.RunUntil([&open] { return open == 0; }, std::chrono::minutes(2)));
    return ended;
  }

  // The events of one kind so far, in order of time.
  std::vector<fleettest::HistoryEvent> EventsOf(fleettest::HistoryEvent::EventCase kind) const {
    std::vector<fleettest::HistoryEvent> found;
    for (const fleettest::HistoryEvent& event : events) {
      if (event.event_case() == kind) found.push_back(event);
    }
    return found;
  }
  std::vector<fleettest::RunStarted> Starts() const {
    std::vector<fleettest::RunStarted> starts;
    for (const auto& event : EventsOf(fleettest::HistoryEvent::kRunStarted)) {
      starts.push_back(event.run_started());
    }
    return starts;
  }

  simulation::SimWorld world;
  simulation::SimHost* client = nullptr;
  std::vector<fleettest::HistoryEvent> events;

 private:
  int hosts_ = 0;
  uint64_t calls_ = 0;
  std::vector<std::unique_ptr<fleettest::MemoryHistoryRecorder>> recorders_;
};

}  // namespace posthatch::emulator
