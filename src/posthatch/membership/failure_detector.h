#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "posthatch/membership/gossip_options.h"
#include "posthatch/membership/member_table.h"
#include "posthatch/membership/message_sender.h"
#include "posthatch/membership/pause_detector.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::membership {

// Probes members (SWIM, section 3.1): a ping, then a repetition both direct and indirect, by ping
// requests to other members, then the failure of the probe. Also pings members on behalf of others,
// and keeps the local health score, which lengthens this process's time-outs when the fault is
// probably its own (Lifeguard, section IV.A). Owned by GossipMembership; event loop thread only.
class FailureDetector {
 public:
  // Results of probes.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnProbeSucceeded(const std::string& node_id) = 0;
    virtual void OnProbeFailed(const std::string& node_id) = 0;
  };

  FailureDetector(runtime::Runtime* runtime, const GossipOptions* options, MemberTable* table,
                  MessageSender* sender, PauseDetector* pause_detector, Observer* observer);

  // Starts a probe of a member, unless one is running. `record` (serialized, may be empty) is put
  // into the pings: a false claim about the member that it should refute.
  void Probe(const MemberEntry& target, const std::string& record);
  // Drops all running probes without a result.
  void AbandonProbes();

  void OnPing(const std::string& from_endpoint, const Ping& ping, const std::string& self_node_id,
              std::string record_of_sender);
  void OnAck(const Ack& ack);
  void OnPingRequest(const std::string& from_endpoint, const PingRequest& request);
  void OnNack(const Nack& nack);

  int health_score() const { return health_score_; }
  // Adds `delta` to the local health score, within 0 (healthy) and max_health_score. Time-outs are
  // multiplied by 1 + score.
  void AdjustHealthScore(int delta);
  // Time of the last response from any process.
  runtime::MonotonicTime last_response_at() const { return last_response_at_; }

 private:
  struct ActiveProbe {
    std::string node_id;
    std::string endpoint;
    std::string record;
    int requests = 0;
    int nacks = 0;
    std::unique_ptr<runtime::Timer> timer;
  };
  struct Relay {
    std::string origin_endpoint;
    uint64_t origin_sequence;
    std::unique_ptr<runtime::Timer> timer;
  };

  runtime::Duration Scaled(runtime::Duration duration) const;
  void SendPing(const std::string& endpoint, const std::string& node_id, uint64_t sequence,
                const std::string& record);
  void RetryProbe(uint64_t sequence);
  void ExpireProbe(uint64_t sequence);
  void ExpireRelay(uint64_t sequence);

  runtime::Runtime* const runtime_;
  const GossipOptions* const options_;
  MemberTable* const table_;
  MessageSender* const sender_;
  PauseDetector* const pause_detector_;
  Observer* const observer_;
  uint64_t last_sequence_ = 0;
  std::map<uint64_t, ActiveProbe> probes_;
  std::map<std::string, uint64_t> probe_by_node_;
  std::map<uint64_t, Relay> relays_;
  int health_score_ = 0;
  runtime::MonotonicTime last_response_at_;
};

}  // namespace posthatch::membership
