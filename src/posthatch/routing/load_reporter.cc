#include "posthatch/routing/load_reporter.h"

#include <algorithm>
#include <utility>

namespace posthatch::routing {

LoadReporter::LoadReporter(runtime::Runtime* runtime, LoadReporterOptions options, Peers peers)
    : runtime_(runtime),
      options_(std::move(options)),
      peers_(std::move(peers)),
      sender_(runtime->transport),
      remote_loads_(runtime->clock, options_.entry_ttl),
      store_health_(runtime->clock),
      aggregator_(runtime->timers, &options_,
                  {.local_loads = &local_loads_,
                   .remote_loads = &remote_loads_,
                   .store_health = &store_health_,
                   .sender = &sender_,
                   .topology = [this] { return Topology(); }}),
      send_timer_(runtime->timers),
      refresh_timer_(runtime->timers) {
  runtime_->transport->SetReceiver(
      runtime::SERVICE_TRAFFIC, [this](const runtime::Envelope& envelope) { Receive(envelope); });
  refresh_timer_.Start(options_.refresh, [this] { Refresh(); });
}

LoadReporter::~LoadReporter() {
  runtime_->transport->SetReceiver(runtime::SERVICE_TRAFFIC, [](const runtime::Envelope&) {});
}

LoadTopology LoadReporter::Topology() const {
  return {&options_, runtime_->transport->node_id(), peers_()};
}

void LoadReporter::SetLocalLoad(const std::string& worker_id, const Load& load) {
  Load& current = local_loads_[worker_id];
  if (current == load) return;
  current = load;
  const uint64_t reported_tokens = reported_.Find(worker_id).pending_tokens;
  const uint64_t change = load.pending_tokens > reported_tokens
                              ? load.pending_tokens - reported_tokens
                              : reported_tokens - load.pending_tokens;
  Schedule(/*urgent=*/change >= options_.urgent_token_change);
}

Load LoadReporter::RemoteLoad(const std::string& worker_id) const {
  Load load = remote_loads_.Total(worker_id);
  // The zone's load includes the load that this gateway has reported.
  if (remote_loads_.HasZone(options_.zone)) load.Subtract(reported_.Find(worker_id));
  return load;
}

void LoadReporter::AnnouncePrefill(PrefillStart start) {
  if (local_prefills_.size() >= options_.max_prefill_starts) return;
  local_prefills_.push_back(std::move(start));
  Schedule(/*urgent=*/true);
}

void LoadReporter::RecordStoreHealth(const std::string& endpoint, bool alive) {
  if (store_health_observer_) store_health_observer_(endpoint, alive);
  if (store_health_.Record(endpoint, alive)) Schedule(/*urgent=*/true);
}

void LoadReporter::Schedule(bool urgent) {
  if (send_timer_.running() && (send_is_urgent_ || !urgent)) return;
  send_is_urgent_ = urgent;
  const runtime::Duration period = urgent ? options_.urgent_period : options_.relaxed_period;
  send_timer_.Start(std::max(period, next_send_at_ - runtime_->clock->Now()), [this] { Send(); });
}

void LoadReporter::Refresh() {
  refresh_timer_.Start(options_.refresh, [this] { Refresh(); });
  refresh_due_ = true;
  aggregator_.RequestFullReport();
  remote_loads_.EvictExpired();
  Schedule(/*urgent=*/false);
}

void LoadReporter::Send() {
  const LoadTopology topology = Topology();
  remote_zone_load_is_delayed_ = topology.UsesAggregators();
  if (topology.UsesAggregators() && topology.IsAggregator()) {
    aggregator_.Start();
    aggregator_.ForwardLocalPrefills(local_prefills_);
  }
  absl::erase_if(local_loads_, [](const auto& entry) { return entry.second == Load(); });
  LoadReport report;
  const bool full = std::exchange(refresh_due_, false);
  reported_.AddChanges(local_loads_, full, std::not_equal_to<Load>(), &report);
  if (!topology.UsesAggregators()) store_health_.AddTo(full, &report);
  MovePrefillStarts(options_.max_prefill_starts, &local_prefills_, &report);
  if (!full && !HasEntries(report)) return;
  const std::vector<std::string> recipients = topology.ReportRecipients();
  sender_.Send(recipients, std::move(report));
  const auto sending_time =
      std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(
          static_cast<double>(recipients.size()) / options_.datagrams_per_second));
  next_send_at_ = runtime_->clock->Now() + sending_time;
}

void LoadReporter::Receive(const runtime::Envelope& envelope) {
  TrafficMessage message;
  if (!message.ParseFromString(envelope.payload())) return;
  if (message.has_load_report()) ReceiveReport(envelope.from_node(), message.load_report());
  for (const LoadReport& report : message.load_reports().reports()) {
    ReceiveReport(envelope.from_node(), report);
  }
}

void LoadReporter::ReceiveReport(const std::string& from_node, const LoadReport& report) {
  if (store_health_observer_) {
    for (const StoreHealth& store : report.stores()) {
      store_health_observer_(store.endpoint(), store.alive());
    }
  }
  ReceivePrefillStarts(report);
  remote_loads_.Apply(from_node, report);
}

void LoadReporter::ReceivePrefillStarts(const LoadReport& report) {
  const std::string& zone = report.zone().empty() ? options_.zone : report.zone();
  for (const PrefillStartEntry& entry : report.prompt_starts()) {
    PrefillStart start = MakePrefillStart(entry);
    if (prefill_observer_) prefill_observer_(start);
    aggregator_.ForwardPrefill(zone, std::move(start));
  }
}

}  // namespace posthatch::routing
