#include "posthatch/routing/remote_load_table.h"

namespace posthatch::routing {

void RemoteLoadTable::Apply(const std::string& from_node, const LoadReport& report) {
  ApplyTo(report.zone().empty() ? &gateways_[from_node] : &zones_[report.zone()], report);
}

void RemoteLoadTable::ApplyTo(Source* source, const LoadReport& report) const {
  if (report.incarnation() != source->incarnation) {
    *source = Source();
    source->incarnation = report.incarnation();
  }
  if (report.report() <= source->report) return;
  source->report = report.report();
  source->received_at = clock_->Now();
  for (const WorkerLoad& entry : report.loads()) {
    const Load load{entry.in_flight(), entry.pending_tokens()};
    if (load == Load()) {
      source->loads.erase(entry.worker_id());
    } else {
      source->loads[entry.worker_id()] = load;
    }
  }
}

bool RemoteLoadTable::IsCurrent(const Source& source) const {
  return clock_->Now() - source.received_at <= entry_ttl_;
}

void RemoteLoadTable::EvictExpired() {
  const auto is_expired = [this](const auto& entry) { return !IsCurrent(entry.second); };
  absl::erase_if(gateways_, is_expired);
  absl::erase_if(zones_, is_expired);
}

Load RemoteLoadTable::Total(const std::string& worker_id) const {
  Load sum;
  for (const Sources* sources : {&gateways_, &zones_}) {
    for (const auto& [name, source] : *sources) {
      const auto load = source.loads.find(worker_id);
      if (load != source.loads.end() && IsCurrent(source)) sum.Add(load->second);
    }
  }
  return sum;
}

bool RemoteLoadTable::HasZone(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && IsCurrent(found->second);
}

void RemoteLoadTable::AddGatewayLoads(LoadMap* sum) const {
  for (const auto& [node, source] : gateways_) {
    if (!IsCurrent(source)) continue;
    for (const auto& [worker_id, load] : source.loads) (*sum)[worker_id].Add(load);
  }
}

}  // namespace posthatch::routing
