#include "posthatch/simulation/sim_world.h"

#include <spdlog/spdlog.h>

#include <cstdlib>
#include <utility>

#include "posthatch/simulation/sim_host_impl.h"
#include "posthatch/simulation/world_core.h"

namespace posthatch::simulation {

SimWorld::SimWorld(uint64_t seed) : core_(std::make_unique<WorldCore>(seed)) {}

SimWorld::~SimWorld() {
  for (SimHost* host : hosts_) host->Crash();
  core_->queue.Clear();
}

SimHost* SimWorld::AddHost(const std::string& name, const std::string& zone, const std::string& ip,
                           uint16_t internal_port, uint16_t http_port) {
  const auto number = static_cast<uint32_t>(hosts_.size());
  owned_hosts_.push_back(
      std::make_unique<SimHostImpl>(core_.get(), number, name, zone, ip, internal_port, http_port));
  SimHostImpl* host = owned_hosts_.back().get();
  hosts_.push_back(host);
  hosts_by_name_[name] = host;
  return host;
}

SimHost* SimWorld::FindHost(const std::string& name) const {
  const auto found = hosts_by_name_.find(name);
  return found == hosts_by_name_.end() ? nullptr : found->second;
}

const std::vector<SimHost*>& SimWorld::hosts() const { return hosts_; }

runtime::MonotonicTime SimWorld::Now() const { return core_->queue.now(); }

void SimWorld::RunFor(runtime::Duration duration) {
  const runtime::MonotonicTime limit = Now() + duration;
  while (core_->queue.RunNext(limit)) {
  }
}

bool SimWorld::RunUntil(const std::function<bool()>& condition, runtime::Duration limit) {
  const runtime::MonotonicTime end = Now() + limit;
  if (condition()) return true;
  while (core_->queue.RunNext(end)) {
    if (condition()) return true;
  }
  return condition();
}

void SimWorld::At(runtime::Duration delay, std::function<void()> action) {
  core_->queue.ScheduleAfter(delay, std::move(action));
}

runtime::Random* SimWorld::random() { return &core_->random; }
uint64_t SimWorld::trace_hash() const { return core_->trace.hash(); }
uint64_t SimWorld::behaviour_hash() const { return core_->trace.behaviour_hash(); }
std::vector<std::string> SimWorld::RecentTrace() const { return core_->trace.Recent(); }

void SimWorld::SetNetwork(const NetworkBehaviour& behaviour) {
  core_->network.set_behaviour(behaviour);
}

uint32_t SimWorld::NumberOf(const std::string& host_name) const {
  const auto found = hosts_by_name_.find(host_name);
  if (found == hosts_by_name_.end()) {
    spdlog::critical("no simulated host is named '{}'", host_name);
    std::abort();
  }
  return static_cast<SimHostImpl*>(found->second)->number();
}

void SimWorld::Partition(const std::string& from, const std::string& to) {
  core_->network.Partition(NumberOf(from), NumberOf(to));
}

void SimWorld::Heal(const std::string& from, const std::string& to) {
  core_->network.Heal(NumberOf(from), NumberOf(to));
}

void SimWorld::HealAll() { core_->network.HealAll(); }

void SimWorld::SlowLink(const std::string& from, const std::string& to,
                        runtime::Duration extra_delay) {
  core_->network.SlowLink(NumberOf(from), NumberOf(to), extra_delay);
}

}  // namespace posthatch::simulation
