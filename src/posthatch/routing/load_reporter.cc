#include "posthatch/routing/load_reporter.h"

#include <algorithm>
#include <set>
#include <utility>

namespace posthatch::routing {
namespace {

// Room for the envelope beside the payload of a datagram.
constexpr size_t kEnvelopeBytes = 200;
// What was found of a store is told for so long.
constexpr runtime::Duration kStoreHealthTtl = std::chrono::milliseconds(1200);

bool HasEntries(const LoadReport& report) {
  return report.loads_size() + report.stores_size() + report.prompt_starts_size() > 0;
}

void Add(const Load& load, Load* sum) {
  sum->in_flight += load.in_flight;
  sum->pending_tokens += load.pending_tokens;
}

void Subtract(const Load& load, Load* sum) {
  sum->in_flight -= std::min(sum->in_flight, load.in_flight);
  sum->pending_tokens -= std::min(sum->pending_tokens, load.pending_tokens);
}

}  // namespace

LoadReporter::LoadReporter(runtime::Runtime* runtime, LoadReporterOptions options, Peers peers)
    : runtime_(runtime),
      options_(std::move(options)),
      peers_(std::move(peers)),
      send_timer_(runtime->timers),
      refresh_timer_(runtime->timers),
      aggregation_timer_(runtime->timers) {
  runtime_->transport->SetReceiver(
      runtime::SERVICE_TRAFFIC, [this](const runtime::Envelope& envelope) { Receive(envelope); });
  refresh_timer_.Start(options_.refresh, [this] { Refresh(); });
}

LoadReporter::~LoadReporter() {
  runtime_->transport->SetReceiver(runtime::SERVICE_TRAFFIC, [](const runtime::Envelope&) {});
}

void LoadReporter::SetLocalLoad(const std::string& worker_id, const Load& load) {
  Load& current = local_loads_[worker_id];
  if (current == load) return;
  current = load;
  const auto last_reported = last_reported_.find(worker_id);
  const uint64_t reported_tokens =
      last_reported == last_reported_.end() ? 0 : last_reported->second.pending_tokens;
  const uint64_t difference = load.pending_tokens > reported_tokens
                                  ? load.pending_tokens - reported_tokens
                                  : reported_tokens - load.pending_tokens;
  Schedule(difference >= options_.urgent_token_change);
}

void LoadReporter::AnnouncePrefill(PrefillStart start) {
  if (local_prefills_.size() >= options_.max_prefill_starts) return;
  local_prefills_.push_back(std::move(start));
  Schedule(/*urgent=*/true);
}

void LoadReporter::AddPrefillStarts(std::vector<PrefillStart>* starts, LoadReport* report) const {
  for (const PrefillStart& start : *starts) {
    if (static_cast<size_t>(report->prompt_starts_size()) >= options_.max_prefill_starts) break;
    PrefillStartEntry* line = report->add_prompt_starts();
    line->set_affinity(start.affinity);
    line->set_revision(start.revision);
    line->set_worker_id(start.worker_id);
    line->set_ready_in_ms(static_cast<uint32_t>(runtime::ToMilliseconds(start.ready_in)));
  }
  starts->clear();
}

void LoadReporter::ReceivePrefillStarts(const LoadReport& report) {
  const std::string& zone = report.zone().empty() ? options_.zone : report.zone();
  const bool is_aggregator = aggregation_timer_.running();
  for (const PrefillStartEntry& line : report.prompt_starts()) {
    PrefillStart start{line.affinity(), line.revision(), line.worker_id(),
                       std::chrono::milliseconds(line.ready_in_ms())};
    if (prefill_observer_) prefill_observer_(start);
    std::vector<PrefillStart>& forwarded = zone_prefills_[zone];
    if (is_aggregator && forwarded.size() < options_.max_prefill_starts) {
      forwarded.push_back(std::move(start));
    }
  }
}

void LoadReporter::RecordStoreHealth(const std::string& endpoint, bool alive) {
  if (store_health_observer_) store_health_observer_(endpoint, alive);
  const auto [current, is_new] = stores_.try_emplace(endpoint);
  current->second.checked_at = runtime_->clock->Now();
  if (!is_new && current->second.alive == alive) return;
  current->second.alive = alive;
  store_health_changed_ = true;
  Schedule(/*urgent=*/true);
}

void LoadReporter::AddStoreHealth(bool full, LoadReport* report) {
  if (!full && !store_health_changed_) return;
  store_health_changed_ = false;
  for (const auto& [endpoint, store] : stores_) {
    // It may not be this gateway's to watch any more.
    if (runtime_->clock->Now() - store.checked_at > kStoreHealthTtl) continue;
    StoreHealth* health = report->add_stores();
    health->set_endpoint(endpoint);
    health->set_alive(store.alive);
  }
}

bool LoadReporter::IsCurrent(const LoadSource& source) const {
  return runtime_->clock->Now() - source.received_at <= options_.entry_ttl;
}

Load LoadReporter::RemoteLoad(const std::string& worker_id) const {
  Load sum;
  const auto add = [&](const auto& sources) {
    for (const auto& [name, source] : sources) {
      const auto load = source.loads.find(worker_id);
      if (load != source.loads.end() && IsCurrent(source)) Add(load->second, &sum);
    }
  };
  // A collector knows its zone's gateways one by one, and is told of the other zones only.
  add(gateway_loads_);
  add(zone_loads_);
  const auto local_zone = zone_loads_.find(options_.zone);
  const auto last_reported = last_reported_.find(worker_id);
  if (local_zone != zone_loads_.end() && IsCurrent(local_zone->second) &&
      last_reported != last_reported_.end()) {
    Subtract(last_reported->second, &sum);  // the zone's sum holds what this gateway told
  }
  return sum;
}

void LoadReporter::Schedule(bool urgent) {
  if (send_timer_.running() && (send_is_urgent_ || !urgent)) return;
  send_is_urgent_ = urgent;
  const runtime::Duration urgent_period = urgent ? options_.urgent_period : options_.relaxed_period;
  send_timer_.Start(std::max(urgent_period, next_send_at_ - runtime_->clock->Now()),
                    [this] { Send(); });
}

void LoadReporter::Refresh() {
  refresh_timer_.Start(options_.refresh, [this] { Refresh(); });
  refresh_due_ = true;
  aggregator_refresh_due_ = true;
  const auto is_expired = [this](const auto& entry) { return !IsCurrent(entry.second); };
  absl::erase_if(gateway_loads_, is_expired);
  absl::erase_if(zone_loads_, is_expired);
  Schedule(/*urgent=*/false);
}

void LoadReporter::AddLoadChanges(const Loads& now, bool full, const Differs& differs,
                                  Loads* last_reported, LoadReport* report) {
  const auto add_line = [report, last_reported](const std::string& worker_id, const Load& load) {
    WorkerLoad* line = report->add_loads();
    line->set_worker_id(worker_id);
    line->set_in_flight(load.in_flight);
    line->set_pending_tokens(load.pending_tokens);
    (*last_reported)[worker_id] = load;
  };
  for (const auto& [worker_id, load] : now) {
    const auto before = last_reported->find(worker_id);
    const bool changed = differs(load, before == last_reported->end() ? Load() : before->second);
    if (changed || (full && load != Load())) add_line(worker_id, load);
  }
  std::vector<std::string> ended;
  for (const auto& [worker_id, load] : *last_reported) {
    if (!now.contains(worker_id)) ended.push_back(worker_id);
  }
  for (const std::string& worker_id : ended) {
    add_line(worker_id, Load());
    last_reported->erase(worker_id);
  }
}

bool LoadReporter::DiffersForRemoteZones(const Load& now, const Load& last_reported) const {
  if (now == last_reported) return false;
  const auto exceeds = [](uint64_t left, uint64_t right, uint64_t bound) {
    return (left > right ? left - right : right - left) >= bound;
  };
  return now == Load() ||
         exceeds(now.pending_tokens, last_reported.pending_tokens, options_.cross_zone_tokens) ||
         exceeds(now.in_flight, last_reported.in_flight, options_.cross_zone_in_flight);
}

void LoadReporter::Send() {
  const std::vector<LoadPeer> peers = peers_();
  remote_zone_load_is_delayed_ = UsesAggregators(peers);
  const bool is_aggregator = UsesAggregators(peers) && AggregatorOf(options_.zone, peers).empty();
  if (is_aggregator && !aggregation_timer_.running()) {
    aggregation_timer_.Start(options_.aggregation_period, [this] { SendAggregates(); });
  }
  absl::erase_if(local_loads_, [](const auto& entry) { return entry.second == Load(); });
  LoadReport report;
  const bool full = std::exchange(refresh_due_, false);
  AddLoadChanges(local_loads_, full, std::not_equal_to<Load>(), &last_reported_, &report);
  if (!UsesAggregators(peers)) AddStoreHealth(full, &report);
  if (is_aggregator) {
    std::vector<PrefillStart>& forwarded = zone_prefills_[options_.zone];
    forwarded.insert(forwarded.end(), local_prefills_.begin(), local_prefills_.end());
  }
  AddPrefillStarts(&local_prefills_, &report);
  if (!full && !HasEntries(report)) return;
  const std::vector<std::string> recipients = ReportRecipients(peers);
  SendTo(recipients, report);
  next_send_at_ = runtime_->clock->Now() +
                  std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(
                      static_cast<double>(recipients.size()) / options_.datagrams_per_second));
}

