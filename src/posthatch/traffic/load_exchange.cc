#include "posthatch/traffic/load_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace posthatch::traffic {
namespace {

// Room for the envelope beside the payload of a datagram.
constexpr size_t kEnvelopeBytes = 200;
// What was found of a store is told for so long.
constexpr runtime::Duration kStoreSeenWithin = std::chrono::milliseconds(1200);

bool HasNews(const LoadReport& report) {
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

LoadExchange::LoadExchange(runtime::Runtime* runtime, LoadExchangeOptions options, Peers peers)
    : runtime_(runtime),
      options_(std::move(options)),
      peers_(std::move(peers)),
      send_timer_(runtime->timers),
      refresh_timer_(runtime->timers),
      collect_timer_(runtime->timers) {
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
  const auto told = told_.find(worker_id);
  const uint64_t told_tokens = told == told_.end() ? 0 : told->second.pending_tokens;
  const uint64_t difference = load.pending_tokens > told_tokens ? load.pending_tokens - told_tokens
                                                                : told_tokens - load.pending_tokens;
  Schedule(difference >= options_.urgent_tokens);
}

void LoadExchange::Announce(PromptStart start) {
  if (own_starts_.size() >= options_.max_prompt_starts) return;
  own_starts_.push_back(std::move(start));
  Schedule(/*urgent=*/true);
}

void LoadExchange::AddPromptStarts(std::vector<PromptStart>* starts, LoadReport* report) const {
  for (const PromptStart& start : *starts) {
    if (static_cast<size_t>(report->prompt_starts_size()) >= options_.max_prompt_starts) break;
    PromptStartLine* line = report->add_prompt_starts();
    line->set_affinity(start.affinity);
    line->set_revision(start.revision);
    line->set_worker_id(start.worker_id);
    line->set_ready_in_ms(static_cast<uint32_t>(runtime::ToMilliseconds(start.ready_in)));
  }
  starts->clear();
}

void LoadExchange::TakePromptStarts(const LoadReport& report) {
  const std::string& zone = report.zone().empty() ? options_.zone : report.zone();
  const bool collects = collect_timer_.running();
  for (const PromptStartLine& line : report.prompt_starts()) {
    PromptStart start{line.affinity(), line.revision(), line.worker_id(),
                      std::chrono::milliseconds(line.ready_in_ms())};
    if (on_prompt_start_) on_prompt_start_(start);
    std::vector<PromptStart>& passed_on = zone_starts_[zone];
    if (collects && passed_on.size() < options_.max_prompt_starts) {
      passed_on.push_back(std::move(start));
    }
  }
}

void LoadExchange::SetStore(const std::string& endpoint, bool alive) {
  if (on_store_) on_store_(endpoint, alive);
  const auto [known, is_new] = stores_.try_emplace(endpoint);
  known->second.seen = runtime_->clock->Now();
  if (!is_new && known->second.alive == alive) return;
  known->second.alive = alive;
  stores_changed_ = true;
  Schedule(/*urgent=*/true);
}

void LoadExchange::AddStores(bool whole, LoadReport* report) {
  if (!whole && !stores_changed_) return;
  stores_changed_ = false;
  for (const auto& [endpoint, store] : stores_) {
    // It may not be this gateway's to watch any more.
    if (runtime_->clock->Now() - store.seen > kStoreSeenWithin) continue;
    StoreHealth* health = report->add_stores();
    health->set_endpoint(endpoint);
    health->set_alive(store.alive);
  }
}

bool LoadExchange::IsRecent(const Source& source) const {
  return runtime_->clock->Now() - source.heard_at <= options_.forget_after;
}

Load LoadExchange::OfOthers(const std::string& worker_id) const {
  Load sum;
  const auto add = [&](const auto& sources) {
    for (const auto& [name, source] : sources) {
      const auto load = source.loads.find(worker_id);
      if (load != source.loads.end() && IsRecent(source)) Add(load->second, &sum);
    }
  };
  // A collector knows its zone's gateways one by one, and is told of the other zones only.
  add(gateways_);
  add(zones_);
  const auto own_zone = zones_.find(options_.zone);
  const auto told = told_.find(worker_id);
  if (own_zone != zones_.end() && IsRecent(own_zone->second) && told != told_.end()) {
    Subtract(told->second, &sum);  // the zone's sum holds what this gateway told
  }
  return sum;
}

void LoadExchange::Schedule(bool urgent) {
  if (send_timer_.running() && (send_is_urgent_ || !urgent)) return;
  send_is_urgent_ = urgent;
  const runtime::Duration period = urgent ? options_.period : options_.slow_period;
  send_timer_.Start(std::max(period, next_send_ - runtime_->clock->Now()), [this] { Send(); });
}

void LoadExchange::Refresh() {
  refresh_timer_.Start(options_.refresh, [this] { Refresh(); });
  refresh_due_ = true;
  collector_refresh_due_ = true;
  const auto forget = [this](const auto& entry) { return !IsRecent(entry.second); };
  absl::erase_if(gateways_, forget);
  absl::erase_if(zones_, forget);
  Schedule(/*urgent=*/false);
}

void LoadExchange::AddChanges(const Loads& now, bool whole, const Differs& differs, Loads* told,
                              LoadReport* report) {
  const auto add_line = [report, told](const std::string& worker_id, const Load& load) {
    WorkerLoad* line = report->add_loads();
    line->set_worker_id(worker_id);
    line->set_in_flight(load.in_flight);
    line->set_pending_tokens(load.pending_tokens);
    (*told)[worker_id] = load;
  };
  for (const auto& [worker_id, load] : now) {
    const auto before = told->find(worker_id);
    const bool tell = differs(load, before == told->end() ? Load() : before->second);
    if (tell || (whole && load != Load())) add_line(worker_id, load);
  }
  std::vector<std::string> ended;
  for (const auto& [worker_id, load] : *told) {
    if (!now.contains(worker_id)) ended.push_back(worker_id);
  }
  for (const std::string& worker_id : ended) {
    add_line(worker_id, Load());
    told->erase(worker_id);
  }
}

bool LoadExchange::DiffersForOtherZones(const Load& now, const Load& told) const {
  if (now == told) return false;
  const auto far = [](uint64_t left, uint64_t right, uint64_t bound) {
    return (left > right ? left - right : right - left) >= bound;
  };
  return now == Load() || far(now.pending_tokens, told.pending_tokens, options_.far_tokens) ||
         far(now.in_flight, told.in_flight, options_.far_in_flight);
}

void LoadExchange::Send() {
  const std::vector<LoadPeer> peers = peers_();
  other_zones_are_far_ = UsesCollectors(peers);
  const bool collects = UsesCollectors(peers) && CollectorOf(options_.zone, peers).empty();
  if (collects && !collect_timer_.running()) {
    collect_timer_.Start(options_.collector_period, [this] { Collect(); });
  }
  absl::erase_if(own_, [](const auto& entry) { return entry.second == Load(); });
  LoadReport report;
  const bool whole = std::exchange(refresh_due_, false);
  AddChanges(own_, whole, std::not_equal_to<Load>(), &told_, &report);
  if (!UsesCollectors(peers)) AddStores(whole, &report);
  if (collects) {
    std::vector<PromptStart>& passed_on = zone_starts_[options_.zone];
    passed_on.insert(passed_on.end(), own_starts_.begin(), own_starts_.end());
  }
  AddPromptStarts(&own_starts_, &report);
  if (!whole && !HasNews(report)) return;
  const std::vector<std::string> recipients = Recipients(peers);
  SendTo(recipients, report);
  next_send_ = runtime_->clock->Now() +
               std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(
                   static_cast<double>(recipients.size()) / options_.datagrams_per_second));
}

bool LoadExchange::ZoneIsDirect(const std::vector<LoadPeer>& peers) const {
  const auto in_zone = std::count_if(peers.begin(), peers.end(), [this](const LoadPeer& peer) {
    return peer.zone == options_.zone;
  });
  return static_cast<size_t>(in_zone) + 1 <= options_.direct_gateways_of_zone;
}

std::vector<std::string> LoadExchange::Recipients(const std::vector<LoadPeer>& peers) const {
  std::vector<std::string> endpoints;
  if (UsesCollectors(peers) && !ZoneIsDirect(peers)) {
    const std::string collector = CollectorOf(options_.zone, peers);
    if (!collector.empty()) endpoints.push_back(collector);
    return endpoints;
  }
  for (const LoadPeer& peer : peers) {
    if (!UsesCollectors(peers) || peer.zone == options_.zone) endpoints.push_back(peer.endpoint);
  }
  return endpoints;
}

void LoadExchange::SendTo(const std::vector<std::string>& endpoints, LoadReport report) {
  TrafficMessage message;
  report.set_incarnation(runtime_->transport->incarnation());
  report.set_report(++last_report_);
  *message.mutable_load_report() = std::move(report);
  SendMessage(endpoints, message);
}

void LoadExchange::SendAll(const std::vector<std::string>& endpoints,
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

void LoadExchange::SendMessage(const std::vector<std::string>& endpoints,
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

std::string LoadExchange::CollectorOf(const std::string& zone,
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

LoadExchange::Loads LoadExchange::SumOfZone() const {
  Loads sum = own_;
  for (const auto& [node, source] : gateways_) {
    if (!IsRecent(source)) continue;
    for (const auto& [worker_id, load] : source.loads) Add(load, &sum[worker_id]);
  }
  return sum;
}

// As the collector of its zone: tells the zone's sum to the other collectors, and every zone's to
// its gateways.
void LoadExchange::Collect() {
  const std::vector<LoadPeer> peers = peers_();
  if (!UsesCollectors(peers) || !CollectorOf(options_.zone, peers).empty()) {
    told_zones_.clear();
    zone_starts_.clear();
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
  std::vector<std::string> other_collectors;
  other_collectors.reserve(zones.size());
  for (const std::string& zone : zones) other_collectors.push_back(CollectorOf(zone, peers));
  bytes_sent_ = 0;
  const bool whole = std::exchange(collector_refresh_due_, false);
  const auto differs = [this](const Load& now, const Load& told) {
    return DiffersForOtherZones(now, told);
  };
  const auto report_of = [&](const std::string& zone, const Loads& loads) {
    LoadReport report;
    report.set_zone(zone);
    AddChanges(loads, whole, differs, &told_zones_[zone], &report);
    AddPromptStarts(&zone_starts_[zone], &report);
    return report;
  };
  std::vector<LoadReport> for_members;
  const LoadReport own_zone = report_of(options_.zone, SumOfZone());
  const bool own_zone_has_news = whole || HasNews(own_zone);
  if (own_zone_has_news) SendTo(other_collectors, own_zone);
  if (own_zone_has_news && !ZoneIsDirect(peers)) for_members.push_back(own_zone);
  for (const auto& [zone, source] : zones_) {
    if (zone == options_.zone) continue;
    LoadReport report = report_of(zone, source.loads);
    if (whole || HasNews(report)) for_members.push_back(std::move(report));
  }
  LoadReport stores;
  AddStores(whole, &stores);
  if (stores.stores_size() > 0) for_members.push_back(std::move(stores));
  SendAll(members, std::move(for_members));
  const runtime::Duration for_link =
      std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(
          static_cast<double>(bytes_sent_) / options_.collector_bytes_per_second));
  collect_timer_.Start(std::max(options_.collector_period, for_link), [this] { Collect(); });
}

void LoadExchange::Take(const LoadReport& report, Source* source) const {
  if (report.incarnation() != source->incarnation) {
    *source = Source();
    source->incarnation = report.incarnation();
  }
  if (report.report() <= source->report) return;
  source->report = report.report();
  source->heard_at = runtime_->clock->Now();
  for (const WorkerLoad& load : report.loads()) {
    if (load.in_flight() == 0 && load.pending_tokens() == 0) {
      source->loads.erase(load.worker_id());
    } else {
      source->loads[load.worker_id()] = {load.in_flight(), load.pending_tokens()};
    }
  }
}

void LoadExchange::Receive(const runtime::Envelope& envelope) {
  TrafficMessage message;
  if (!message.ParseFromString(envelope.payload())) return;
  if (message.has_load_report()) TakeReport(envelope.from_node(), message.load_report());
  for (const LoadReport& report : message.load_reports().reports()) {
    TakeReport(envelope.from_node(), report);
  }
}

void LoadExchange::TakeReport(const std::string& from_node, const LoadReport& report) {
  if (on_store_) {
    for (const StoreHealth& store : report.stores()) on_store_(store.endpoint(), store.alive());
  }
  TakePromptStarts(report);
  Take(report, report.zone().empty() ? &gateways_[from_node] : &zones_[report.zone()]);
}

}  // namespace posthatch::traffic
