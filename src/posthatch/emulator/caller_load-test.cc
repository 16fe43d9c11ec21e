#include "posthatch/emulator/caller_load.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

#include "posthatch/emulator/emulator_world.h"
#include "posthatch/emulator/prompt_pool.h"
#include "posthatch/emulator/response_mixer.h"

namespace posthatch::emulator {
namespace {

using fleettest::HistoryEvent;

// An HTTP server that responds by calling a handler; std::nullopt breaks the connection.
class StubServer {
 public:
  using Handler = std::function<std::optional<http::Response>(const http::Request&)>;

  StubServer(runtime::Runtime* runtime, const std::string& endpoint, Handler handler) {
    server_ = *runtime->http_servers->Listen(
        endpoint, {},
        [handler = std::move(handler)](const http::Request& request,
                                       const std::shared_ptr<http::ResponseWriter>& writer) {
          std::optional<http::Response> response = handler(request);
          if (response.has_value()) {
            writer->SendResponse(*response);
          } else {
            writer->Abort();
          }
        });
  }

 private:
  std::unique_ptr<http::HttpServer> server_;
};

class CallerLoadTest : public EmulatorWorld {
 protected:
  std::string Stub(const std::string& name, const StubServer::Handler& handler) {
    simulation::SimHost* const host = AddHost(name);
    host->SetBoot([host, handler](runtime::Runtime* runtime) {
      return std::make_shared<StubServer>(runtime, host->http_endpoint(), handler);
    });
    host->Start();
    return host->http_endpoint();
  }

  // Runs a load for `duration` and then until all its calls have ended.
  CallerLoadCounts RunLoad(CallerLoadOptions options, runtime::Duration duration) {
    fleettest::MemoryHistoryRecorder recorder(client->runtime()->clock, "callers", &events);
    CallerLoad load(client->runtime(), std::move(options), &recorder);
    load.Start();
    world.RunFor(duration);
    bool stopped = false;
    load.Stop([&stopped] { stopped = true; });
    EXPECT_TRUE(world.RunUntil([&stopped] { return stopped; }, std::chrono::minutes(2)));
    EXPECT_EQ(load.counts().in_flight, 0u);
    return load.counts();
  }

