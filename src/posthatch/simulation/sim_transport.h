#pragma once

#include <array>
#include <memory>
#include <string>

#include "absl/container/btree_map.h"
#include "posthatch/runtime/transport.h"
#include "posthatch/simulation/pipe.h"
#include "posthatch/simulation/world_core.h"

namespace posthatch::simulation {

// Sends and receives the internal messages of one process of a host. Stream messages use one
// connection per target endpoint, opened at the first message and reopened at the next message
// after it broke; messages on a broken connection are lost. Owned by the host's runtime.
class SimTransport : public runtime::Transport {
 public:
  SimTransport(WorldCore* core, HostExecutor* host, std::string endpoint, uint64_t incarnation);
  // Called when the process ends; the object remains and ignores calls.
  void Shutdown();

  const std::string& endpoint() const override { return endpoint_; }
  const std::string& node_id() const override { return host_->name(); }
  uint64_t incarnation() const override { return incarnation_; }
  void SetReceiver(runtime::Service service, Receiver receiver) override;
  void Send(const std::string& to_endpoint, runtime::Service service, std::string payload,
            runtime::Delivery delivery) override;

  // Delivers a message to its receiver; called in this host's context.
  void Deliver(const runtime::Envelope& envelope);
  uint64_t process_id() const { return process_id_; }
  // Messages dropped because a stream's queue was full or a datagram was too large.
  uint64_t dropped() const { return dropped_; }

 private:
  static constexpr size_t kMaxQueuedBytes = size_t{16} * 1024 * 1024;  // per stream

  runtime::Envelope MakeEnvelope(runtime::Service service, std::string payload) const;
  void SendStream(const std::string& to_endpoint, runtime::Service service, std::string payload);
  void SendDatagram(const std::string& to_endpoint, runtime::Service service, std::string payload);
  void ScheduleDatagram(HostExecutor* to, const std::string& to_endpoint,
                        std::shared_ptr<const runtime::Envelope> envelope);
  std::shared_ptr<Pipe> Connect(const std::string& to_endpoint);

  WorldCore* const core_;
  HostExecutor* const host_;
  const uint64_t process_id_;
  const std::string endpoint_;
  const uint64_t incarnation_;
  std::array<Receiver, runtime::Service_ARRAYSIZE> receivers_;
  absl::btree_map<std::string, std::shared_ptr<Pipe>> streams_;  // keyed by target endpoint
  uint64_t dropped_ = 0;
};

}  // namespace posthatch::simulation
