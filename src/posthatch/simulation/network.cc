#include "posthatch/simulation/network.h"

namespace posthatch::simulation {

void Network::SlowLink(uint32_t from, uint32_t to, runtime::Duration extra_delay) {
  if (extra_delay == runtime::Duration(0)) {
    slow_links_.erase(Key(from, to));
  } else {
    slow_links_[Key(from, to)] = extra_delay;
  }
}

runtime::Duration Network::SampleDelay(uint32_t from, uint32_t to) {
  runtime::Duration delay = random_->Between(behaviour_.min_delay, behaviour_.max_delay);
  if (!slow_links_.empty()) {
    const auto found = slow_links_.find(Key(from, to));
    if (found != slow_links_.end()) delay += found->second;
  }
  return delay;
}

void Network::AddAddress(const std::string& ip, HostExecutor* host) {
  addresses_.try_emplace(ip, host);
}

HostExecutor* Network::FindTarget(const std::string& endpoint) const {
  const auto transport = transports_.find(endpoint);
  if (transport != transports_.end()) return transport->second.host;
  const auto server = servers_.find(endpoint);
  if (server != servers_.end()) return server->second.host;
  const auto address = addresses_.find(endpoint.substr(0, endpoint.rfind(':')));
  return address == addresses_.end() ? nullptr : address->second;
}

bool Network::AddTransport(const std::string& endpoint, HostExecutor* host,
                           SimTransport* transport) {
  return transports_.try_emplace(endpoint, TransportBinding{host, transport}).second;
}

void Network::RemoveTransport(const std::string& endpoint, SimTransport* transport) {
  const auto found = transports_.find(endpoint);
  if (found != transports_.end() && found->second.transport == transport) transports_.erase(found);
}

SimTransport* Network::FindTransport(const std::string& endpoint) const {
  const auto found = transports_.find(endpoint);
  return found == transports_.end() ? nullptr : found->second.transport;
}

bool Network::AddServer(const std::string& endpoint, HostExecutor* host, SimHttpServer* server) {
  return servers_.try_emplace(endpoint, ServerBinding{host, server}).second;
}

void Network::RemoveServer(const std::string& endpoint, SimHttpServer* server) {
  const auto found = servers_.find(endpoint);
  if (found != servers_.end() && found->second.server == server) servers_.erase(found);
}

SimHttpServer* Network::FindServer(const std::string& endpoint) const {
  const auto found = servers_.find(endpoint);
  return found == servers_.end() ? nullptr : found->second.server;
}

}  // namespace posthatch::simulation
