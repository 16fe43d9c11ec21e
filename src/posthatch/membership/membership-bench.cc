// Measures GossipMembership in the simulator, in virtual time except for processor time, and prints
// one JSON line per figure. Deterministic but for processor time.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <ctime>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "posthatch/membership/gossip_fleet.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Envelope (node id, endpoint, incarnation), UDP and IPv4 headers of each datagram.
constexpr double kHeaderBytes = 40 + 8 + 20;
constexpr runtime::Duration kLimit = std::chrono::minutes(10);

struct Settings {
  std::vector<size_t> sizes = {10, 100, 400, 1000, 1300};
  std::vector<double> losses = {0, 0.01, 0.05, 0.2};
  uint64_t seed = 1;
  size_t failures = 20;
  int steady_seconds = 120;
};

double Seconds(runtime::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Three decimals: enough for all figures here.
double Rounded(double value) { return std::round(value * 1000) / 1000; }

double CpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

void Print(const boost::json::object& line) {
  // Numbers are written by fmt: Boost.JSON prints every double with an exponent.
  std::string text;
  for (const auto& [key, value] : line) {
    const std::string_view name(key.data(), key.size());
    text += fmt::format("{}\"{}\": {}", text.empty() ? "" : ", ", name,
                        value.is_double() ? fmt::format("{}", Rounded(value.as_double()))
                                          : boost::json::serialize(value));
  }
  std::cout << "{" << text << "}" << std::endl;
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<size_t>(quantile * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

// Runs all measurements, one after another, on a fleet of one size.
class FleetMeasurement {
 public:
  FleetMeasurement(const Settings& settings, size_t size)
      : settings_(settings), size_(size), world_(settings.seed), fleet_(&world_, size) {}

  void Run() {
    MeasureStart();
    for (const double loss : settings_.losses) MeasureSteadyState(loss);
    MeasureJoin();
    MeasureDetection();
    MeasurePauses();
    MeasurePartition();
  }

 private:
  boost::json::object Line(const char* figure) const {
    return {{"figure", figure}, {"nodes", size_}, {"seed", settings_.seed}};
  }

  // Measures the start of all nodes at once, with three seeds.
  void MeasureStart() {
    const bool converged = fleet_.RunUntilConverged(kLimit);
    boost::json::object line = Line("start_all");
    line["converged"] = converged;
    line["seconds"] = Seconds(world_.Now().time_since_epoch());
    line["bytes_per_node"] = static_cast<double>(fleet_.sent_bytes()) / static_cast<double>(size_);
    Print(line);
    world_.RunFor(seconds(60));  // the updates of the start are disseminated
  }

  void MeasureSteadyState(double loss) {
    simulation::NetworkBehaviour behaviour;
    behaviour.loss = loss;
    world_.SetNetwork(behaviour);
    fleet_.ClearFalseDeaths();
    const uint64_t bytes = fleet_.sent_bytes();
    const uint64_t datagrams = fleet_.sent_datagrams();
    const double start_cpu_seconds = CpuSeconds();
    world_.RunFor(seconds(settings_.steady_seconds));
    const double node_seconds = static_cast<double>(size_) * settings_.steady_seconds;
    const auto sent = static_cast<double>(fleet_.sent_datagrams() - datagrams);
    const auto payload = static_cast<double>(fleet_.sent_bytes() - bytes);
    boost::json::object line = Line("steady");
    line["loss"] = loss;
    line["processor_us_per_node_second"] = (CpuSeconds() - start_cpu_seconds) * 1e6 / node_seconds;
    line["datagrams_per_node_second"] = sent / node_seconds;
    line["payload_bytes_per_node_second"] = payload / node_seconds;
    line["wire_bytes_per_node_second"] = (payload + sent * kHeaderBytes) / node_seconds;
    line["false_deaths"] = fleet_.false_deaths().size();
    line["node_hours"] = node_seconds / 3600;
    Print(line);
    world_.SetNetwork({});
  }

  // Adds a node and measures until it knows all members and until all members know it.
  void MeasureJoin() {
    world_.RunFor(seconds(30));
    const runtime::MonotonicTime start = world_.Now();
    const size_t added = fleet_.Add();
    const bool knows_all =
        world_.RunUntil([&] { return fleet_.membership(added)->live_count() == size_; }, kLimit);
    const double knows_all_seconds = Seconds(world_.Now() - start);
    const bool known = fleet_.RunUntilConverged(kLimit);
    boost::json::object line = Line("join");
    line["converged"] = knows_all && known;
    line["knows_all_seconds"] = knows_all_seconds;
    line["known_to_all_seconds"] = Seconds(world_.Now() - start);
    Print(line);
  }

  // Powers nodes off one by one and measures until the first and until the last member has detected
  // each failure.
  void MeasureDetection() {
    std::vector<double> first;
    std::vector<double> last;
    size_t undetected = 0;
    for (size_t i = 0; i < settings_.failures; ++i) {
      const size_t victim = fleet_.size() - 1 - i % (fleet_.size() / 2);
      const runtime::MonotonicTime start = world_.Now();
      fleet_.host(victim)->PowerLoss();
      const auto detected = [&](size_t observer) {
        return fleet_.StateSeen(observer, victim) == MemberState::kDead;
      };
      const auto detected_by_any = [&] {
        for (size_t observer = 0; observer < fleet_.size(); ++observer) {
          if (observer != victim && detected(observer)) return true;
        }
        return false;
      };
      while (!detected_by_any() && world_.Now() - start < kLimit) world_.RunFor(milliseconds(50));
      first.push_back(Seconds(world_.Now() - start));
      if (!fleet_.RunUntilGone(victim, kLimit)) ++undetected;
      last.push_back(Seconds(world_.Now() - start));
      fleet_.host(victim)->Start();
      world_.RunFor(seconds(20));
    }
    boost::json::object line = Line("detection");
    line["failures"] = settings_.failures;
    line["unnoticed"] = undetected;
    line["first_p50_seconds"] = Quantile(first, 0.5);
    line["first_p99_seconds"] = Quantile(first, 0.99);
    line["all_p50_seconds"] = Quantile(last, 0.5);
    line["all_p99_seconds"] = Quantile(last, 0.99);
    Print(line);
  }

  // Freezes a twentieth of the nodes for 25 s; reported deaths of other nodes are false.
  void MeasurePauses() {
    std::set<std::string> paused;
    while (paused.size() < fleet_.size() / 20 + 1) {
      const size_t node = world_.random()->Uniform(fleet_.size());
      fleet_.host(node)->Freeze();
      paused.insert(fleet_.host(node)->name());
    }
    fleet_.ClearFalseDeaths();
    world_.RunFor(seconds(25));
    const runtime::MonotonicTime start = world_.Now();
    for (const std::string& name : paused) world_.FindHost(name)->Thaw();
    const bool converged = fleet_.RunUntilConverged(kLimit);
    boost::json::object line = Line("pause_25s");
    line["paused"] = paused.size();
    line["converged"] = converged;
    line["all_back_seconds"] = Seconds(world_.Now() - start);
    world_.RunFor(seconds(30));
    line["deaths_of_others"] = std::count_if(
        fleet_.false_deaths().begin(), fleet_.false_deaths().end(),
        [&](const GossipFleet::FalseDeath& death) { return !paused.contains(death.member); });
    Print(line);
  }

  // Partitions the fleet into two halves for two minutes and measures the merge.
  void MeasurePartition() {
    const size_t border = fleet_.size() / 2;
    for (size_t low = 0; low < border; ++low) {
      for (size_t high = border; high < fleet_.size(); ++high) {
        world_.Partition(fleet_.host(low)->name(), fleet_.host(high)->name());
        world_.Partition(fleet_.host(high)->name(), fleet_.host(low)->name());
      }
    }
    world_.RunFor(seconds(120));
    world_.HealAll();
    fleet_.ClearFalseDeaths();
    const uint64_t bytes = fleet_.sent_bytes();
    const runtime::MonotonicTime start = world_.Now();
    const bool converged = fleet_.RunUntilConverged(kLimit);
    const double merge_seconds = Seconds(world_.Now() - start);
    boost::json::object line = Line("split_heal");
    line["converged"] = converged;
    line["merge_seconds"] = merge_seconds;
    line["payload_bytes_per_node"] =
        static_cast<double>(fleet_.sent_bytes() - bytes) / static_cast<double>(fleet_.size());
    line["false_deaths_after_heal"] = fleet_.false_deaths().size();
    Print(line);
  }

  const Settings settings_;
  const size_t size_;
  simulation::SimWorld world_;
  GossipFleet fleet_;
};

int Main(int argc, char** argv) {
  Settings settings;
  CLI::App app{"Measures gossip membership in the simulator and prints JSON lines"};
  app.add_option("--nodes", settings.sizes, "Sizes of the fleets")->capture_default_str();
  app.add_option("--loss", settings.losses, "Fractions of datagrams lost")->capture_default_str();
  app.add_option("--seed", settings.seed, "Seed of the simulation")->capture_default_str();
  app.add_option("--failures", settings.failures, "Failures per size")->capture_default_str();
  app.add_option("--steady-seconds", settings.steady_seconds,
                 "Virtual seconds of steady state per loss")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  for (const size_t size : settings.sizes) FleetMeasurement(settings, size).Run();
  return 0;
}

}  // namespace
}  // namespace posthatch::membership

int main(int argc, char** argv) { return posthatch::membership::Main(argc, argv); }
