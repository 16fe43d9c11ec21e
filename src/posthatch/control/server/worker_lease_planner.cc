#include "posthatch/control/server/worker_lease_planner.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/control/state/fingerprint.h"

namespace posthatch::control {
namespace {

// Leases that a gateway may hold above its fair share before some are released.
constexpr size_t kMaxLeasesAboveFairShare = 1;

// Gateways that may hold the leases of one zone's workers: those of the zone, or all if it has
// none.
using Candidates = std::vector<const Session*>;

// Computes one plan: first examines each lease (RetainOrRelease), then, if nothing is to be
// released, grants the workers without a lease (GrantUnassigned).
class Planner {
 public:
  Planner(const FleetState& fleet, const std::map<SessionKey, Session>& sessions,
          runtime::MonotonicTime now) {
    for (const auto& [key, session] : sessions) {
      if (session.expiry <= now) continue;
      candidates_by_zone_[session.zone].push_back(&session);
      all_candidates_.push_back(&session);
    }
    for (const Backend& backend : fleet.inventory().backends()) {
      if (backend.kind() != BACKEND_KIND_WORKER) continue;
      worker_zones_[backend.id()] = backend.zone();
      ++worker_counts_[&CandidatesFor(backend.zone())];
    }
  }

  GrantWorkerLeases Run(const FleetState& fleet) {
    for (const WorkerLease& lease : fleet.leases()) RetainOrRelease(lease);
    if (command_.released().empty()) GrantUnassigned();
    return std::move(command_);
  }

 private:
  const Candidates& CandidatesFor(const std::string& zone) const {
    const auto found = candidates_by_zone_.find(zone);
    return found == candidates_by_zone_.end() ? all_candidates_ : found->second;
  }

  // Maximum number of leases of each candidate.
  size_t Capacity(const Candidates& candidates) const {
    const auto workers = worker_counts_.find(&candidates);
    const size_t count = workers == worker_counts_.end() ? 0 : workers->second;
    return (count + candidates.size() - 1) / candidates.size() + kMaxLeasesAboveFairShare;
  }

  // Whether the command has reached kMaxChanges.
  bool IsFull() const {
    return command_.grants_size() + command_.released_size() >= WorkerLeasePlanner::kMaxChanges;
  }

  void RetainOrRelease(const WorkerLease& lease) {
    const SessionKey lease_holder{lease.holder(), lease.holder_incarnation()};
    const auto zone = worker_zones_.find(lease.worker_id());
    bool keep = false;
    if (zone != worker_zones_.end()) {
      const Candidates& candidates = CandidatesFor(zone->second);
      const bool is_candidate = std::any_of(
          candidates.begin(), candidates.end(),
          [&lease_holder](const Session* session) { return session->key == lease_holder; });
      size_t& lease_count = lease_counts_[&candidates][lease_holder];
      keep = is_candidate && lease_count < Capacity(candidates);
      if (keep) ++lease_count;
      worker_zones_.erase(zone);
    }
    if (!keep && !IsFull()) command_.add_released(lease.worker_id());
  }

  void GrantUnassigned() {
    for (const auto& [worker_id, zone] : worker_zones_) {
      if (IsFull()) return;
      const Candidates& candidates = CandidatesFor(zone);
      const Session* lease_holder = SelectLeaseHolder(worker_id, candidates);
      if (lease_holder == nullptr) return;
      ++lease_counts_[&candidates][lease_holder->key];
      WorkerLease* grant = command_.add_grants();
      grant->set_worker_id(worker_id);
      grant->set_holder(lease_holder->key.gateway);
      grant->set_holder_incarnation(lease_holder->key.incarnation);
    }
  }

  // Rendezvous hashing among the candidates with spare capacity; null if there is none.
  const Session* SelectLeaseHolder(const std::string& worker_id, const Candidates& candidates) {
    std::map<SessionKey, size_t>& lease_counts = lease_counts_[&candidates];
    const Session* best = nullptr;
    uint64_t best_score = 0;
    for (const Session* session : candidates) {
      if (lease_counts[session->key] >= Capacity(candidates)) continue;
      const uint64_t score = FingerprintOf(absl::StrCat(worker_id, "/", session->key.gateway)).low;
      if (best != nullptr && score <= best_score) continue;
      best = session;
      best_score = score;
    }
    return best;
  }

  std::map<std::string, Candidates> candidates_by_zone_;
  Candidates all_candidates_;
  // Number of leases that each gateway holds, keyed by the group of candidates.
  std::map<const Candidates*, std::map<SessionKey, size_t>> lease_counts_;
  // Zones of the workers whose leases haven't been examined, keyed by worker id; after all leases,
  // those of the workers without a lease.
  std::map<std::string, std::string> worker_zones_;
  std::map<const Candidates*, size_t> worker_counts_;  // workers per group of candidates
  GrantWorkerLeases command_;
};

}  // namespace

GrantWorkerLeases WorkerLeasePlanner::PlanForRestartedGateways(const FleetState& fleet,
                                                               const SessionTable& sessions) {
  GrantWorkerLeases plan;
  for (const WorkerLease& lease : fleet.leases()) {
    if (plan.grants_size() + plan.released_size() >= kMaxChanges) break;
    const Session* successor = sessions.FindSuccessor({lease.holder(), lease.holder_incarnation()});
    if (successor == nullptr) continue;
    plan.add_released(lease.worker_id());
    WorkerLease* grant = plan.add_grants();
    grant->set_worker_id(lease.worker_id());
    grant->set_holder(successor->key.gateway);
    grant->set_holder_incarnation(successor->key.incarnation);
  }
  return plan;
}

GrantWorkerLeases WorkerLeasePlanner::Plan(const FleetState& fleet,
                                           const std::map<SessionKey, Session>& sessions,
                                           runtime::MonotonicTime now) {
  return Planner(fleet, sessions, now).Run(fleet);
}

}  // namespace posthatch::control
