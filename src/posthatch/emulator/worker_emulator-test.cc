#include "posthatch/emulator/worker_emulator.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "posthatch/emulator/emulator_world.h"
#include "posthatch/emulator/store_emulator.h"

namespace posthatch::emulator {
namespace {

using fleettest::HistoryEvent;
using ::testing::ElementsAre;

constexpr size_t kBlockBytes = 64;  // 16 tokens of 4 bytes

std::string Blocks(char letter, size_t count) { return std::string(count * kBlockBytes, letter); }

class WorkerEmulatorTest : public EmulatorWorld {
 protected:
  // A completion with header fields as a gateway sends them.
  http::Response SendCompletion(const std::string& endpoint, const std::string& prompt,
                                const std::map<std::string, std::string>& fields = {}) {
    http::Request request =
        JsonRequest("POST", "/v1/completions", R"({"max_tokens":1,"prompt":")" + prompt + "\"}");
    for (const auto& [name, value] : fields) request.headers.Add(name, value);
    return Send(endpoint, request);
  }
  http::Response SendLoadCommand(const std::string& endpoint, uint64_t revision, uint64_t token,
                                 const std::string& lease_holder) {
    http::Request request = JsonRequest(
        "POST", "/admin/load_weights",
        R"({"model":"race-7b","weights":"w","revision":)" + std::to_string(revision) + "}");
    request.headers.Add("X-Posthatch-Fencing-Token", std::to_string(token));
    request.headers.Add("X-Posthatch-Gateway", lease_holder);
    return Send(endpoint, request);
  }
  // Sequence numbers and types of the events after `after`, for example "1stored 2removed".
  std::string EventsAfter(const WorkerEmulator& worker, uint64_t after, uint64_t wait_ms = 0) {
    const boost::json::object response =
        Get(worker.endpoint(), "/kv_events?epoch=" + std::to_string(worker.epoch()) + "&after=" +
                                   std::to_string(after) + "&wait_ms=" + std::to_string(wait_ms));
    std::string text;
    for (const auto& event : response.at("events").as_array()) {
      text += (text.empty() ? "" : " ") + std::to_string(NumberField(event.as_object(), "seq")) +
              TextField(event.as_object(), "type");
    }
    return text;
  }
  static uint32_t ReusedBy(const fleettest::RunStarted& run) {
    uint32_t blocks = 0;
    for (const auto& reused : run.reused()) blocks += reused.blocks();
    return blocks;
  }
  std::vector<double> RunMilliseconds() const {
    std::map<std::string, int64_t> started;
    std::vector<double> times;
    for (const HistoryEvent& event : events) {
      if (event.has_run_started()) started[event.run_started().run()] = event.time_ns();
      if (event.has_run_ended()) {
        times.push_back((event.time_ns() - started[event.run_ended().run()]) / 1e6);
      }
    }
    return times;
  }
};

TEST_F(WorkerEmulatorTest, TimingFollowsModel) {
  WorkerEmulator* worker = BootWorker();
  const std::string prompt = Blocks('a', 10) + "rest";  // 10 blocks and a part of one
  Run({Completion(worker->endpoint(), prompt, 4, true)});
  Run({Completion(worker->endpoint(), prompt, 4, false)});
  WorkerBehaviour slow;
  slow.slow_factor = 3;
  worker->SetBehaviour(slow);
  Run({Completion(worker->endpoint(), prompt, 4, true)});
  // First run: 11 blocks at 8 ms and 4 tokens at 10 ms. Second: only the partial block is
  // prefilled. Third: as the second, slowed by 3.
  EXPECT_THAT(RunMilliseconds(), ElementsAre(88 + 40, 8 + 40, 3 * 48));
}

TEST_F(WorkerEmulatorTest, OtherRunsSlowDecoding) {
  WorkerEmulator* worker = BootWorker();
  Run({Completion(worker->endpoint(), "a", 20, true),
       Completion(worker->endpoint(), "b", 20, true)});
  for (const double time : RunMilliseconds()) EXPECT_NEAR(time, 8 + 20 * 10.5, 1.0);
}

TEST_F(WorkerEmulatorTest, ReuseNamesMakerAndSaltsSeparateBlocks) {
  WorkerEmulator* worker = BootWorker();
  const std::string prompt = Blocks('a', 5);
  const auto complete = [&](const std::string& tenant, const std::string& salt) {
    SendCompletion(worker->endpoint(), prompt,
                   {{"X-Posthatch-Tenant", tenant}, {"X-Posthatch-Cache-Salt", salt}});
  };
  complete("maker", "s1");
  complete("other", "s1");
  complete("other", "s2");
  EXPECT_EQ(ReusedBy(Starts()[0]), 0u);
  ASSERT_EQ(Starts()[1].reused_size(), 1);
  EXPECT_EQ(Starts()[1].reused(0).made_by_tenant(), "maker");
  EXPECT_EQ(Starts()[1].reused(0).blocks(), 5u);
  EXPECT_EQ(ReusedBy(Starts()[2]), 0u);

  WorkerBehaviour ignoring;
  ignoring.ignore_salt = true;
  worker->SetBehaviour(ignoring);
  complete("third", "s3");
  complete("fourth", "s4");
  EXPECT_EQ(ReusedBy(Starts()[4]), 5u);  // the tenants aren't isolated, and the history shows it
  EXPECT_EQ(Starts()[4].reused(0).made_by_tenant(), "third");
}

TEST_F(WorkerEmulatorTest, EvictsLeastRecentlyUsedAndTails) {
  WorkerSettings settings;
  settings.cache_blocks = 10;
  WorkerEmulator* worker = BootWorker(settings);
  SendCompletion(worker->endpoint(), Blocks('a', 6));
  SendCompletion(worker->endpoint(), Blocks('b', 4));
  SendCompletion(worker->endpoint(), Blocks('a', 6));  // makes b the least recently used
  SendCompletion(worker->endpoint(), Blocks('c', 2));
  EXPECT_EQ(worker->cached_blocks(), 10u);
  EXPECT_EQ(EventsAfter(*worker, 0), "1stored 2stored 3stored 4removed");
  SendCompletion(worker->endpoint(), Blocks('a', 6));
  SendCompletion(worker->endpoint(), Blocks('b', 4));
  EXPECT_EQ(ReusedBy(Starts()[4]), 6u);
  EXPECT_EQ(ReusedBy(Starts()[5]), 2u);  // the first two of b's chain are still cached
}

TEST_F(WorkerEmulatorTest, FullQueueRejects) {
  WorkerSettings settings;
  settings.max_running = 2;
  settings.max_waiting = 3;
  WorkerEmulator* worker = BootWorker(settings);
  std::vector<CallPlan> plans;
  plans.reserve(8);
  for (int i = 0; i < 8; ++i) plans.push_back(Completion(worker->endpoint(), "p", 5, false));
  std::map<uint32_t, int> statuses;
  for (const auto& ended : Run(plans)) {
    ++statuses[ended.status()];
    EXPECT_EQ(ended.executed(), ended.status() == 429 ? "no" : "");
  }
  EXPECT_EQ(statuses, (std::map<uint32_t, int>{{200, 5}, {429, 3}}));
  EXPECT_EQ(Starts().size(), 5u);
  for (const auto& run : Starts()) EXPECT_LE(run.running(), 2u);
}

TEST_F(WorkerEmulatorTest, DisconnectEndsRun) {
  WorkerEmulator* worker = BootWorker();
  CallPlan plan = Completion(worker->endpoint(), "p", 100, true);
  plan.disconnect_after = Milliseconds(200);
  EXPECT_TRUE(Run({plan})[0].caller_left());
  world.RunFor(Milliseconds(50));
  const auto ends = EventsOf(HistoryEvent::kRunEnded);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_FALSE(ends[0].run_ended().completed());
  EXPECT_EQ(ends[0].run_ended().reason(), "caller_gone");
}

TEST_F(WorkerEmulatorTest, StartAndCacheLossRaiseEpoch) {
  simulation::SimHost* host = nullptr;
  WorkerEmulator* worker = BootWorker({}, &host);
  std::vector<uint64_t> epochs = {worker->epoch()};
  SendJson(worker->endpoint(), "PUT", "/debug/behaviour", R"({"cold":true})");
  epochs.push_back(worker->epoch());
  SendCompletion(worker->endpoint(), Blocks('a', 2));
  host->Crash();
  host->Start();
  world.RunFor(Milliseconds(10));  // the client detects that its pooled connection broke
  epochs.push_back(NumberField(Get(host->http_endpoint(), "/status"), "epoch"));
  EXPECT_LT(epochs[0], epochs[1]);
  EXPECT_LT(epochs[1], epochs[2]);
  // A reader of the previous epoch gets the new one at once.
  const auto response = Get(host->http_endpoint(), "/kv_events?epoch=" + std::to_string(epochs[1]) +
                                                       "&after=1&wait_ms=1000");
  EXPECT_EQ(NumberField(response, "epoch"), epochs[2]);
  EXPECT_TRUE(response.at("events").as_array().empty());
  SendCompletion(host->http_endpoint(), Blocks('a', 2));
  EXPECT_EQ(ReusedBy(Starts().back()), 0u);
}

TEST_F(WorkerEmulatorTest, StaleFencingTokensAreRejected) {
  WorkerEmulator* worker = BootWorker();
  EXPECT_EQ(SendLoadCommand(worker->endpoint(), 1, 7, "g1").status, 202);
  EXPECT_EQ(SendLoadCommand(worker->endpoint(), 2, 6, "g2").status, 409);
  EXPECT_EQ(SendLoadCommand(worker->endpoint(), 2, 7, "g2").status, 409);
  EXPECT_EQ(SendJson(worker->endpoint(), "POST", "/admin/load_weights", R"({"revision":9})").status,
            400);
  world.RunFor(std::chrono::seconds(4));
  EXPECT_EQ(worker->model_revision(), 1u);
  EXPECT_EQ(SendLoadCommand(worker->endpoint(), 1, 7, "g1").status, 200);

  WorkerBehaviour careless;
  careless.check_fencing_tokens = false;
  worker->SetBehaviour(careless);
  EXPECT_EQ(SendLoadCommand(worker->endpoint(), 2, 6, "g2").status, 202);
  std::string obeyed;
  for (const auto& event : EventsOf(HistoryEvent::kOrderSeen)) {
    obeyed += event.order_seen().obeyed() ? '+' : '-';
  }
  EXPECT_EQ(obeyed, "+--++");
}

TEST_F(WorkerEmulatorTest, LoadingCancelsRunsAndRejects) {
  WorkerEmulator* worker = BootWorker();
  SendCompletion(worker->endpoint(), Blocks('a', 3));
  const uint64_t epoch = worker->epoch();
  JsonClient command_client(client->runtime());
  world.At(Milliseconds(100), [&] {
    http::Request request =
        JsonRequest("POST", "/admin/load_weights", R"({"model":"race-7b","revision":5})");
    request.headers.Add("X-Posthatch-Fencing-Token", "1");
    command_client.Send(worker->endpoint(), request, {},
                        [](const absl::StatusOr<http::Response>&) {});
  });
  const auto truncated = Run({Completion(worker->endpoint(), "p", 100, true)})[0];
  EXPECT_FALSE(truncated.complete());
  EXPECT_GT(truncated.pieces_size(), 0);
  EXPECT_EQ(worker->cached_blocks(), 0u);
  EXPECT_GT(worker->epoch(), epoch);

  const http::Response loading = SendCompletion(worker->endpoint(), "p");
  EXPECT_EQ(loading.status, 503);
  EXPECT_EQ(ReadCompleteResponse(503, loading.body, "", 1).code, "loading");
  world.RunFor(std::chrono::seconds(3));
  EXPECT_EQ(worker->model_revision(), 5u);
  const http::Response wrong =
      SendCompletion(worker->endpoint(), "p", {{"X-Posthatch-Model-Revision", "4"}});
  EXPECT_EQ(wrong.status, 409);
  EXPECT_EQ(ReadCompleteResponse(409, wrong.body, "", 1).executed, "no");
  EXPECT_EQ(SendCompletion(worker->endpoint(), "p", {{"X-Posthatch-Model-Revision", "5"}}).status,
            200);
  EXPECT_EQ(Starts().size(), 3u);
  EXPECT_EQ(EventsOf(HistoryEvent::kRevisionServed).back().revision_served().revision(), 5u);
}

TEST_F(WorkerEmulatorTest, EventFaultsAreInjected) {
  struct Case {
    double WorkerBehaviour::*share;
    std::string seen;  // of three "stored" events
  };
  for (const Case& wrong : {Case{&WorkerBehaviour::events_lost_share, ""},
                            Case{&WorkerBehaviour::events_silent_share, ""},
                            Case{&WorkerBehaviour::events_doubled_share,
                                 "1stored 1stored 2stored 2stored 3stored 3stored"},
                            Case{&WorkerBehaviour::events_lost_mark_share, "1lost 2lost 3lost"}}) {
    WorkerEmulator* worker = BootWorker();
    WorkerBehaviour behaviour;
    behaviour.*wrong.share = 1;
    worker->SetBehaviour(behaviour);
    for (const char letter : {'a', 'b', 'c'}) SendCompletion(worker->endpoint(), Blocks(letter, 1));
    EXPECT_EQ(EventsAfter(*worker, 0), wrong.seen);
    worker->SetBehaviour({});
    SendCompletion(worker->endpoint(), Blocks('d', 1));
    const bool silent = wrong.share == &WorkerBehaviour::events_silent_share;
    EXPECT_EQ(EventsAfter(*worker, silent ? 0 : 3), silent ? "1stored" : "4stored");
  }
}

TEST_F(WorkerEmulatorTest, EventsAreDelayedReorderedAndBounded) {
  WorkerSettings settings;
  settings.kept_events = 2;
  WorkerEmulator* worker = BootWorker(settings);
  WorkerBehaviour behaviour;
  behaviour.events_reordered_share = 1;
  worker->SetBehaviour(behaviour);
  SendCompletion(worker->endpoint(), Blocks('a', 1));
  EXPECT_EQ(EventsAfter(*worker, 0), "");
  behaviour = {};
  behaviour.events_late_ms = 500;
  worker->SetBehaviour(behaviour);
  SendCompletion(worker->endpoint(), Blocks('b', 1));
  EXPECT_EQ(EventsAfter(*worker, 1), "");
  const auto before = world.Now();
  EXPECT_EQ(EventsAfter(*worker, 1, 5000), "2stored 1stored");
  EXPECT_GT(world.Now() - before, Milliseconds(400));
  worker->SetBehaviour({});
  SendCompletion(worker->endpoint(), Blocks('c', 1));
  EXPECT_EQ(EventsAfter(*worker, 0), "1lost 2stored 1stored 3stored");
  // Without new events the poll waits as long as requested.
  const auto waiting = world.Now();
  EXPECT_EQ(EventsAfter(*worker, 3, 700), "");
  EXPECT_GE(world.Now() - waiting, Milliseconds(700));
}

struct WrongResponse {
  const char* name;
  double WorkerBehaviour::*share;
  std::string stream_fault;
  std::string complete_response_fault;
};

class WrongResponseTest : public WorkerEmulatorTest,
                          public ::testing::WithParamInterface<WrongResponse> {};

TEST_P(WrongResponseTest, CallerDetectsFault) {
  for (const bool stream : {true, false}) {
    WorkerEmulator* worker = BootWorker();
    Run({Completion(worker->endpoint(), "first", 6, stream)});
    WorkerBehaviour behaviour;
    behaviour.*GetParam().share = 1;
    behaviour.cut_at_piece = 3;
    worker->SetBehaviour(behaviour);
    Run({Completion(worker->endpoint(), "second", 6, stream)});
    const auto ended = Run({Completion(worker->endpoint(), "third", 6, stream)})[0];
    const std::string& expected =
        stream ? GetParam().stream_fault : GetParam().complete_response_fault;
    if (expected.empty()) {
      EXPECT_TRUE(ended.body_intact());
    } else if (expected == "truncated") {
      EXPECT_FALSE(ended.complete());
      EXPECT_EQ(ended.status(), 200u);
    } else {
      EXPECT_THAT(ended.fault(), ::testing::HasSubstr(expected));
      EXPECT_FALSE(ended.body_intact() && ended.echoed_nonce() == ended.nonce());
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    All, WrongResponseTest,
    ::testing::Values(
        WrongResponse{"Duplicated", &WorkerBehaviour::answers_twice_share, "another request's id",
                      "another request's id"},
        WrongResponse{"Crossed", &WorkerBehaviour::answers_crossed_share, "another request's id",
                      "another request's id"},
        WrongResponse{"CrossedBody", &WorkerBehaviour::answers_crossed_body_share,
                      "another request's id", "another request's id"},
        WrongResponse{"Truncated", &WorkerBehaviour::cut_share, "truncated", "truncated"},
        WrongResponse{"TruncatedCleanly", &WorkerBehaviour::cut_clean_share, "end without [DONE]",
                      ""},
        WrongResponse{"Repeated", &WorkerBehaviour::repeated_piece_share, "in place", ""},
        WrongResponse{"Skipped", &WorkerBehaviour::skipped_piece_share, "piece", ""}),
    [](const auto& info) { return info.param.name; });

TEST_F(WorkerEmulatorTest, CrossedResponsesEchoOtherAttempt) {
  WorkerEmulator* worker = BootWorker();
  for (const bool crossed_head : {true, false}) {
    worker->SetBehaviour({});
    SendCompletion(worker->endpoint(), "first",
                   {{"X-Posthatch-Attempt", "a1"}, {"X-Request-Id", "q1"}});
    WorkerBehaviour behaviour;
    behaviour.answers_crossed_share = crossed_head ? 1 : 0;
    behaviour.answers_crossed_body_share = crossed_head ? 0 : 1;
    worker->SetBehaviour(behaviour);
    const http::Response response = SendCompletion(
        worker->endpoint(), "second", {{"X-Posthatch-Attempt", "a2"}, {"X-Request-Id", "q2"}});
    EXPECT_EQ(response.headers.Get("X-Posthatch-Attempt") == "a2", !crossed_head);
  }
}

TEST_F(WorkerEmulatorTest, ResponsesAreDelayed) {
  WorkerEmulator* worker = BootWorker();
  SendJson(worker->endpoint(), "PUT", "/debug/behaviour",
           R"({"answers_late_ms":2000,"answers_late_share":1})");
  const auto before = world.Now();
  EXPECT_TRUE(Run({Completion(worker->endpoint(), "p", 2, true)})[0].body_intact());
  EXPECT_GT(world.Now() - before, std::chrono::seconds(2));
  EXPECT_EQ(
      SendJson(worker->endpoint(), "PUT", "/debug/behaviour", R"({"answers_late_ms":0,"typo":1})")
          .status,
      400);
  EXPECT_EQ(worker->behaviour().answers_late_ms,
            2000u);  // a request with an unknown field changes nothing
}

TEST_F(WorkerEmulatorTest, FetchesMissingBlocks) {
  StoreSettings store_settings;
  store_settings.id = "store";
  StoreEmulator* store = Boot<StoreEmulator>("store", store_settings);
  WorkerSettings settings;
  settings.id = "maker";
  settings.store_endpoint = store->endpoint();
  settings.timing.kv_bytes_per_block = 1000;
  settings.timing.link_bytes_per_second = 10000;  // 100 ms a block
  WorkerEmulator* maker = BootWorker(settings);
  settings.id = "fetcher";
  settings.store_endpoint.clear();
  WorkerEmulator* fetcher = BootWorker(settings);
  const std::string prompt = Blocks('a', 4);
  SendCompletion(maker->endpoint(), prompt,
                 {{"X-Posthatch-Tenant", "t1"}, {"X-Posthatch-Cache-Salt", "s"}});
  world.RunFor(Milliseconds(10));
  EXPECT_EQ(store->cached_blocks(), 4u);

  const auto fetch = [&](const std::string& source) {
    const auto before = world.Now();
    SendCompletion(fetcher->endpoint(), prompt,
                   {{"X-Posthatch-Tenant", "t2"},
                    {"X-Posthatch-Cache-Salt", "s"},
                    {"X-Posthatch-Kv-Source", source},
                    {"X-Posthatch-Kv-Blocks", "3"}});
    return world.Now() - before;
  };
  EXPECT_GT(fetch(maker->endpoint()), Milliseconds(300));
  ASSERT_EQ(Starts().back().reused_size(), 1);
  EXPECT_EQ(Starts().back().reused(0).fetched_from(), "maker");
  EXPECT_EQ(Starts().back().reused(0).made_by_tenant(), "t1");
  EXPECT_EQ(Starts().back().reused(0).blocks(), 3u);

  fetcher->EmulateRestart();
  fetch(store->endpoint());
  EXPECT_EQ(Starts().back().reused(0).fetched_from(), "store");
  fetcher->EmulateRestart();
  store->EmulateRestart();
  fetch(store->endpoint());
  EXPECT_EQ(Starts().back().reused_size(), 0);
  fetcher->EmulateRestart();
  fetch("10.9.9.9:1");  // unreachable: the blocks are prefilled instead
  EXPECT_EQ(Starts().back().reused_size(), 0);
  EXPECT_EQ(EventsOf(HistoryEvent::kRunEnded).size(), 5u);
}

}  // namespace
}  // namespace posthatch::emulator
