#include "posthatch/emulator/operator_emulator.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

#include "posthatch/emulator/emulator_world.h"
#include "posthatch/emulator/key_probe.h"
#include "posthatch/emulator/response_mixer.h"
#include "posthatch/emulator/traffic_mix.h"

namespace posthatch::emulator {
namespace {

namespace json = boost::json;
using fleettest::HistoryEvent;

// A minimal fleet: all its nodes share one configuration state.
struct FakeFleet {
  uint64_t version = 1;
  std::map<std::string, uint64_t> acknowledged_versions;  // version by request id
  std::string accepted_key_sha256;
  std::function<bool()> loses_response = [] { return false; };

  std::optional<http::Response> Handle(const http::Request& request) {
    if (request.target == "/v1/completions") return Complete(request);
    if (request.method == "GET") return JsonResponse(200, Read(request.target));
    const json::object body = *ParseObject(request.body);
    const bool lost = loses_response();
    const http::Response response = Change(body);
    return lost ? std::nullopt : std::optional(response);
  }

  http::Response Change(const json::object& body) {
    const std::string id = TextField(body, "request_id");
    const uint64_t expected = NumberField(body, "expected_version");
    if (!acknowledged_versions.contains(id)) {
      if (expected != 0 && expected != version) {
        return JsonResponse(409, json::object{{"error", json::object{{"code", "version_conflict"}}},
                                              {"version", version}});
      }
      acknowledged_versions[id] = ++version;
      if (const json::object* patch = ObjectField(body, "patch")) ApplyKey(*patch);
    }
    return JsonResponse(
        200, json::object{{"acknowledged", true}, {"version", acknowledged_versions[id]}});
  }

  void ApplyKey(const json::object& patch) {
    const json::object& tenant = patch.at("upsert").at("tenants").at(0).as_object();
    const json::array* keys = ArrayField(tenant, "key_sha256");
    if (keys != nullptr) accepted_key_sha256 = std::string(keys->at(0).as_string());
  }

  json::object Read(const std::string& target) const {
    if (target == "/admin/v1/configuration") return {{"version", version}};
    if (target == "/admin/v1/evacuations") {
      return {{"evacuations", json::array{json::object{{"name", "e"}}}}};
    }
    if (target == "/admin/v1/model-revisions") {
      return {{"revisions", json::array{json::object{{"model", "m"}, {"revision", "3"}}}}};
    }
    json::array versions;
    for (const auto& [id, number] : acknowledged_versions) {
      versions.push_back(json::object{{"version", number}, {"request_id", id}});
    }
    return {{"versions", versions}};
  }

  http::Response Complete(const http::Request& request) const {
    const std::string key(request.headers.Get("Authorization").substr(7));
    if (KeySha256(key) != accepted_key_sha256) return NotExecuted(401, "unauthorized", "");
    const std::string text = ResponseText("r", 1);
    return JsonResponse(200, json::object{{"id", "r"},
                                          {"request_id", request.headers.Get("X-Request-Id")},
                                          {"choices", json::array{json::object{{"text", text}}}},
                                          {"checksum", Checksum(text)}});
  }
};

class OperatorEmulatorTest : public EmulatorWorld {
 protected:
  struct Server {
    std::unique_ptr<http::HttpServer> server;
  };
  OperatorEmulatorTest() {
    for (int i = 0; i < 3; ++i) {
      simulation::SimHost* const host = AddHost("node-" + std::to_string(i));
      host->SetBoot([this, host](runtime::Runtime* runtime) {
        auto booted = std::make_shared<Server>();
        booted->server = *runtime->http_servers->Listen(
            host->http_endpoint(), {},
            [this](const http::Request& request,
                   const std::shared_ptr<http::ResponseWriter>& writer) {
              const std::optional<http::Response> response = fleet.Handle(request);
              response.has_value() ? writer->SendResponse(*response) : writer->Abort();
            });
        return booted;
      });
      host->Start();
      options.nodes.push_back(host->http_endpoint());
    }
    recorder = std::make_unique<fleettest::MemoryHistoryRecorder>(client->runtime()->clock,
                                                                  "operator", &events);
  }

