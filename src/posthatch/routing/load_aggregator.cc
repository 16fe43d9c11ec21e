#include "posthatch/routing/load_aggregator.h"

#include <algorithm>
#include <utility>

namespace posthatch::routing {

LoadAggregator::LoadAggregator(runtime::TimerService* timers, const LoadReporterOptions* options,
                               Sources sources)
    : options_(options), sources_(std::move(sources)), timer_(timers) {}

void LoadAggregator::Start() {
  if (timer_.running()) return;
  timer_.Start(options_->aggregation_period, [this] { SendAggregates(); });
}

void LoadAggregator::ForwardLocalPrefills(const std::vector<PrefillStart>& starts) {
  std::vector<PrefillStart>& pending = pending_prefills_[options_->zone];
  pending.insert(pending.end(), starts.begin(), starts.end());
}

void LoadAggregator::ForwardPrefill(const std::string& zone, PrefillStart start) {
  if (!running()) return;
  std::vector<PrefillStart>& pending = pending_prefills_[zone];
  if (pending.size() < options_->max_prefill_starts) pending.push_back(std::move(start));
}

void LoadAggregator::SendAggregates() {
  const LoadTopology topology = sources_.topology();
  if (!topology.UsesAggregators() || !topology.IsAggregator()) {
    reported_.clear();
    pending_prefills_.clear();
    return;
  }
  const uint64_t bytes_before = sources_.sender->bytes_sent();
  SendZoneReports(topology, std::exchange(full_report_due_, false));
  const auto bytes = static_cast<double>(sources_.sender->bytes_sent() - bytes_before);
  // Delays the next reports until these bytes fit into `aggregator_bytes_per_second`.
  const auto link_time = std::chrono::duration_cast<runtime::Duration>(
      std::chrono::duration<double>(bytes / options_->aggregator_bytes_per_second));
  timer_.Start(std::max(options_->aggregation_period, link_time), [this] { SendAggregates(); });
}

void LoadAggregator::SendZoneReports(const LoadTopology& topology, bool full) {
  std::vector<LoadReport> member_reports;
  const LoadReport local_zone = MakeZoneReport(options_->zone, LocalZoneLoad(), full);
  if (full || HasEntries(local_zone)) {
    sources_.sender->Send(topology.OtherAggregators(), local_zone);
    if (!topology.ZoneReportsDirectly()) member_reports.push_back(local_zone);
  }
  sources_.remote_loads->VisitZones([&](const std::string& zone, const LoadMap& loads) {
    if (zone == options_->zone) return;
    LoadReport report = MakeZoneReport(zone, loads, full);
    if (full || HasEntries(report)) member_reports.push_back(std::move(report));
  });
  LoadReport stores;
  sources_.store_health->AddTo(full, &stores);
  if (stores.stores_size() > 0) member_reports.push_back(std::move(stores));
  sources_.sender->SendBatched(topology.ZoneMembers(), std::move(member_reports));
}

LoadReport LoadAggregator::MakeZoneReport(const std::string& zone, const LoadMap& loads,
                                          bool full) {
  LoadReport report;
  report.set_zone(zone);
  reported_[zone].AddChanges(
      loads, full,
      [this](const Load& current, const Load& reported) {
        return DiffersForRemoteZones(current, reported);
      },
      &report);
  MovePrefillStarts(options_->max_prefill_starts, &pending_prefills_[zone], &report);
  return report;
}

LoadMap LoadAggregator::LocalZoneLoad() const {
  LoadMap sum = *sources_.local_loads;
  sources_.remote_loads->AddGatewayLoads(&sum);
  return sum;
}

bool LoadAggregator::DiffersForRemoteZones(const Load& current, const Load& reported) const {
  if (current == reported) return false;
  const auto differ_by = [](uint64_t left, uint64_t right, uint64_t bound) {
    return (left > right ? left - right : right - left) >= bound;
  };
  return current == Load() ||
         differ_by(current.pending_tokens, reported.pending_tokens, options_->cross_zone_tokens) ||
         differ_by(current.in_flight, reported.in_flight, options_->cross_zone_in_flight);
}

}  // namespace posthatch::routing
