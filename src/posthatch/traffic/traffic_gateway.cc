#include "posthatch/traffic/traffic_gateway.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::traffic {
namespace {

// A list read by the leader that is older than the bound for draining less this is read again by
// the gateway itself: time for the spread of the gateways' reads, a refusal over the rate, and the
// read.
constexpr runtime::Duration kTimeToReadList = std::chrono::milliseconds(1500);
// Marks that fade with time are looked at this often.
constexpr runtime::Duration kRefreshInterval = std::chrono::milliseconds(500);
constexpr runtime::Duration kRetryAfter = std::chrono::milliseconds(300);
// After a start of the whole fleet the controllers need about so long to elect a leader.
constexpr runtime::Duration kRetryAfterWithoutConfiguration = std::chrono::milliseconds(1200);

}  // namespace

TrafficGateway::TrafficGateway(runtime::Runtime* runtime, TrafficGatewayOptions options,
                               control::FleetView* view, index::PrefixLocator* locator,
                               const channels::ObjectTrust* trust)
    : runtime_(runtime),
      options_(std::move(options)),
      view_(view),
      live_gateways_(runtime->clock,
                     [this] { return static_cast<uint32_t>(options_.gateways().size()); }),
      metrics_(runtime->metrics),
      cold_starts_(runtime->clock, options_.gateway_id, options_.gateways),
      loads_(runtime, LoadOptions(), options_.peers),
      pool_(runtime,
            {.revision_deadline = options_.revision_deadline, .switches = options_.switches},
            &cold_starts_, &loads_),
      placer_(runtime, options_.zone, &pool_, options_.switches),
      stores_(runtime),
      under_way_(runtime->clock, PromptsUnderWay::Options()),
      store_watch_(runtime, {.format = options_.cache_event_format}, StoreWatchParts()),
      retry_budget_(runtime->clock, BudgetOptions()),
      inventory_(runtime, WatchOptions(), view),
      split_(runtime->random),
      sweep_timer_(runtime->timers),
      refresh_timer_(runtime->timers) {
  context_.runtime = runtime;
  context_.format = options_.call_format;
  context_.pool = &pool_;
  context_.placer = &placer_;
  context_.stores = &stores_;
  context_.switches = options_.switches;
  if (options_.switches.announcements) context_.under_way = &under_way_;
  context_.loads = &loads_;
  context_.retry_budget = &retry_budget_;
  context_.metrics = &metrics_;
  context_.lookup = &lookup_;
  context_.locator = locator;
  context_.trust = trust;
  context_.retire = [this](TrafficRequest* request) { Retire(request); };
  context_.discard = [this](std::unique_ptr<http::Call> call) {
    ended_calls_.push_back(std::move(call));
    Sweep();
  };
}

TrafficGateway::~TrafficGateway() = default;

LoadExchangeOptions TrafficGateway::LoadOptions() const {
  LoadExchangeOptions options;
  options.zone = options_.zone;
  if (!options_.switches.urgent_loads) options.period = options.slow_period;
  return options;
}

control::InventoryWatchOptions TrafficGateway::WatchOptions() {
  control::InventoryWatchOptions options;
  options.endpoint = options_.inventory_endpoint;
  options.format = options_.inventory_format;
  options.stale_age = options_.drain_bound - kTimeToReadList;
  options.reads_per_second = options_.inventory_reads_per_second;
  options.live_gateways = [this] { return live_gateways_.Get(); };
  options.zone_peers = [this] { return ZonePeers(); };
  // Without a configuration nothing is served, and the first grant brings the list along.
  options.needed = [this] { return configuration_ != nullptr; };
  options.on_change = [this] { UpdatePool(); };
  options.on_read = [this](std::string_view outcome) {
    metrics_.inventory_reads.Increment(std::string(outcome));
  };
  return options;
}

std::vector<control::ZonePeer> TrafficGateway::ZonePeers() const {
  std::vector<control::ZonePeer> peers;
  for (const LoadPeer& peer : options_.peers()) {
    if (peer.zone == options_.zone) peers.push_back({peer.node_id, peer.endpoint});
  }
  return peers;
}

StoreWatch::Parts TrafficGateway::StoreWatchParts() {
  StoreWatch::Parts parts;
  parts.stores = [this] { return stores_.Endpoints(); };
  parts.is_responsible = [this] { return loads_.IsCollector(); };
  parts.report = [this](const std::string& endpoint, bool alive) {
    loads_.SetStore(endpoint, alive);
  };
  return parts;
}

RetryBudgetOptions TrafficGateway::BudgetOptions() {
  RetryBudgetOptions options;
  options.ratio = options_.retry_budget_ratio;
  options.slack = options_.retry_budget_slack;
  options.live_gateways = [this] { return live_gateways_.Get(); };
  return options;
}

