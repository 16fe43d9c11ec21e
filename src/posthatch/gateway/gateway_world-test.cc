#include <gtest/gtest.h>

#include <map>
#include <set>

#include "posthatch/emulator/caller_load.h"
#include "posthatch/emulator/emulator_world.h"
#include "posthatch/emulator/service_emulator.h"
#include "posthatch/gateway/gateway_fakes-test.h"

// Simulates two gateways in front of emulators that inject every fault, under the load of a
// deployment. The log is a fake with random delays; everything else is real.
namespace posthatch::gateway {
namespace {

using fleettest::HistoryEvent;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Delays proposals and results by a random link delay. Results for a crashed or frozen process are
// lost or delayed.
class DelayedControl : public control::ControlClient {
 public:
  DelayedControl(runtime::Runtime* runtime, FakeControl* log) : runtime_(runtime), log_(log) {}
  void Propose(control::Command command, runtime::Duration timeout, bool until_in_force,
               ProposeDone done) override {
    runtime_->timers->Schedule(Delay(), [this, command, timeout, until_in_force, done] {
      log_->Propose(command, timeout, until_in_force, [this, done](const auto& result) {
        runtime_->timers->Schedule(Delay(), [done, result] { done(result); });
      });
    });
  }

 private:
  runtime::Duration Delay() { return runtime_->random->Between(milliseconds(1), milliseconds(10)); }
  runtime::Runtime* const runtime_;
  FakeControl* const log_;
};

// A gateway process.
class GatewayProcess {
 public:
  GatewayProcess(runtime::Runtime* runtime, const std::string& endpoint,
                 const control::FleetState& state, FakeControl* log)
      : view_(runtime->clock), control_(runtime, log) {
    view_.fleet = state;
    GatewayOptions options;
    options.gateway_id = endpoint;
    options.zone = "zone-1";
    options.live_gateways = [] { return 2u; };
    gateway_ = std::make_unique<Gateway>(runtime, options, &view_, &control_, &locator_);
    server_ = *runtime->http_servers->Listen(
        endpoint, {}, [this](http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
          gateway_->HandleRequest(std::move(request), std::move(writer));
        });
  }