  static TrafficMix OnlyKeyed() {
    TrafficMix mix = NilestoneMix();
    std::erase_if(mix.operations,
                  [](const OperationTraffic& operation) { return !operation.non_repeatable; });
    mix.disconnecting_share = mix.racing_share = mix.repeated_share = 0;
    return mix;
  }
};

http::Response PlacementResponse(const http::Request& request) {
  const std::string result = "placed";
  return JsonResponse(200, boost::json::object{{"run", "r"},
                                               {"request_id", request.headers.Get("X-Request-Id")},
                                               {"result", result},
                                               {"checksum", Checksum(result)}});
}

TEST_F(CallerLoadTest, ResponsesAreIntactAndPrefixesReused) {
  WorkerSettings settings;
  settings.max_running = 256;
  settings.max_waiting = 256;
  WorkerEmulator* worker = BootWorker(settings);
  CallerLoadOptions options;
  options.mix = NilestoneMix();
  std::erase_if(options.mix.operations, [](const OperationTraffic& operation) {
    return operation.kind == OperationKind::kService;
  });
  options.gateways = {worker->endpoint()};
  const CallerLoadCounts counts = RunLoad(options, std::chrono::seconds(60));
  EXPECT_NEAR(counts.sent, 60 * 50, 4 * std::sqrt(60 * 50));  // Poisson
  EXPECT_EQ(counts.skipped, 0u);
  uint64_t disconnected = 0;
  uint64_t first_tokens = 0;
  for (const HistoryEvent& event : EventsOf(HistoryEvent::kCallEnded)) {
    const fleettest::CallEnded& ended = event.call_ended();
    disconnected += ended.caller_left() ? 1 : 0;
    first_tokens += ended.first_token_ns() > 0 ? 1 : 0;
    if (ended.caller_left()) continue;
    EXPECT_TRUE(ended.complete() && ended.body_intact()) << ended.fault();
    EXPECT_EQ(ended.fault(), "");
    EXPECT_EQ(ended.token_gaps_ns_size(), std::max(0, ended.pieces_size() - 1));
  }
  EXPECT_GT(disconnected, 0u);
  EXPECT_GT(first_tokens, counts.sent / 2);
  uint64_t blocks = 0;
  uint64_t reused = 0;
  for (const fleettest::RunStarted& run : Starts()) {
    blocks += run.prompt_blocks();
    for (const auto& part : run.reused()) reused += part.blocks();
  }
  EXPECT_GT(reused, blocks / 2);
}

TEST_F(CallerLoadTest, LostResponsesAreResentWithSameKey) {
  const std::string failing = Stub("failing", [](const http::Request&) { return std::nullopt; });
  const std::string healthy = Stub("healthy", PlacementResponse);
  CallerLoadOptions options;
  options.mix = OnlyKeyed();
  options.gateways = {failing, healthy};
  RunLoad(options, std::chrono::seconds(10));
  std::map<std::string, std::vector<fleettest::CallSent>> sends;
  for (const auto& event : EventsOf(HistoryEvent::kCallSent)) {
    sends[event.call_sent().idempotency_key()].push_back(event.call_sent());
  }
  uint64_t resent = 0;
  for (const auto& [key, calls] : sends) {
    EXPECT_NE(key, "");
    if (calls[0].gateway() == healthy) {
      EXPECT_EQ(calls.size(), 1u);
      continue;
    }
    ++resent;
    ASSERT_EQ(calls.size(), 2u);
    EXPECT_EQ(calls[1].gateway(), healthy);
    EXPECT_EQ(calls[0].nonce(), calls[1].nonce());
    EXPECT_EQ(calls[1].send(), 2u);
  }
  EXPECT_GT(resent, sends.size() / 4);
}

TEST_F(CallerLoadTest, RejectedIsFinalUnknownIsResent) {
  std::string executed = "no";
  const std::string rejecting = Stub("rejecting", [&executed](const http::Request&) {
    http::Response rejection = JsonResponse(
        503, boost::json::object{
                 {"error", boost::json::object{{"code", "no_lease"}, {"executed", executed}}}});
    rejection.headers.Add("Retry-After", "1");
    return std::optional(rejection);
  });
  CallerLoadOptions options;
  options.mix = OnlyKeyed();
  options.gateways = {rejecting};
  CallerLoadCounts counts = RunLoad(options, std::chrono::seconds(5));
  EXPECT_EQ(counts.refused, counts.sent);
  for (const auto& event : EventsOf(HistoryEvent::kCallSent)) {
    EXPECT_EQ(event.call_sent().send(), 1u);
  }
  events.clear();
  executed = "unknown";
  const auto before = world.Now();
  options.mix.requests_per_second = 1;
  counts = RunLoad(options, std::chrono::seconds(10));
  EXPECT_EQ(counts.sent % options.mix.max_sends, 0u);
  EXPECT_EQ(EventsOf(HistoryEvent::kCallEnded).back().call_ended().retry_after_s(), 1u);
  EXPECT_GT(world.Now() - before, std::chrono::seconds(10));
}

TEST_F(CallerLoadTest, RacingAndRepeatedSendsShareKey) {
  CallerLoadOptions options;
  options.mix = OnlyKeyed();
  options.mix.racing_share = 0.5;
  options.mix.repeated_share = 0.5;
  options.gateways = {Stub("g1", PlacementResponse), Stub("g2", PlacementResponse)};
  const CallerLoadCounts counts = RunLoad(options, std::chrono::seconds(10));
  std::set<std::string> keys;
  for (const auto& event : EventsOf(HistoryEvent::kCallSent)) {
    keys.insert(event.call_sent().idempotency_key());
  }
  EXPECT_GT(counts.sent, keys.size() * 3 / 2);
  EXPECT_EQ(counts.completed, counts.sent);
}

TEST_F(CallerLoadTest, EqualSeedsGiveEqualTraffic) {
  const auto trace = [](uint64_t seed) {
    simulation::SimWorld traced_world(seed);
    simulation::SimHost* const host = traced_world.AddHost("h", "z", "10.0.0.1");
    host->SetBoot([](runtime::Runtime*) { return std::make_shared<int>(0); });
    host->Start();
    std::vector<HistoryEvent> traced_events;
    fleettest::MemoryHistoryRecorder recorder(host->runtime()->clock, "c", &traced_events);
    CallerLoadOptions options;
    options.mix = KovinarMix();
    options.gateways = {"10.0.0.9:1"};
    CallerLoad load(host->runtime(), options, &recorder);
    load.Start();
    traced_world.RunFor(std::chrono::seconds(2));
    std::string text;
    for (const HistoryEvent& event : traced_events) text += event.SerializeAsString();
    return text;
  };
  EXPECT_EQ(trace(7), trace(7));
  EXPECT_NE(trace(7), trace(8));
}

TEST(PromptPoolTest, HistoriesGrowAndHalfAreShared) {
  runtime::Random random(3);
  TenantTraffic tenant;
  tenant.name = "a";
  PromptPool pool(tenant);
  tenant.name = "b";
  PromptPool other(tenant);
  std::map<std::string, std::string> prompts;
  std::map<std::string, std::string> other_prompts;
  for (int i = 0; i < 500; ++i) {
    const PromptPool::Choice choice = pool.Next(&random);
    EXPECT_LE(choice.prompt.size(), tenant.longest_prompt_bytes);
    EXPECT_THAT(choice.prompt, ::testing::StartsWith(prompts[choice.history]));
    EXPECT_GT(choice.prompt.size(), prompts[choice.history].size());
    prompts[choice.history] = choice.prompt;
    const PromptPool::Choice others = other.Next(&random);
    other_prompts.emplace(others.history, others.prompt);
  }
  size_t common = 0;
  for (const auto& [history, prompt] : other_prompts) {
    if (!prompts.contains(history)) continue;
    ++common;
    EXPECT_THAT(prompts[history], ::testing::StartsWith(prompt.substr(0, 4096)));
  }
  EXPECT_GT(common, 0u);
  EXPECT_LT(common, other_prompts.size());
}

TEST(TrafficMixTest, PresetsMatchTheDeployments) {
  for (const char* name : {"nilestone", "kovinar"}) {
    const absl::StatusOr<TrafficMix> mix = FindMix(name);
    ASSERT_TRUE(mix.ok());
    EXPECT_EQ(mix->tenants.size(), 8u);
    double shares = 0;
    double keyed = 0;
    for (const OperationTraffic& operation : mix->operations) {
      shares += operation.share;
      if (operation.non_repeatable) keyed += operation.share;
    }
    EXPECT_NEAR(shares, 1, 1e-9);
    EXPECT_NEAR(keyed, 0.2, 1e-9);
    const control::Configuration configuration = ConfigurationFor(*mix, 16);
    EXPECT_EQ(configuration.tenants(0).key_sha256(0), KeySha256(mix->tenants[0].key));
    EXPECT_EQ(configuration.models_size(), 1);
    EXPECT_EQ(configuration.services(0).operations_size(), 2);
  }
  EXPECT_FALSE(FindMix("other").ok());
  EXPECT_EQ(KeySha256("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace posthatch::emulator
