// Prints commits per second and commit latency of 3 and 5 replicas on loopback with real syncs, the
// plain sync rate of the same disk for comparison, and how long writes are interrupted when the
// leader is killed. A "kill" destroys the replica without notifying the others; it restarts from
// its data directory.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "posthatch/consensus/raft_replica.h"
#include "posthatch/net/asio_runtime.h"

namespace posthatch::consensus {
namespace {

using std::chrono::steady_clock;

constexpr runtime::Duration kRetryDelay = std::chrono::milliseconds(10);

struct Settings {
  std::string folder = "consensus-bench-data";
  double seconds = 3;
  int kills = 50;
  int command_bytes = 256;
};

class CountingStateMachine : public StateMachine {
 public:
  std::string Apply(uint64_t, uint64_t, const std::string&) override {
    ++count_;
    return std::string();
  }
  std::string TakeSnapshot() const override { return std::to_string(count_); }
  absl::Status RestoreSnapshot(const std::string& snapshot) override {
    count_ = std::stoull(snapshot);
    return absl::OkStatus();
  }

 private:
  uint64_t count_ = 0;
};

// A controller: a runtime with its own thread, and the replica that runs on that thread.
class Controller {
 public:
  Controller(const std::string& folder, size_t number) {
    net::AsioRuntimeOptions options;
    options.node_id = fmt::format("controller{}", number);
    options.internal_endpoint = "127.0.0.1:0";
    options.data_folder = fmt::format("{}/{}", folder, number);
    options.log_file = fmt::format("{}/{}.log", folder, number);
    options.log_level = runtime::Severity::kError;
    absl::StatusOr<std::unique_ptr<net::AsioRuntime>> created = net::AsioRuntime::Create(options);
    if (!created.ok()) throw std::runtime_error(created.status().ToString());
    runtime_ = *std::move(created);
    thread_ = std::thread([this] { runtime_->Run(); });
  }
  ~Controller() {
    Kill();
    runtime_->Stop();
    thread_.join();
  }
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Runs `action` on the event loop thread and waits until it returns.
  void RunOnLoop(const std::function<void()>& action) {
    std::promise<void> done;
    runtime_->Post([&action, &done] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }
  std::string endpoint() { return runtime_->runtime()->transport->endpoint(); }
  runtime::Runtime* runtime() { return runtime_->runtime(); }
  RaftReplica* replica() { return replica_.get(); }

  void Start(const std::vector<std::string>& peers) {
    RunOnLoop([this, &peers] {
      state_machine_ = std::make_unique<CountingStateMachine>();
      ReplicaOptions options;
      options.bootstrap_expect = peers.size();
      options.raft.target_voters = peers.size();
      options.peers = [peers] { return peers; };
      replica_ = std::make_unique<RaftReplica>(runtime(), options, state_machine_.get());
      const absl::Status started = replica_->Start();
      if (!started.ok()) fmt::print(stderr, "start: {}\n", started.ToString());
    });
  }
  void Kill() {
    RunOnLoop([this] {
      replica_.reset();
      state_machine_.reset();
    });
  }
  bool IsLeader() {
    bool is_leader = false;
    RunOnLoop([this, &is_leader] { is_leader = replica_ != nullptr && replica_->IsLeader(); });
    return is_leader;
  }

 private:
  std::unique_ptr<net::AsioRuntime> runtime_;
  std::unique_ptr<CountingStateMachine> state_machine_;
  std::unique_ptr<RaftReplica> replica_;
  std::thread thread_;
};

void PrintLatencies(const std::string& label, std::vector<double> milliseconds, double seconds) {
  if (milliseconds.empty()) return fmt::print("{:<36} no samples\n", label);
  std::sort(milliseconds.begin(), milliseconds.end());
  const auto percentile = [&milliseconds](double fraction) {
    return milliseconds[static_cast<size_t>(fraction *
                                            static_cast<double>(milliseconds.size() - 1))];
  };
  fmt::print("{:<36} {:>9.0f}/s  p50 {:>8.2f} ms  p95 {:>8.2f} ms  p99 {:>8.2f} ms\n", label,
             static_cast<double>(milliseconds.size()) / seconds, percentile(0.5), percentile(0.95),
             percentile(0.99));
}

double MillisecondsSince(steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - start).count();
}

// Runs closed-loop clients that repeat `call` on the controller's event loop. Run returns the
// latencies of accepted calls in milliseconds.
class ClosedLoop {
 public:
  using Done = std::function<void(bool accepted)>;
  ClosedLoop(Controller* controller, std::function<void(Done)> call)
      : controller_(controller), call_(std::move(call)) {}