bool LoadReporter::ZoneReportsDirectly(const std::vector<LoadPeer>& peers) const {
  const auto in_zone = std::count_if(peers.begin(), peers.end(), [this](const LoadPeer& peer) {
    return peer.zone == options_.zone;
  });
  return static_cast<size_t>(in_zone) + 1 <= options_.max_direct_gateways_per_zone;
}

std::vector<std::string> LoadReporter::ReportRecipients(const std::vector<LoadPeer>& peers) const {
  std::vector<std::string> endpoints;
  if (UsesAggregators(peers) && !ZoneReportsDirectly(peers)) {
    const std::string collector = AggregatorOf(options_.zone, peers);
    if (!collector.empty()) endpoints.push_back(collector);
    return endpoints;
  }
  for (const LoadPeer& peer : peers) {
    if (!UsesAggregators(peers) || peer.zone == options_.zone) endpoints.push_back(peer.endpoint);
  }
  return endpoints;
}

void LoadReporter::SendTo(const std::vector<std::string>& endpoints, LoadReport report) {
  TrafficMessage message;
  report.set_incarnation(runtime_->transport->incarnation());
  report.set_report(++last_report_);
  *message.mutable_load_report() = std::move(report);
  SendMessage(endpoints, message);
}

void LoadReporter::SendBatched(const std::vector<std::string>& endpoints,
                               std::vector<LoadReport> reports) {
  TrafficMessage message;
  for (LoadReport& report : reports) {
    report.set_incarnation(runtime_->transport->incarnation());
    report.set_report(++last_report_);
    const bool fits = message.ByteSizeLong() + report.ByteSizeLong() + kEnvelopeBytes <
                      runtime::kMaxDatagramBytes;
    if (!fits && message.load_reports().reports_size() > 0) {
      SendMessage(endpoints, message);
      message.Clear();
    }
    *message.mutable_load_reports()->add_reports() = std::move(report);
  }
  if (message.load_reports().reports_size() > 0) SendMessage(endpoints, message);
}

