#include "posthatch/membership/gossip_sender.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace posthatch::membership {
namespace {

// Bytes reserved for the tags and lengths of a message around its updates.
constexpr size_t kMessageFramingBytes = 8;

}  // namespace

GossipSender::GossipSender(runtime::Runtime* runtime, const GossipOptions* options,
                           MemberTable* table, BroadcastQueue* queue, GossipMetrics* metrics,
                           PauseDetector* pause_detector)
    : runtime_(runtime),
      options_(options),
      table_(table),
      queue_(queue),
      metrics_(metrics),
      pause_detector_(pause_detector),
      gossip_timer_(runtime->timers) {}

int GossipSender::TransmitLimit() const {
  const auto fleet_size = static_cast<double>(table_->live_count() + 2);
  return options_->retransmit_factor * static_cast<int>(std::ceil(std::log2(fleet_size)));
}

void GossipSender::SendPlain(const std::string& endpoint, const MembershipMessage& message) {
  std::string payload = message.SerializeAsString();
  metrics_->sent_bytes.Increment(static_cast<double>(payload.size()));
  metrics_->sent_datagrams.Increment();
  runtime_->transport->Send(endpoint, runtime::SERVICE_MEMBERSHIP, std::move(payload),
                            runtime::Delivery::kDatagram);
}

void GossipSender::SendWithUpdates(const std::string& endpoint, MembershipMessage message) {
  if (!queue_->empty()) {
    const size_t used_bytes = message.ByteSizeLong() + kMessageFramingBytes;
    const size_t free_bytes = kMaxPayloadBytes - std::min(used_bytes, kMaxPayloadBytes);
    for (std::string& record :
         queue_->Take(std::min(free_bytes, options_->piggyback_bytes), TransmitLimit())) {
      message.add_records(std::move(record));
    }
  }
  SendPlain(endpoint, message);
}

void GossipSender::SendGossip(const std::string& endpoint, size_t max_bytes) {
  MembershipMessage message;
  message.mutable_gossip();
  for (std::string& record : queue_->Take(max_bytes, TransmitLimit())) {
    message.add_records(std::move(record));
  }
  if (message.records_size() == 0) return;
  gossip_budget_bytes_ -= static_cast<double>(message.ByteSizeLong());
  SendPlain(endpoint, message);
}

void GossipSender::ScheduleGossip() {
  if (queue_->empty() || gossip_timer_.running()) return;
  gossip_timer_.Start(options_->gossip_interval, [this] {
    pause_detector_->OnActivity();
    GossipToRandomMembers();
  });
}

void GossipSender::GossipToRandomMembers() {
  const auto rate = static_cast<double>(options_->max_gossip_bytes_per_second);
  const double interval_seconds = static_cast<double>(options_->gossip_interval.count()) /
                                  std::chrono::nanoseconds(std::chrono::seconds(1)).count();
  gossip_budget_bytes_ = std::min(rate, gossip_budget_bytes_ + rate * interval_seconds);
  for (const MemberEntry* member :
       table_->PickLive(static_cast<size_t>(options_->gossip_fanout), "")) {
    if (gossip_budget_bytes_ <= 0) break;
    SendGossip(member->member.internal_endpoint, kMaxPayloadBytes - kMessageFramingBytes);
  }
  metrics_->queued_updates.Set(static_cast<double>(queue_->size()));
  if (table_->live_count() > 0) ScheduleGossip();
}

}  // namespace posthatch::membership
