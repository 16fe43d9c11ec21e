#include "posthatch/routing/traffic_gateway.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::routing {
namespace {

// A gateway reads the inventory itself when the leader's copy is older than the drain bound minus
// this time, which allows for the spread of the gateways' reads, a rejection by the rate limit, and
// the read itself.
constexpr runtime::Duration kInventoryReadAllowance = std::chrono::milliseconds(1500);
// Interval of applying state that depends on time alone (slow start, revision deadlines).
constexpr runtime::Duration kRefreshInterval = std::chrono::milliseconds(500);
constexpr runtime::Duration kRetryAfter = std::chrono::milliseconds(300);
// Controllers that start together take about this long to elect a leader.
constexpr runtime::Duration kRetryAfterWithoutConfiguration = std::chrono::milliseconds(1200);

}  // namespace

TrafficGateway::TrafficGateway(runtime::Runtime* runtime, TrafficGatewayOptions options,
                               control::FleetView* view, index::PrefixLocator* locator,
                               const invalidation::ObjectTrust* trust)
    : runtime_(runtime),
      options_(std::move(options)),
      view_(view),
      live_gateways_(runtime->clock,
                     [this] { return static_cast<uint32_t>(options_.gateways().size()); }),
      metrics_(runtime->metrics),
      slow_start_limiter_(runtime->clock, options_.gateway_id, options_.gateways),
      load_reporter_(runtime, MakeLoadReporterOptions(), options_.peers),
      pool_(runtime,
            {.revision_deadline = options_.revision_deadline, .switches = options_.switches},
            &slow_start_limiter_, &load_reporter_, &view->revision_timeline()),
      placer_(runtime, options_.zone, &pool_, options_.switches),
      stores_(runtime),
      in_flight_prefills_(runtime->clock, InFlightPrefills::Options()),
      store_health_checker_(runtime, {.format = options_.cache_event_format},
                            MakeStoreHealthCheckerDependencies()),
      retry_budget_(runtime->clock, MakeRetryBudgetOptions()),
      inventory_(runtime, MakeInventoryWatchOptions(), this, view),
      split_(runtime->random),
      sweep_timer_(runtime->timers),
      refresh_timer_(runtime->timers) {
  context_.runtime = runtime;
  context_.format = options_.call_format;
  context_.pool = &pool_;
  context_.placer = &placer_;
  context_.stores = &stores_;
  context_.switches = options_.switches;
  if (options_.switches.announcements) context_.in_flight_prefills = &in_flight_prefills_;
  context_.load_reporter = &load_reporter_;
  context_.retry_budget = &retry_budget_;
  context_.metrics = &metrics_;
  context_.lookup = &lookup_;
  context_.locator = locator;
  context_.trust = trust;
  context_.owner = this;
}

TrafficGateway::~TrafficGateway() = default;

LoadReporterOptions TrafficGateway::MakeLoadReporterOptions() const {
  LoadReporterOptions options;
  options.zone = options_.zone;
  if (!options_.switches.urgent_loads) options.urgent_period = options.relaxed_period;
  return options;
}

control::InventoryWatchOptions TrafficGateway::MakeInventoryWatchOptions() const {
  control::InventoryWatchOptions options;
  options.endpoint = options_.inventory_endpoint;
  options.format = options_.inventory_format;
  options.stale_age = options_.drain_bound - kInventoryReadAllowance;
  options.reads_per_second = options_.inventory_reads_per_second;
  options.share_within_zone = true;
  return options;
}

void TrafficGateway::OnInventoryRead(control::InventoryReadResult result) {
  metrics_.inventory_reads.Increment(std::string(control::MetricLabel(result)));
}

std::vector<control::ZonePeer> TrafficGateway::ZonePeers() const {
  std::vector<control::ZonePeer> peers;
  for (const LoadPeer& peer : options_.peers()) {
    if (peer.zone == options_.zone) peers.push_back({peer.node_id, peer.endpoint});
  }
  return peers;
}

StoreHealthChecker::Dependencies TrafficGateway::MakeStoreHealthCheckerDependencies() {
  StoreHealthChecker::Dependencies dependencies;
  dependencies.stores = [this] { return stores_.Endpoints(); };
  dependencies.is_responsible = [this] { return load_reporter_.IsAggregator(); };
  dependencies.report = [this](const std::string& endpoint, bool alive) {
    load_reporter_.RecordStoreHealth(endpoint, alive);
  };
  return dependencies;
}