void LoadReporter::SendMessage(const std::vector<std::string>& endpoints,
                               const TrafficMessage& message) {
  const std::string payload = message.SerializeAsString();
  const auto delivery = payload.size() + kEnvelopeBytes < runtime::kMaxDatagramBytes
                            ? runtime::Delivery::kDatagram
                            : runtime::Delivery::kStream;
  for (const std::string& endpoint : endpoints) {
    runtime_->transport->Send(endpoint, runtime::SERVICE_TRAFFIC, payload, delivery);
  }
  bytes_sent_ += (payload.size() + kEnvelopeBytes) * endpoints.size();
}

std::string LoadReporter::AggregatorOf(const std::string& zone,
                                       const std::vector<LoadPeer>& peers) const {
  const LoadPeer* lowest = nullptr;
  for (const LoadPeer& peer : peers) {
    if (peer.zone != zone) continue;
    if (lowest == nullptr || peer.node_id < lowest->node_id) lowest = &peer;
  }
  const bool is_self = zone == options_.zone &&
                       (lowest == nullptr || runtime_->transport->node_id() < lowest->node_id);
  return is_self || lowest == nullptr ? std::string() : lowest->endpoint;
}

LoadReporter::Loads LoadReporter::ZoneLoad() const {
  Loads sum = local_loads_;
  for (const auto& [node, source] : gateway_loads_) {
    if (!IsCurrent(source)) continue;
    for (const auto& [worker_id, load] : source.loads) Add(load, &sum[worker_id]);
  }
  return sum;
}

