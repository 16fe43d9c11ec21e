#include "posthatch/gateway/gateway.h"

#include <utility>

#include "posthatch/gateway/live_gateway_count.h"

namespace posthatch::gateway {
namespace {

GatewayOptions WithCachedCount(GatewayOptions options, const runtime::Clock* clock) {
  auto count = std::make_shared<LiveGatewayCount>(clock, std::move(options.live_gateways));
  options.live_gateways = [count] { return count->Get(); };
  return options;
}

}  // namespace

Gateway::Gateway(runtime::Runtime* runtime, GatewayOptions options, control::FleetView* view,
                 control::ControlClient* control, index::PrefixLocator* locator)
    : options_(WithCachedCount(std::move(options), runtime->clock)),
      view_(view),
      metrics_(runtime->metrics),
      backends_(runtime, &options_, &lookup_, &metrics_),
      links_(runtime->clock),
      router_(runtime, &options_, &backends_, locator, &links_, &metrics_),
      retry_budget_(runtime->clock),
      admission_(runtime->clock, &options_, &metrics_),
      inventory_(runtime, WatchOptions(), this, view),
      deliveries_(control, options_.gateway_id),
      requests_(runtime->timers),
      context_{runtime,        &options_, view,        locator,     &metrics_,
               &lookup_,       &tenants_, &admission_, &backends_,  &router_,
               &retry_budget_, &links_,   &requests_,  &inventory_, &deliveries_},
      caller_api_(&context_) {
  view_->AddListener(lifetime_.Guard([this](const control::FleetState&) { OnStateChanged(); }));
  OnStateChanged();
  UpdateBackends();
  inventory_.Start();
}

Gateway::~Gateway() = default;

control::InventoryWatchOptions Gateway::WatchOptions() const {
  control::InventoryWatchOptions options;
  options.endpoint = options_.inventory_endpoint;
  options.reads_per_second = options_.inventory_reads_per_second;
  return options;
}

void Gateway::OnInventoryRead(control::InventoryReadResult result) {
  metrics_.inventory_reads.Increment(std::string(control::MetricLabel(result)));
}

void Gateway::OnStateChanged() {
  const control::FleetState& state = view_->state();
  lookup_.Rebuild(state);
  if (configuration_index_ != state.configuration_index()) {
    configuration_index_ = state.configuration_index();
    tenants_.Rebuild(state.configuration());
  }
  const bool inventory_changed = inventory_index_ != state.inventory_index();
  if (inventory_changed || evacuations_index_ != state.evacuations_index()) UpdateBackends();
}

void Gateway::UpdateBackends() {
  const control::FleetState& state = view_->state();
  inventory_index_ = state.inventory_index();
  evacuations_index_ = state.evacuations_index();
  backends_.Update(state, inventory_.local_snapshot());
}

void Gateway::HandleRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  caller_api_.HandleRequest(std::move(request), std::move(writer));
}

void Gateway::Drain(std::function<void()> done) {
  caller_api_.StopAccepting();
  requests_.OnEmpty(std::move(done));
}

bool Gateway::Ready() const {
  return !caller_api_.draining() && view_->LeaseValid() &&
         view_->state().configuration_version() > 0;
}

}  // namespace posthatch::gateway
