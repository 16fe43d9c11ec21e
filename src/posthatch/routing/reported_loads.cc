#include "posthatch/routing/reported_loads.h"

#include <vector>

namespace posthatch::routing {

Load ReportedLoads::Find(const std::string& worker_id) const {
  const auto found = reported_.find(worker_id);
  return found == reported_.end() ? Load() : found->second;
}

void ReportedLoads::AddChanges(const LoadMap& current, bool full, Differs differs,
                               LoadReport* report) {
  const auto add_entry = [this, report](const std::string& worker_id, const Load& load) {
    WorkerLoad* entry = report->add_loads();
    entry->set_worker_id(worker_id);
    entry->set_in_flight(load.in_flight);
    entry->set_pending_tokens(load.pending_tokens);
    reported_[worker_id] = load;
  };
  for (const auto& [worker_id, load] : current) {
    if (differs(load, Find(worker_id)) || (full && load != Load())) add_entry(worker_id, load);
  }
  std::vector<std::string> removed_workers;
  for (const auto& [worker_id, load] : reported_) {
    if (!current.contains(worker_id)) removed_workers.push_back(worker_id);
  }
  for (const std::string& worker_id : removed_workers) {
    add_entry(worker_id, Load());
    reported_.erase(worker_id);
  }
}

}  // namespace posthatch::routing