// As the collector of its zone: tells the zone's sum to the other collectors, and every zone's to
// its gateways.
void LoadReporter::SendAggregates() {
  const std::vector<LoadPeer> peers = peers_();
  if (!UsesAggregators(peers) || !AggregatorOf(options_.zone, peers).empty()) {
    last_reported_by_zone_.clear();
    zone_prefills_.clear();
    return;
  }
  std::vector<std::string> members;
  std::set<std::string> zones;
  for (const LoadPeer& peer : peers) {
    if (peer.zone == options_.zone) {
      members.push_back(peer.endpoint);
    } else {
      zones.insert(peer.zone);
    }
  }
  std::vector<std::string> other_aggregators;
  other_aggregators.reserve(zones.size());
  for (const std::string& zone : zones) other_aggregators.push_back(AggregatorOf(zone, peers));
  bytes_sent_ = 0;
  const bool full = std::exchange(aggregator_refresh_due_, false);
  const auto differs = [this](const Load& now, const Load& last_reported) {
    return DiffersForRemoteZones(now, last_reported);
  };
  const auto report_of = [&](const std::string& zone, const Loads& loads) {
    LoadReport report;
    report.set_zone(zone);
    AddLoadChanges(loads, full, differs, &last_reported_by_zone_[zone], &report);
    AddPrefillStarts(&zone_prefills_[zone], &report);
    return report;
  };
  std::vector<LoadReport> member_reports;
  const LoadReport local_zone = report_of(options_.zone, ZoneLoad());
  const bool local_zone_changed = full || HasEntries(local_zone);
  if (local_zone_changed) SendTo(other_aggregators, local_zone);
  if (local_zone_changed && !ZoneReportsDirectly(peers)) member_reports.push_back(local_zone);
  for (const auto& [zone, source] : zone_loads_) {
    if (zone == options_.zone) continue;
    LoadReport report = report_of(zone, source.loads);
    if (full || HasEntries(report)) member_reports.push_back(std::move(report));
  }
  LoadReport stores;
  AddStoreHealth(full, &stores);
  if (stores.stores_size() > 0) member_reports.push_back(std::move(stores));
  SendBatched(members, std::move(member_reports));
  const runtime::Duration link_time =
      std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(
          static_cast<double>(bytes_sent_) / options_.aggregator_bytes_per_second));
  aggregation_timer_.Start(std::max(options_.aggregation_period, link_time),
                           [this] { SendAggregates(); });
}

void LoadReporter::ApplyLoads(const LoadReport& report, LoadSource* source) const {
  if (report.incarnation() != source->incarnation) {
    *source = LoadSource();
    source->incarnation = report.incarnation();
  }
  if (report.report() <= source->report) return;
  source->report = report.report();
  source->received_at = runtime_->clock->Now();
  for (const WorkerLoad& load : report.loads()) {
    if (load.in_flight() == 0 && load.pending_tokens() == 0) {
      source->loads.erase(load.worker_id());
    } else {
      source->loads[load.worker_id()] = {load.in_flight(), load.pending_tokens()};
    }
  }
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
    for (const StoreHealth& store : report.stores())
      store_health_observer_(store.endpoint(), store.alive());
  }
  ReceivePrefillStarts(report);
  ApplyLoads(report,
             report.zone().empty() ? &gateway_loads_[from_node] : &zone_loads_[report.zone()]);
}

}  // namespace posthatch::routing
