#include "posthatch/membership/gossip_fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::membership {
namespace {

constexpr size_t kSeeds = 3;
constexpr size_t kZones = 4;

std::string AddressOf(size_t node) {
  return absl::StrCat("10.", node / 65536, ".", node / 256 % 256, ".", node % 256);
}

}  // namespace

// A running GossipMembership of the fleet. Records its false reports of deaths and suspicions.
class GossipFleet::Process {
 public:
  Process(GossipFleet* fleet, size_t node, runtime::Runtime* runtime)
      : fleet_(fleet), node_(node), runtime_(runtime) {
    const simulation::SimHost* host = fleet->nodes_[node].host;
    Member self;
    self.node_id = host->name();
    self.zone = host->zone();
    self.region = "region";
    self.internal_endpoint = host->internal_endpoint();
    self.http_endpoint = host->http_endpoint();
    membership_ = std::make_unique<GossipMembership>(runtime, self, fleet->nodes_[node].seeds,
                                                     fleet->options_);
    membership_->AddListener([this](const Member& member) { OnChange(member); });
    fleet_->nodes_[node].process = membership_.get();
    membership_->Start();
  }
  ~Process() {
    Node& node = fleet_->nodes_[node_];
    node.process = nullptr;
    const Counts counts = CountsOf(runtime_);
    node.ended_bytes += counts.bytes;
    node.ended_datagrams += counts.datagrams;
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

 private:
  void OnChange(const Member& member) {
    const simulation::SimHost* host = fleet_->world_->FindHost(member.node_id);
    if (host == nullptr || !host->running()) return;
    if (member.state == MemberState::kSuspect) ++fleet_->false_suspicions_;
    if (member.state == MemberState::kDead) {
      fleet_->false_deaths_.push_back({node_, member.node_id, fleet_->world_->Now()});
    }
  }

  GossipFleet* const fleet_;
  const size_t node_;
  runtime::Runtime* const runtime_;
  std::unique_ptr<GossipMembership> membership_;
};

GossipFleet::GossipFleet(simulation::SimWorld* world, size_t size, GossipOptions options)
    : world_(world), options_(std::move(options)) {
  for (size_t node = 0; node < std::min(size, kSeeds); ++node) {
    seeds_.push_back(
        absl::StrCat(AddressOf(node), ":", simulation::SimWorld::kDefaultInternalPort));
  }
  for (size_t node = 0; node < size; ++node) Add();
}

GossipFleet::~GossipFleet() {
  for (const Node& node : nodes_) node.host->Crash();
}

size_t GossipFleet::AddWithSeeds(std::vector<std::string> seeds) {
  const size_t number = nodes_.size();
  simulation::SimHost* host = world_->AddHost(
      absl::StrCat("n", number), absl::StrCat("zone-", number % kZones), AddressOf(number));
  nodes_.push_back(Node{.host = host, .seeds = std::move(seeds)});
  host->SetBoot([this, number](runtime::Runtime* runtime) { return Boot(number, runtime); });
  host->Start();
  return number;
}

std::shared_ptr<void> GossipFleet::Boot(size_t node, runtime::Runtime* runtime) {
  return std::make_shared<Process>(this, node, runtime);
}

GossipFleet::Counts GossipFleet::CountsOf(runtime::Runtime* runtime) {
  Counts counts{0, 0};
  for (const prometheus::MetricFamily& family : runtime->metrics->Collect()) {
    if (family.metric.empty()) continue;
    const auto value = static_cast<uint64_t>(family.metric.front().counter.value);
    if (family.name == "posthatch_membership_sent_bytes_total") counts.bytes = value;
    if (family.name == "posthatch_membership_sent_datagrams_total") counts.datagrams = value;
  }
  return counts;
}

uint64_t GossipFleet::sent_bytes() const {
  uint64_t bytes = 0;
  for (const Node& node : nodes_) {
    bytes += node.ended_bytes;
    if (node.process != nullptr) bytes += CountsOf(node.host->runtime()).bytes;
  }
  return bytes;
}

uint64_t GossipFleet::sent_datagrams() const {
  uint64_t datagrams = 0;
  for (const Node& node : nodes_) {
    datagrams += node.ended_datagrams;
    if (node.process != nullptr) datagrams += CountsOf(node.host->runtime()).datagrams;
  }
  return datagrams;
}

MemberState GossipFleet::StateSeen(size_t observer, size_t member) const {
  const GossipMembership* process = nodes_[observer].process;
  if (process == nullptr) return MemberState::kLeft;
  return process->StateOf(nodes_[member].host->name()).value_or(MemberState::kLeft);
}

bool GossipFleet::SeesAllRunning(size_t observer) const {
  size_t running = 0;
  for (size_t member = 0; member < nodes_.size(); ++member) {
    if (member == observer || !nodes_[member].host->running()) continue;
    ++running;
    if (StateSeen(observer, member) != MemberState::kAlive) return false;
  }
  return nodes_[observer].process->live_count() == running;
}

bool GossipFleet::Converged() const {
  for (size_t observer = 0; observer < nodes_.size(); ++observer) {
    if (nodes_[observer].process != nullptr && !SeesAllRunning(observer)) return false;
  }
  return true;
}

bool GossipFleet::RunUntilConverged(runtime::Duration limit) {
  const runtime::MonotonicTime end = world_->Now() + limit;
  while (!Converged()) {
    if (world_->Now() >= end) return false;
    world_->RunFor(std::chrono::milliseconds(250));
  }
  return true;
}

bool GossipFleet::RunUntilGone(size_t member, runtime::Duration limit) {
  const runtime::MonotonicTime end = world_->Now() + limit;
  const auto reports = [&](size_t observer) {
    const MemberState state = StateSeen(observer, member);
    return nodes_[observer].process != nullptr && observer != member &&
           (state == MemberState::kAlive || state == MemberState::kSuspect);
  };
  size_t next = 0;
  while (next < nodes_.size()) {
    if (!reports(next)) {
      ++next;
      continue;
    }
    if (world_->Now() >= end) return false;
    world_->RunFor(std::chrono::milliseconds(50));
  }
  return true;
}

}  // namespace posthatch::membership
