#include "posthatch/traffic/load_exchange.h"

#include <algorithm>
#include <utility>

namespace posthatch::traffic {

LoadExchange::LoadExchange(runtime::Runtime* runtime, LoadExchangeOptions options,
                           std::function<std::vector<std::string>()> gateways)
    : runtime_(runtime),
      options_(options),
      gateways_(std::move(gateways)),
      send_timer_(runtime->timers),
      refresh_timer_(runtime->timers) {
  runtime_->transport->SetReceiver(
      runtime::SERVICE_TRAFFIC, [this](const runtime::Envelope& envelope) { Receive(envelope); });
  refresh_timer_.Start(options_.refresh, [this] { Refresh(); });
}

LoadExchange::~LoadExchange() {
  runtime_->transport->SetReceiver(runtime::SERVICE_TRAFFIC, [](const runtime::Envelope&) {});
}

void LoadExchange::Set(const std::string& worker_id, const Load& load) {
  Load& known = own_[worker_id];
  if (known == load) return;
  known = load;
  changed_.insert(worker_id);
  Schedule();
}

Load LoadExchange::OfOthers(const std::string& worker_id) const {
  Load sum;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (const auto& [node, sender] : senders_) {
    if (now - sender.heard_at > options_.forget_after) continue;
    const auto load = sender.loads.find(worker_id);
    if (load == sender.loads.end()) continue;
    sum.in_flight += load->second.in_flight;
    sum.pending_tokens += load->second.pending_tokens;
  }
  return sum;
}

void LoadExchange::Schedule() {
  if (send_timer_.running()) return;
  const size_t gateways = gateways_().size() + 1;
  const size_t factor = std::max<size_t>(
      1, (gateways + options_.gateways_at_period - 1) / options_.gateways_at_period);
  send_timer_.Start(options_.period * static_cast<int64_t>(factor), [this] { Send(); });
}

// Tells everything again, and forgets the workers at which nothing is under way.
void LoadExchange::Refresh() {
  refresh_timer_.Start(options_.refresh, [this] { Refresh(); });
  for (const auto& [worker_id, load] : own_) changed_.insert(worker_id);
  if (!changed_.empty()) Schedule();
  const runtime::MonotonicTime now = runtime_->clock->Now();
  absl::erase_if(senders_, [&](const auto& entry) {
    return now - entry.second.heard_at > options_.forget_after;
  });
}

void LoadExchange::Send() {
  TrafficMessage message;
  LoadReport* report = message.mutable_load_report();
  report->set_incarnation(runtime_->transport->incarnation());
  report->set_report(++last_report_);
  for (const std::string& worker_id : changed_) {
    const auto found = own_.find(worker_id);
    WorkerLoad* load = report->add_loads();
    load->set_worker_id(worker_id);
    load->set_in_flight(found->second.in_flight);
    load->set_pending_tokens(found->second.pending_tokens);
    if (found->second == Load()) own_.erase(found);
  }
  changed_.clear();
  const std::string payload = message.SerializeAsString();
  const auto delivery = payload.size() < runtime::kMaxDatagramBytes - 200
                            ? runtime::Delivery::kDatagram
                            : runtime::Delivery::kStream;
  for (const std::string& endpoint : gateways_()) {
    runtime_->transport->Send(endpoint, runtime::SERVICE_TRAFFIC, payload, delivery);
  }
}

void LoadExchange::Receive(const runtime::Envelope& envelope) {
  TrafficMessage message;
  if (!message.ParseFromString(envelope.payload()) || !message.has_load_report()) return;
  const LoadReport& report = message.load_report();
  Sender& sender = senders_[envelope.from_node()];
  if (report.incarnation() != sender.incarnation) {
    sender = Sender();
    sender.incarnation = report.incarnation();
  }
  if (report.report() <= sender.report) return;
  sender.report = report.report();
  sender.heard_at = runtime_->clock->Now();
  for (const WorkerLoad& load : report.loads()) {
    if (load.in_flight() == 0 && load.pending_tokens() == 0) {
      sender.loads.erase(load.worker_id());
    } else {
      sender.loads[load.worker_id()] = {load.in_flight(), load.pending_tokens()};
    }
  }
}

}  // namespace posthatch::traffic