  std::vector<double> Run(int clients, double seconds) {
    controller_->RunOnLoop([this, clients] {
      for (int i = 0; i < clients; ++i) Next();
    });
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    std::vector<double> milliseconds;
    controller_->RunOnLoop([this, &milliseconds] {
      stopped_ = true;
      milliseconds = milliseconds_;
    });
    while (running_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return milliseconds;
  }

 private:
  void Next() {
    ++running_;
    const steady_clock::time_point start = steady_clock::now();
    call_([this, start](bool accepted) {
      if (accepted) milliseconds_.push_back(MillisecondsSince(start));
      if (!stopped_ && accepted) Next();
      if (!stopped_ && !accepted) {
        controller_->runtime()->timers->Schedule(kRetryDelay, [this] {
          Next();
          --running_;
        });
        return;
      }
      --running_;
    });
  }
  Controller* const controller_;
  const std::function<void(Done)> call_;
  std::vector<double> milliseconds_;
  bool stopped_ = false;
  std::atomic<int> running_{0};
};

void MeasureSync(const Settings& settings) {
  Controller controller(settings.folder + "/sync", 0);
  const std::string data(static_cast<size_t>(settings.command_bytes), 'x');
  ClosedLoop loop(&controller, [&controller, data](ClosedLoop::Done done) {
    using Kind = runtime::FileOperation::Kind;
    controller.runtime()->file_system->Submit(
        {{Kind::kAppend, "file", data, "", 0}, {Kind::kSync, "file", "", "", 0}},
        [done = std::move(done)](const absl::Status& status) { done(status.ok()); });
  });
  PrintLatencies("append and sync without consensus", loop.Run(1, settings.seconds),
                 settings.seconds);
}

class Cluster {
 public:
  Cluster(const std::string& folder, size_t size) {
    for (size_t i = 0; i < size; ++i) {
      controllers_.push_back(std::make_unique<Controller>(folder, i));
      peers_.push_back(controllers_.back()->endpoint());
    }
    for (auto& controller : controllers_) controller->Start(peers_);
  }
  Controller* WaitForLeader() {
    while (true) {
      for (auto& controller : controllers_) {
        if (controller->IsLeader()) return controller.get();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }
  const std::vector<std::string>& peers() const { return peers_; }

  bool Write(Controller* controller) {
    auto outcome = std::make_shared<std::promise<bool>>();
    std::future<bool> accepted = outcome->get_future();
    controller->RunOnLoop([controller, outcome] {
      if (controller->replica() == nullptr) return outcome->set_value(false);
      controller->replica()->Propose("x", [outcome](const absl::StatusOr<std::string>& result) {
        outcome->set_value(result.ok());
      });
    });
    return accepted.wait_for(std::chrono::seconds(5)) == std::future_status::ready &&
           accepted.get();
  }

 private:
  std::vector<std::unique_ptr<Controller>> controllers_;
  std::vector<std::string> peers_;
};

void MeasureCommits(const Settings& settings, size_t size) {
  Cluster cluster(fmt::format("{}/commits{}", settings.folder, size), size);
  const std::string command(static_cast<size_t>(settings.command_bytes), 'x');
  for (int clients : {1, 256}) {
    Controller* leader = cluster.WaitForLeader();
    ClosedLoop loop(leader, [leader, command](ClosedLoop::Done done) {
      leader->replica()->Propose(
          command, [done = std::move(done)](const auto& outcome) { done(outcome.ok()); });
    });
    PrintLatencies(fmt::format("{} replicas, {} clients", size, clients),
                   loop.Run(clients, settings.seconds), settings.seconds);
  }
}

void MeasureFailover(const Settings& settings, size_t size) {
  Cluster cluster(fmt::format("{}/failover{}", settings.folder, size), size);
  std::vector<double> milliseconds;
  for (int i = 0; i < settings.kills; ++i) {
    Controller* leader = cluster.WaitForLeader();
    if (!cluster.Write(leader)) continue;
    const steady_clock::time_point killed = steady_clock::now();
    leader->Kill();
    while (!cluster.Write(cluster.WaitForLeader())) {
    }
    milliseconds.push_back(MillisecondsSince(killed));
    leader->Start(cluster.peers());
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  PrintLatencies(fmt::format("{} replicas, leader killed", size), milliseconds,
                 static_cast<double>(settings.kills));
}

}  // namespace
}  // namespace posthatch::consensus

int main(int argc, char** argv) {
  posthatch::consensus::Settings settings;
  CLI::App app("Commit rate and failover time of the replicated log with real syncs");
  app.add_option("--folder", settings.folder, "Data folder; removed at the end");
  app.add_option("--seconds", settings.seconds, "Duration of each measurement in seconds");
  app.add_option("--kills", settings.kills,
                 "Number of leaders to kill, with 3 and with 5 replicas each");
  app.add_option("--command-bytes", settings.command_bytes, "Size of each command in bytes");
  CLI11_PARSE(app, argc, argv);
  std::filesystem::create_directories(settings.folder);
  posthatch::consensus::MeasureSync(settings);
  for (size_t size : {3, 5}) posthatch::consensus::MeasureCommits(settings, size);
  for (size_t size : {3, 5}) posthatch::consensus::MeasureFailover(settings, size);
  std::filesystem::remove_all(settings.folder);
  return 0;
}
