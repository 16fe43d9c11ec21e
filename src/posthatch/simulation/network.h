#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/runtime/random.h"
#include "posthatch/simulation/host_executor.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::simulation {

class SimHttpServer;
class SimTransport;

// Links between hosts, and the registry of listeners. Hosts are identified by their numbers. The
// hash maps are only looked up, never iterated, so their order can't influence a run. Owned by
// WorldCore.
class Network {
 public:
  explicit Network(runtime::Random* random) : random_(random) {}

  void set_behaviour(const NetworkBehaviour& behaviour) { behaviour_ = behaviour; }
  const NetworkBehaviour& behaviour() const { return behaviour_; }

  void Partition(uint32_t from, uint32_t to) { partitions_.insert(Key(from, to)); }
  void Heal(uint32_t from, uint32_t to) { partitions_.erase(Key(from, to)); }
  void HealAll() { partitions_.clear(); }
  void SlowLink(uint32_t from, uint32_t to, runtime::Duration extra_delay);

  // Whether messages from one host to another are blocked at the moment.
  bool IsPartitioned(uint32_t from, uint32_t to) const {
    return !partitions_.empty() && partitions_.contains(Key(from, to));
  }
  // A random delay for one message.
  runtime::Duration SampleDelay(uint32_t from, uint32_t to);

  // The first host added with an IP address responds for the ports that nobody listens on.
  void AddAddress(const std::string& ip, HostExecutor* host);
  // The host that responds at "ip:port": the listener, else the owner of the ip, else null.
  HostExecutor* FindTarget(const std::string& endpoint) const;

  // AddTransport and AddServer return false if the endpoint is in use.
  bool AddTransport(const std::string& endpoint, HostExecutor* host, SimTransport* transport);
  void RemoveTransport(const std::string& endpoint, SimTransport* transport);
  SimTransport* FindTransport(const std::string& endpoint) const;
  bool AddServer(const std::string& endpoint, HostExecutor* host, SimHttpServer* server);
  void RemoveServer(const std::string& endpoint, SimHttpServer* server);
  SimHttpServer* FindServer(const std::string& endpoint) const;

 private:
  // The listener at an endpoint.
  struct TransportBinding {
    HostExecutor* host;
    SimTransport* transport;
  };
  struct ServerBinding {
    HostExecutor* host;
    SimHttpServer* server;
  };

  // Key of the link from one host to another, in this direction.
  static uint64_t Key(uint32_t from, uint32_t to) {
    return (static_cast<uint64_t>(from) << 32) | to;
  }

  runtime::Random* const random_;
  NetworkBehaviour behaviour_;
  absl::flat_hash_set<uint64_t> partitions_;
  absl::flat_hash_map<uint64_t, runtime::Duration> slow_links_;
  absl::flat_hash_map<std::string, HostExecutor*> addresses_;
  absl::flat_hash_map<std::string, TransportBinding> transports_;
  absl::flat_hash_map<std::string, ServerBinding> servers_;
};

}  // namespace posthatch::simulation