RetryBudgetOptions TrafficGateway::MakeRetryBudgetOptions() {
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
  load_reporter_.SetStoreHealthObserver(
      [this](const std::string& endpoint, bool alive) { stores_.RecordHealth(endpoint, alive); });
  load_reporter_.SetPrefillObserver(
      [this](const PrefillStart& start) { in_flight_prefills_.Add(start); });
  store_health_checker_.Start();
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
    runtime_->trace->Event(runtime::Severity::kInfo, "TrafficConfigurationApplied",
                           {{"version", configuration_->version()}, {"index", traffic_index_}});
  }
  if (pool_changed) UpdatePool();
}

void TrafficGateway::UpdatePool() {
  refresh_timer_.Start(kRefreshInterval, [this] { UpdatePool(); });
  pool_.Update(view_->state(), inventory_.local_snapshot(), view_->InventoryAge());
  CheckRevisionDeadlines();
}

void TrafficGateway::CheckRevisionDeadlines() {
  std::vector<std::shared_ptr<TrafficRequest>> running;  // a copy, since ended ones are erased
  running.reserve(requests_.size());
  for (const auto& [key, request] : requests_) running.push_back(request);
  for (const std::shared_ptr<TrafficRequest>& request : running) request->CheckRevisionDeadline();
}

void TrafficGateway::SendLocalReply(http::ResponseWriter* writer, LocalReplyReason reason,
                                    std::string detail) {
  metrics_.responses.Increment(OutcomeLabel(RequestOutcome::kRejected));
  LocalReply reply{reason, runtime::Duration::zero(), std::move(detail)};
  if (reason == LocalReplyReason::kUnavailable) {
    reply.retry_after = configuration_ == nullptr ? kRetryAfterWithoutConfiguration : kRetryAfter;
  }
  writer->SendResponse(options_.call_format->MakeLocalReply(reply));
}

std::optional<TrafficGateway::Rejection> TrafficGateway::Admit(const http::Request& request,
                                                               AdmittedCall* admitted) {
  if (configuration_ == nullptr) {
    return Rejection{LocalReplyReason::kUnavailable, "no configuration is known yet"};
  }
  const control::TrafficRoute* route = routes_.Find(request.headers.Get("Host"), request.target);
  if (route == nullptr) {
    return Rejection{LocalReplyReason::kUnknownRoute, "no route takes this call"};
  }
  absl::StatusOr<InboundCall> call = options_.call_format->ReadCall(request);
  if (!call.ok()) {
    return Rejection{LocalReplyReason::kMalformed, absl::StrCat(call.status().message())};
  }
  admitted->priority = route->priority();
  if (routes_.has_tenants() && !route->public_access()) {
    const control::TrafficTenant* tenant = routes_.FindTenant(call->credential);
    if (tenant == nullptr) {
      return Rejection{LocalReplyReason::kUnauthorized, "the key is not known"};
    }
    admitted->tenant = tenant->name();
    if (tenant->has_priority()) admitted->priority = tenant->priority();
  }
  const control::TrafficService* service = PickService(*route);
  if (service == nullptr || requests_.size() >= options_.max_concurrent_requests) {
    return Rejection{LocalReplyReason::kUnavailable, "too many calls are running"};
  }
  admitted->call = *std::move(call);
  admitted->route = *route;
  admitted->service = *service;
  return std::nullopt;
}

void TrafficGateway::HandleRequest(http::Request request,
                                   std::shared_ptr<http::ResponseWriter> writer) {
  AdmittedCall admitted;
  admitted.received_at = runtime_->clock->Now();
  if (std::optional<Rejection> rejection = Admit(request, &admitted); rejection.has_value()) {
    return SendLocalReply(writer.get(), rejection->reason, std::move(rejection->detail));
  }
  admitted.request = std::move(request);
  admitted.writer = std::move(writer);
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

void TrafficGateway::DestroyLater(std::unique_ptr<http::Call> call) {
  ended_calls_.push_back(std::move(call));
  Sweep();
}

void TrafficGateway::Sweep() {
  if (sweep_timer_.running()) return;
  sweep_timer_.Start(runtime::Duration::zero(), [this] {
    ended_calls_.clear();
    ended_requests_.clear();
    if (requests_.empty() && on_idle_) std::exchange(on_idle_, nullptr)();
  });
}

void TrafficGateway::NotifyWhenIdle(std::function<void()> done) {
  on_idle_ = std::move(done);
  Sweep();
}

}  // namespace posthatch::routing
