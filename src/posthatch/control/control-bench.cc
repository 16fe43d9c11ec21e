// control-bench: measures the cost of sessions and changes, with one leader and N gateways that
// only keep a session, in one thread on the simulator. Bytes are those of the payloads. CPU time is
// that of the control code alone: it includes neither the simulated network nor the system calls of
// a real process. Latencies are virtual: a simulated network of 0.2 to 2 ms each way, no CPU time.
//
//   control-bench [SESSIONS TENANTS WORKERS]...
//
// Prints one JSON line for each triple; without arguments, for the sizes of
// docs/design-docs/configuration.md.
#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/control/client/gateway_session.h"
#include "posthatch/control/server/controller_service.h"
#include "posthatch/control/server/memory_log-test.h"
#include "posthatch/control/server/static_controller_host-test.h"
#include "posthatch/control/state/commands-test.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::control {
namespace {

constexpr int kIdleSeconds = 20;
constexpr int kChanges = 100;

int64_t ThreadCpuNanoseconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * 1000000000LL + now.tv_nsec;
}

// CPU time and bytes of one group of processes.
struct Meter {
  int64_t cpu_ns = 0;
  int64_t started_ns = 0;
  int depth = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_bytes = 0;

  void Enter() {
    if (depth++ == 0) started_ns = ThreadCpuNanoseconds();
  }
  void Leave() {
    if (--depth == 0) cpu_ns += ThreadCpuNanoseconds() - started_ns;
  }
  void Run(const std::function<void()>& callback) {
    Enter();
    callback();
    Leave();
  }
  void Reset() { *this = Meter(); }
};

class MeteredTransport : public runtime::Transport {
 public:
  MeteredTransport(runtime::Transport* transport, Meter* meter)
      : transport_(transport), meter_(meter) {}
  const std::string& endpoint() const override { return transport_->endpoint(); }
  const std::string& node_id() const override { return transport_->node_id(); }
  uint64_t incarnation() const override { return transport_->incarnation(); }
  void SetReceiver(runtime::Service service, Receiver receiver) override {
    transport_->SetReceiver(
        service, [this, receiver = std::move(receiver)](const runtime::Envelope& envelope) {
          meter_->received_bytes += envelope.payload().size();
          meter_->Run([&] { receiver(envelope); });
        });
  }
  void Send(const std::string& to_endpoint, runtime::Service service, std::string payload,
            runtime::Delivery delivery) override {
    meter_->sent_bytes += payload.size();
    const int depth = meter_->depth;
    if (depth > 0) {
      meter_->depth = 1;
      meter_->Leave();
    }
    transport_->Send(to_endpoint, service, std::move(payload), delivery);
    if (depth > 0) {
      meter_->Enter();
      meter_->depth = depth;
    }
  }

 private:
  runtime::Transport* const transport_;
  Meter* const meter_;
};

class MeteredTimers : public runtime::TimerService {
 public:
  MeteredTimers(runtime::TimerService* timers, Meter* meter) : timers_(timers), meter_(meter) {}
  runtime::TimerId Schedule(runtime::Duration delay, std::function<void()> callback) override {
    return timers_->Schedule(delay,
                             [this, callback = std::move(callback)] { meter_->Run(callback); });
  }
  void Cancel(runtime::TimerId timer_id) override { timers_->Cancel(timer_id); }

 private:
  runtime::TimerService* const timers_;
  Meter* const meter_;
};

// A host's runtime with its transport and timers metered.
struct MeteredRuntime {
  MeteredRuntime(runtime::Runtime* host_runtime, Meter* meter)
      : transport(host_runtime->transport, meter),
        timers(host_runtime->timers, meter),
        runtime(*host_runtime) {
    runtime.transport = &transport;
    runtime.timers = &timers;
  }
  MeteredTransport transport;
  MeteredTimers timers;
  runtime::Runtime runtime;
};

struct Leader {
  Leader(runtime::Runtime* host_runtime, Meter* meter, MemoryCluster* cluster)
      : metered(host_runtime, meter),
        log(&metered.runtime, cluster, &state),
        service(&metered.runtime, {}, &controller_host, &log, &log, &state) {}
  MeteredRuntime metered;
  StaticControllerHost controller_host{[] { return std::vector<std::string>(); }};
  ControlState state;
  MemoryLog log;
  ControllerService service;
};

struct SessionOnlyGateway {
  SessionOnlyGateway(runtime::Runtime* host_runtime, Meter* meter, const std::string& zone,
                     const std::string& leader)
      : metered(host_runtime, meter),
        session(&metered.runtime, {.zone = zone, .client = {}},
                [leader] { return std::vector<std::string>{leader}; }) {}
  MeteredRuntime metered;
  GatewaySession session;
};

Configuration MakeConfiguration(int tenants) {
  Configuration configuration = SmallConfiguration();
  configuration.clear_tenants();
  for (int i = 0; i < tenants; ++i) {
    Tenant* tenant = configuration.add_tenants();
    tenant->set_name(absl::StrCat("tenant-", i));
    tenant->add_key_sha256(absl::StrCat(absl::Hex(i, absl::kZeroPad16), std::string(48, 'a')));
    (*tenant->mutable_labels())["class"] = "standard";
    tenant->set_rate_limit(100);
    tenant->set_burst(200);
  }
  return configuration;
}