void TrafficGateway::Start() {
  view_->AddListener([this, alive = std::weak_ptr<bool>(alive_)](const control::FleetState&) {
    if (!alive.expired()) OnStateChanged();
  });
  lookup_.Rebuild(view_->state());
  OnStateChanged();
  UpdatePool();
  inventory_.Start();
  loads_.OnStore(
      [this](const std::string& endpoint, bool alive) { stores_.OnHealth(endpoint, alive); });
  loads_.OnPromptStart([this](const PromptStart& start) { under_way_.Add(start); });
  store_watch_.Start();
}

void TrafficGateway::OnStateChanged() {
  using control::Section;
  const control::FleetState& state = view_->state();
  const control::SectionIndices now = control::IndicesOf(state);
  const bool seeds_changed = Changed(now, Section::kIsolation) ||
                             Changed(now, Section::kRevisions) ||
                             Changed(now, Section::kConfiguration);
  const bool pool_changed = Changed(now, Section::kInventory) ||
                            Changed(now, Section::kEvacuations) ||
                            Changed(now, Section::kRevisions) || Changed(now, Section::kTraffic);
  indices_ = now;
  if (seeds_changed) lookup_.Rebuild(state);
  if (state.traffic_index() > traffic_index_) {
    traffic_index_ = state.traffic_index();
    configuration_ = std::make_shared<const control::TrafficConfiguration>(state.traffic());
    routes_.Rebuild(*configuration_);
    split_.Clear();
    stores_.Rebuild(*configuration_);
    runtime_->trace->Event(runtime::Severity::kInfo, "TrafficInForce",
                           {{"version", configuration_->version()}, {"index", traffic_index_}});
  }
  if (pool_changed) UpdatePool();
}

void TrafficGateway::UpdatePool() {
  refresh_timer_.Start(kRefreshInterval, [this] { UpdatePool(); });
  pool_.Update(view_->state(), inventory_.own(), view_->InventoryAge(), routes_);
}

void TrafficGateway::SendRefusal(http::ResponseWriter* writer, RefusalReason reason,
                                 std::string detail) {
  metrics_.answers.Increment("refused");
  Refusal refusal{reason, runtime::Duration::zero(), std::move(detail)};
  if (reason == RefusalReason::kUnavailable) {
    refusal.retry_after = configuration_ == nullptr ? kRetryAfterWithoutConfiguration : kRetryAfter;
  }
  writer->SendWhole(options_.call_format->MakeRefusal(refusal));
}

void TrafficGateway::HandleRequest(http::Request request,
                                   std::shared_ptr<http::ResponseWriter> writer) {
  const runtime::MonotonicTime received = runtime_->clock->Now();
  if (configuration_ == nullptr) {
    return SendRefusal(writer.get(), RefusalReason::kUnavailable, "no configuration is known yet");
  }
  const control::TrafficRoute* route = routes_.Find(request.headers.Get("Host"), request.target);
  if (route == nullptr) {
    return SendRefusal(writer.get(), RefusalReason::kUnknownRoute, "no route takes this call");
  }
  absl::StatusOr<InboundCall> call = options_.call_format->ReadCall(request);
  if (!call.ok()) {
    return SendRefusal(writer.get(), RefusalReason::kMalformed,
                       absl::StrCat(call.status().message()));
  }
  AdmittedCall admitted;
  admitted.priority = route->priority();
  if (routes_.has_tenants() && !route->public_access()) {
    const control::TrafficTenant* tenant = routes_.FindTenant(call->credential);
    if (tenant == nullptr) {
      return SendRefusal(writer.get(), RefusalReason::kUnauthorized, "the key is not known");
    }
    admitted.tenant = tenant->name();
    if (tenant->has_priority()) admitted.priority = tenant->priority();
  }
  const control::TrafficService* service = PickService(*route);
  if (service == nullptr || requests_.size() >= options_.max_concurrent_requests) {
    return SendRefusal(writer.get(), RefusalReason::kUnavailable, "too many calls are running");
  }
  admitted.request = std::move(request);
  admitted.writer = std::move(writer);
  admitted.call = *std::move(call);
  admitted.route = *route;
  admitted.service = *service;
  admitted.received = received;
  auto running = std::make_shared<TrafficRequest>(&context_, std::move(admitted));
  requests_.emplace(running.get(), running);
  running->Start();
}

const control::TrafficService* TrafficGateway::PickService(const control::TrafficRoute& route) {
  const control::RouteTarget* target = split_.Next(route);
  return target == nullptr ? nullptr : routes_.FindService(target->service());
}

void TrafficGateway::Retire(TrafficRequest* request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  ended_requests_.push_back(std::move(found->second));
  requests_.erase(found);
  Sweep();
}

void TrafficGateway::Sweep() {
  if (sweep_timer_.running()) return;
  sweep_timer_.Start(runtime::Duration::zero(), [this] {
    ended_calls_.clear();
    ended_requests_.clear();
    if (requests_.empty() && on_quiet_) std::exchange(on_quiet_, nullptr)();
  });
}

void TrafficGateway::OnQuiet(std::function<void()> done) {
  on_quiet_ = std::move(done);
  Sweep();
}

}  // namespace posthatch::traffic
