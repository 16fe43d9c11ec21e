#include "posthatch/membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace posthatch::membership {
namespace {

// Maximum number of concurrent pings on behalf of others; further requests are ignored.
constexpr size_t kMaxRelays = 256;

}  // namespace

FailureDetector::FailureDetector(runtime::Runtime* runtime, const GossipOptions* options,
                                 MemberTable* table, MessageSender* sender,
                                 PauseDetector* pause_detector, Observer* observer)
    : runtime_(runtime),
      options_(options),
      table_(table),
      sender_(sender),
      pause_detector_(pause_detector),
      observer_(observer),
      last_response_at_(runtime->clock->Now()) {}

runtime::Duration FailureDetector::Scaled(runtime::Duration duration) const {
  return duration * (1 + health_score_);
}

void FailureDetector::AdjustHealthScore(int delta) {
  health_score_ = std::clamp(health_score_ + delta, 0, options_->max_health_score);
}

void FailureDetector::SendPing(const std::string& endpoint, const std::string& node_id,
                               uint64_t sequence, const std::string& record) {
  MembershipMessage message;
  message.mutable_ping()->set_sequence(sequence);
  message.mutable_ping()->set_target_node(node_id);
  if (!record.empty()) message.add_records(record);
  sender_->SendWithUpdates(endpoint, std::move(message));
}

void FailureDetector::Probe(const MemberEntry& target, const std::string& record) {
  if (probe_by_node_.contains(target.member.node_id)) return;
  const uint64_t sequence = ++last_sequence_;
  probe_by_node_[target.member.node_id] = sequence;
  ActiveProbe& probe = probes_[sequence];
  probe.node_id = target.member.node_id;
  probe.endpoint = target.member.internal_endpoint;
  probe.record = record;
  probe.timer = std::make_unique<runtime::Timer>(runtime_->timers);
  probe.timer->Start(Scaled(options_->probe_retry), [this, sequence] { RetryProbe(sequence); });
  SendPing(probe.endpoint, probe.node_id, sequence, record);
}

void FailureDetector::RetryProbe(uint64_t sequence) {
  pause_detector_->OnActivity();
  const auto found = probes_.find(sequence);
  if (found == probes_.end()) return;
  ActiveProbe& probe = found->second;
  probe.timer->Start(Scaled(options_->probe_deadline - options_->probe_retry),
                     [this, sequence] { ExpireProbe(sequence); });
  SendPing(probe.endpoint, probe.node_id, sequence, probe.record);
  MembershipMessage message;
  message.mutable_ping_request()->set_sequence(sequence);
  message.mutable_ping_request()->set_target_node(probe.node_id);
  message.mutable_ping_request()->set_target_endpoint(probe.endpoint);
  const std::vector<MemberEntry*> proxies =
      table_->PickLive(static_cast<size_t>(options_->indirect_probes), probe.node_id);
  probe.requests = static_cast<int>(proxies.size());
  for (const MemberEntry* proxy : proxies) {
    sender_->SendWithUpdates(proxy->member.internal_endpoint, message);
  }
}

void FailureDetector::ExpireProbe(uint64_t sequence) {
  pause_detector_->OnActivity();
  const auto found = probes_.find(sequence);
  if (found == probes_.end()) return;
  const std::string node_id = found->second.node_id;
  // If a proxy sent neither an ack nor a nack, the fault may be this process's own.
  if (found->second.nacks < found->second.requests) AdjustHealthScore(1);
  probes_.erase(found);
  probe_by_node_.erase(node_id);
  observer_->OnProbeFailed(node_id);
}

void FailureDetector::AbandonProbes() {
  probes_.clear();
  probe_by_node_.clear();
}

void FailureDetector::OnPing(const std::string& from_endpoint, const Ping& ping,
                             const std::string& self_node_id, std::string record_of_sender) {
  if (ping.target_node() != self_node_id) return;
  MembershipMessage message;
  message.mutable_ack()->set_sequence(ping.sequence());
  if (!record_of_sender.empty()) message.add_records(std::move(record_of_sender));
  sender_->SendWithUpdates(from_endpoint, std::move(message));
}

void FailureDetector::OnAck(const Ack& ack) {
  last_response_at_ = runtime_->clock->Now();
  const auto relay = relays_.find(ack.sequence());
  if (relay != relays_.end()) {
    MembershipMessage message;
    message.mutable_ack()->set_sequence(relay->second.origin_sequence);
    sender_->SendPlain(relay->second.origin_endpoint, message);
    relays_.erase(relay);
    return;
  }
  const auto probe = probes_.find(ack.sequence());
  if (probe == probes_.end()) return;
  const std::string node_id = probe->second.node_id;
  probes_.erase(probe);
  probe_by_node_.erase(node_id);
  AdjustHealthScore(-1);
  observer_->OnProbeSucceeded(node_id);
}

void FailureDetector::OnPingRequest(const std::string& from_endpoint, const PingRequest& request) {
  if (relays_.size() >= kMaxRelays) return;
  const uint64_t sequence = ++last_sequence_;
  Relay& relay = relays_[sequence];
  relay.origin_endpoint = from_endpoint;
  relay.origin_sequence = request.sequence();
  relay.timer = std::make_unique<runtime::Timer>(runtime_->timers);
  relay.timer->Start(options_->probe_retry, [this, sequence] { ExpireRelay(sequence); });
  SendPing(request.target_endpoint(), request.target_node(), sequence, "");
}

void FailureDetector::ExpireRelay(uint64_t sequence) {
  pause_detector_->OnActivity();
  const auto relay = relays_.find(sequence);
  if (relay == relays_.end()) return;
  MembershipMessage message;
  message.mutable_nack()->set_sequence(relay->second.origin_sequence);
  sender_->SendPlain(relay->second.origin_endpoint, message);
  relays_.erase(relay);
}

void FailureDetector::OnNack(const Nack& nack) {
  last_response_at_ = runtime_->clock->Now();
  const auto probe = probes_.find(nack.sequence());
  if (probe != probes_.end()) ++probe->second.nacks;
}

}  // namespace posthatch::membership