class Bench {
 public:
  Bench(int sessions, int tenants, int workers)
      : sessions_(sessions), tenants_(tenants), workers_(workers), world_(1) {
    AddLeader();
    for (int i = 0; i < sessions; ++i) AddGateway(i);
    for (simulation::SimHost* host : world_.hosts()) host->Start();
    cluster_.Elect("10.0.0.1:7000");
    world_.RunFor(std::chrono::seconds(10));
    if (workers > 0) Change(SetInventoryCommand(workers, 0), false);
    Change(FullChange("first", 0, MakeConfiguration(tenants)), true);
    world_.RunFor(std::chrono::seconds(30));
  }

  void Print() {
    MeasureIdle();
    MeasureChanges();
    std::printf("%s\n", boost::json::serialize(result_).c_str());
    std::fflush(stdout);
  }

 private:
  void AddLeader() {
    world_.AddHost("leader", "z0", "10.0.0.1")->SetBoot([this](runtime::Runtime* runtime) {
      leader_ = std::make_shared<Leader>(runtime, &leader_meter_, &cluster_);
      return leader_;
    });
  }

  void AddGateway(int number) {
    const std::string zone = absl::StrCat("z", number % 3);
    simulation::SimHost* host =
        world_.AddHost(absl::StrCat("g", number), zone,
                       absl::StrCat("10.1.", number / 200, ".", number % 200 + 1));
    host->SetBoot([this, zone](runtime::Runtime* runtime) {
      auto gateway =
          std::make_shared<SessionOnlyGateway>(runtime, &gateway_meter_, zone, "10.0.0.1:7000");
      gateways_.push_back(gateway);
      return gateway;
    });
  }

  // Proposes `command`; returns the time until the response, in ms.
  double Change(const Command& command, bool until_in_force) {
    bool responded = false;
    const runtime::MonotonicTime start = world_.Now();
    gateways_.front()->session.Propose(command, std::chrono::seconds(60), until_in_force,
                                       [&responded](const absl::StatusOr<CommandResult>& result) {
                                         responded = true;
                                         if (!result.ok() || result->code() != CommandResult::OK)
                                           std::abort();
                                       });
    world_.RunUntil([&responded] { return responded; }, std::chrono::seconds(60));
    return runtime::ToMilliseconds(world_.Now() - start);
  }

  void MeasureIdle() {
    leader_meter_.Reset();
    gateway_meter_.Reset();
    world_.RunFor(std::chrono::seconds(kIdleSeconds));
    const double session_seconds = static_cast<double>(sessions_) * kIdleSeconds;
    result_["sessions"] = sessions_;
    result_["tenants"] = tenants_;
    result_["workers"] = workers_;
    result_["idle_bytes_up_per_session_s"] =
        static_cast<double>(gateway_meter_.sent_bytes) / session_seconds;
    result_["idle_bytes_down_per_session_s"] =
        static_cast<double>(gateway_meter_.received_bytes) / session_seconds;
    result_["idle_gateway_cpu_us_per_s"] =
        static_cast<double>(gateway_meter_.cpu_ns) / 1e3 / session_seconds;
    result_["idle_leader_cpu_us_per_session_s"] =
        static_cast<double>(leader_meter_.cpu_ns) / 1e3 / session_seconds;
    result_["idle_leader_core_percent"] =
        static_cast<double>(leader_meter_.cpu_ns) / 1e7 / kIdleSeconds;
  }

  void MeasureChanges() {
    leader_meter_.Reset();
    gateway_meter_.Reset();
    std::vector<double> latencies;
    latencies.reserve(kChanges);
    for (int i = 0; i < kChanges; ++i) {
      latencies.push_back(Change(
          PatchChange(absl::StrCat("c", i), 0, absl::StrCat("tenant-", i % tenants_), 5), true));
    }
    std::sort(latencies.begin(), latencies.end());
    result_["in_force_ms_p50"] = latencies[kChanges / 2];
    result_["in_force_ms_p99"] = latencies[kChanges * 99 / 100];
    result_["change_bytes_down_per_session"] =
        static_cast<double>(gateway_meter_.received_bytes) / (sessions_ * kChanges);
    result_["change_leader_cpu_ms"] = static_cast<double>(leader_meter_.cpu_ns) / 1e6 / kChanges;
    result_["change_gateway_cpu_us"] =
        static_cast<double>(gateway_meter_.cpu_ns) / 1e3 / (sessions_ * kChanges);
    result_["changes"] = kChanges;
  }

  const int sessions_;
  const int tenants_;
  const int workers_;
  MemoryCluster cluster_;
  Meter leader_meter_;
  Meter gateway_meter_;
  simulation::SimWorld world_;
  std::shared_ptr<Leader> leader_;
  std::vector<std::shared_ptr<SessionOnlyGateway>> gateways_;
  boost::json::object result_;
};

}  // namespace
}  // namespace posthatch::control

int main(int argument_count, char** arguments) {
  std::vector<int> sizes;
  for (int i = 1; i < argument_count; ++i) sizes.push_back(std::atoi(arguments[i]));
  if (sizes.empty()) {
    sizes = {10, 8,   18, 100, 8,   18, 400, 8,    18, 1300, 8, 18,
             20, 100, 18, 20,  400, 18, 20,  1600, 18, 20,   8, 10000};
  }
  for (size_t i = 0; i + 2 < sizes.size(); i += 3) {
    posthatch::control::Bench(sizes[i], sizes[i + 1], sizes[i + 2]).Print();
  }
  return 0;
}