  FakeFleet fleet;
  OperatorOptions options;
  std::unique_ptr<fleettest::MemoryHistoryRecorder> recorder;
};

TEST_F(OperatorEmulatorTest, LostResponseIsRetriedUnderSameId) {
  int losses = 3;
  fleet.loses_response = [&losses] { return losses-- > 0; };
  options.repeated_share = 0;
  OperatorEmulator op(client->runtime(), options, recorder.get());
  ChangeOutcome outcome;
  op.Evacuate("e", "zone-2", false, [&outcome](const ChangeOutcome& end) { outcome = end; });
  world.RunFor(std::chrono::seconds(5));
  EXPECT_TRUE(outcome.acknowledged);
  EXPECT_EQ(outcome.version, 2u);  // applied once
  const auto sent = EventsOf(HistoryEvent::kChangeSent);
  ASSERT_EQ(sent.size(), 4u);
  for (size_t i = 1; i < sent.size(); ++i) {
    EXPECT_EQ(sent[i].change_sent().request_id(), sent[0].change_sent().request_id());
    EXPECT_NE(sent[i].change_sent().target(), sent[i - 1].change_sent().target());
  }
  EXPECT_EQ(sent[0].change_sent().kind(), "evacuate");
  EXPECT_EQ(sent[0].change_sent().detail(), "zone-2");
  EXPECT_EQ(EventsOf(HistoryEvent::kChangeAnswered).size(), 1u);
}

TEST_F(OperatorEmulatorTest, RotationsRaceAndProbesSeeAppliedKey) {
  options.racing_share = 0.5;
  options.repeated_share = 0.5;
  options.rotation_interval = std::chrono::seconds(1);
  OperatorEmulator op(client->runtime(), options, recorder.get());
  KeyProbeOptions probe_options;
  probe_options.gateways = options.nodes;
  probe_options.newest_generation = [&op] { return op.newest_generation(); };
  KeyProbe probe(client->runtime(), probe_options, recorder.get());
  op.Start();
  probe.Start();
  world.RunFor(std::chrono::seconds(60));
  bool stopped = false;
  op.Stop([&stopped] { stopped = true; });
  probe.Stop();
  EXPECT_TRUE(world.RunUntil([&stopped] { return stopped; }, std::chrono::seconds(10)));

  std::map<std::string, std::set<uint64_t>> versions;  // acknowledged ones, by request id
  uint64_t refused = 0;
  for (const auto& event : EventsOf(HistoryEvent::kChangeAnswered)) {
    const fleettest::ChangeAnswered& response = event.change_answered();
    if (response.acknowledged()) versions[response.request_id()].insert(response.version());
    if (!response.refused()) continue;
    EXPECT_EQ(response.code(), "version_conflict");
    ++refused;
  }
  EXPECT_GT(versions.size(), 20u);
  EXPECT_GT(refused, 0u);
  for (const auto& [id, distinct_versions] : versions) EXPECT_EQ(distinct_versions.size(), 1u);

  std::map<uint32_t, int> statuses;
  std::map<std::string, int> probes;
  for (const auto& event : EventsOf(HistoryEvent::kCallEnded))
    ++statuses[event.call_ended().status()];
  for (const auto& event : EventsOf(HistoryEvent::kCallSent)) {
    EXPECT_TRUE(event.call_sent().probe());
    ++probes[event.call_sent().gateway()];
  }
  EXPECT_GT(statuses[200], 100);
  EXPECT_GT(statuses[401], 100);
  EXPECT_EQ(probes.size(), 3u);
}

TEST_F(OperatorEmulatorTest, RotatesOnlyAfterAcknowledgement) {
  options.rotation_interval = std::chrono::seconds(1);
  options.racing_share = 0;
  options.max_sends = 2;
  OperatorEmulator op(client->runtime(), options, recorder.get());
  op.Start();
  world.RunFor(std::chrono::seconds(5));
  const uint64_t reached = op.newest_generation();
  EXPECT_GT(reached, 1u);
  fleet.loses_response = [] { return true; };
  world.RunFor(std::chrono::seconds(20));
  EXPECT_LE(op.newest_generation(), reached + 1);
}

TEST_F(OperatorEmulatorTest, ReadsStateFromOneNode) {
  OperatorEmulator op(client->runtime(), options, recorder.get());
  op.SetModelRevision("m", "weights \"2\"", nullptr);
  world.RunFor(std::chrono::seconds(5));
  bool read = false;
  op.ReadState(options.nodes[1], [&read](bool done) { read = done; });
  world.RunFor(std::chrono::seconds(1));
  ASSERT_TRUE(read);
  const fleettest::StateRead state = EventsOf(HistoryEvent::kStateRead).back().state_read();
  EXPECT_EQ(state.target(), options.nodes[1]);
  EXPECT_EQ(state.configuration_version(), 2u);
  EXPECT_EQ(state.request_ids_size(), 1);
  EXPECT_EQ(state.evacuations(0), "e");
  EXPECT_EQ(state.model_revisions().at("m"), 3u);
  bool read_complete = true;
  op.ReadState("10.9.9.9:1", [&read_complete](bool done) { read_complete = done; });
  world.RunFor(std::chrono::seconds(20));
  EXPECT_FALSE(read_complete);
}

}  // namespace
}  // namespace posthatch::emulator