 private:
  FakeFleetView view_;
  DelayedControl control_;
  FakeLocator locator_;
  std::unique_ptr<Gateway> gateway_;
  std::unique_ptr<http::HttpServer> server_;
};

class GatewayWorldTest : public emulator::EmulatorWorld,
                         public testing::WithParamInterface<uint64_t> {
 protected:
  GatewayWorldTest() : EmulatorWorld(GetParam()) {
    mix_ = emulator::NilestoneMix();
    mix_.requests_per_second = 100;
    state_.set_configuration_version(1);
    state_.set_configuration_index(1);
    *state_.mutable_configuration() = emulator::ConfigurationFor(mix_, 16);
    for (const auto& tenant : state_.configuration().tenants()) {
      state_.add_isolation()->set_tenant(tenant.name());
    }
  }

  void StartBackends() {
    emulator::WorkerBehaviour worker;
    worker.answers_late_ms = 200;
    worker.answers_late_share = worker.answers_twice_share = worker.answers_crossed_share = 0.02;
    worker.answers_crossed_body_share = worker.cut_share = worker.cut_clean_share = 0.02;
    // Pieces are not skipped: streams don't state their length, so a missing last piece would be
    // undetectable.
    worker.repeated_piece_share = 0.02;
    worker.cut_at_piece = 2;
    for (int number = 1; number <= 4; ++number) {
      emulator::WorkerSettings settings;
      settings.id = absl::StrCat("worker-", number);
      BootWorker(settings, &hosts_.emplace_back())->SetBehaviour(worker);
      AddToInventory(settings.id, control::BACKEND_KIND_WORKER);
    }
    emulator::ServiceBehaviour service;
    service.answers_lost_share = service.requests_lost_share = service.answers_twice_share = 0.03;
    service.answers_crossed_share = service.answers_crossed_body_share = 0.03;
    service.answers_cut_share = service.start_late_share = 0.03;
    service.start_late_ms = 300;
    for (int number = 1; number <= 2; ++number) {
      emulator::ServiceSettings settings;
      settings.id = absl::StrCat("service-", number);
      Boot<emulator::ServiceEmulator>(settings.id, settings, &hosts_.emplace_back())
          ->SetBehaviour(service);
      AddToInventory(settings.id, control::BACKEND_KIND_SERVICE);
    }
  }

  void AddToInventory(const std::string& id, control::BackendKind kind) {
    control::Backend* backend = state_.mutable_inventory()->add_backends();
    backend->set_id(id);
    backend->set_kind(kind);
    backend->set_endpoint(hosts_.back()->http_endpoint());
    backend->set_zone("zone-1");
    if (kind == control::BACKEND_KIND_WORKER) backend->set_model("race-7b");
    if (kind == control::BACKEND_KIND_SERVICE) backend->set_service("lobby");
  }

  simulation::SimHost* StartGateway(const std::string& name) {
    simulation::SimHost* const host = AddHost(name);
    host->SetBoot([this, host](runtime::Runtime* runtime) {
      return std::make_shared<GatewayProcess>(runtime, host->http_endpoint(), state_, &log_);
    });
    host->Start();
    return host;
  }

  // Crashes and freezes gateways and back ends under continuous load.
  void RunLoad() {
    StartBackends();
    simulation::SimHost* const first = StartGateway("gateway-1");
    simulation::SimHost* const second = StartGateway("gateway-2");
    emulator::CallerLoadOptions options;
    options.mix = mix_;
    options.gateways = {first->http_endpoint(), second->http_endpoint()};
    fleettest::MemoryHistoryRecorder recorder(client->runtime()->clock, "callers", &events);
    emulator::CallerLoad load(client->runtime(), std::move(options), &recorder);
    load.Start();
    world.At(seconds(5), [first] { first->Crash(); });
    world.At(seconds(6), [first] { first->Start(); });
    world.At(seconds(8), [second] { second->Freeze(); });
    world.At(seconds(13), [second] { second->Thaw(); });
    world.At(seconds(15), [this] { hosts_[0]->Crash(); });
    world.At(seconds(17), [this] { hosts_[4]->Freeze(); });
    world.At(seconds(20), [this] { hosts_[4]->Thaw(); });
    world.RunFor(seconds(25));
    bool stopped = false;
    load.Stop([&stopped] { stopped = true; });
    EXPECT_TRUE(world.RunUntil([&stopped] { return stopped; }, std::chrono::minutes(3)));
    counts_ = load.counts();
  }

  emulator::TrafficMix mix_;
  control::FleetState state_;
  FakeControl log_;
  std::vector<simulation::SimHost*> hosts_;
  emulator::CallerLoadCounts counts_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, GatewayWorldTest, testing::Range<uint64_t>(1, 7));

TEST_P(GatewayWorldTest, InvariantsHoldUnderFaults) {
  RunLoad();
  std::map<std::string, int> starts_by_key;
  std::set<std::string> started;
  int first_attempts = 0;
  int retries = 0;
  for (const fleettest::RunStarted& run : Starts()) {
    started.insert(run.nonce());
    if (!run.idempotency_key().empty()) ++starts_by_key[run.idempotency_key()];
    ++(run.attempt_number() > 1 ? retries : first_attempts);
  }
  for (const auto& [key, starts] : starts_by_key) EXPECT_EQ(starts, 1) << "N1 " << key;
  EXPECT_GT(starts_by_key.size(), 100u);
  EXPECT_GT(retries, 0);
  EXPECT_LE(retries, first_attempts / 5) << "N11";
  std::map<std::string, std::set<uint64_t>> sends;
  for (const HistoryEvent& event : EventsOf(HistoryEvent::kCallSent)) {
    sends[event.call_sent().nonce()].insert(event.call_sent().call());
  }
  for (const HistoryEvent& event : EventsOf(HistoryEvent::kCallEnded)) {
    const fleettest::CallEnded& ended = event.call_ended();
    const bool only_send = sends[ended.nonce()].size() == 1;
    if (ended.executed() == "no" && only_send) {
      EXPECT_FALSE(started.contains(ended.nonce())) << "N2 " << ended.code();
    }
    if (ended.status() != 200 || !ended.complete()) continue;
    EXPECT_EQ(ended.echoed_nonce(), ended.nonce()) << "N3";
    EXPECT_TRUE(ended.body_intact()) << "N3 " << ended.ShortDebugString();
    EXPECT_LE(ended.piece_runs_size(), 1) << "N4";
    for (int piece = 0; piece < ended.pieces_size(); ++piece) {
      EXPECT_EQ(ended.pieces(piece), static_cast<uint32_t>(piece)) << "N4";
    }
  }
  EXPECT_GT(counts_.completed, counts_.sent * 6 / 10);
  RecordProperty("sent", static_cast<int>(counts_.sent));
  RecordProperty("completed", static_cast<int>(counts_.completed));
}

}  // namespace
}  // namespace posthatch::gateway
