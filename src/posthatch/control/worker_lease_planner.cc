#include "posthatch/control/worker_lease_planner.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/control/fingerprint.h"

namespace posthatch::control {
namespace {

// Workers that a gateway may hold beyond an equal share before some are taken from it.
constexpr size_t kRoomBeyondShare = 1;

using Holders = std::vector<const Session*>;

class Planner {
 public:
  Planner(const FleetState& fleet, const std::map<SessionKey, Session>& sessions,
          runtime::MonotonicTime now) {
    for (const auto& [key, session] : sessions) {
      if (session.expiry <= now) continue;
      holders_by_zone_[session.zone].push_back(&session);
      all_holders_.push_back(&session);
    }
    for (const Backend& backend : fleet.inventory().backends()) {
      if (backend.kind() != BACKEND_KIND_WORKER) continue;
      worker_zones_[backend.id()] = backend.zone();
      ++workers_of_[&CandidatesFor(backend.zone())];
    }
  }

  GrantWorkerLeases Run(const FleetState& fleet) {
    for (const WorkerLease& lease : fleet.leases()) KeepOrRelease(lease);
    if (command_.released().empty()) GrantFree();
    return std::move(command_);
  }

 private:
  const Holders& CandidatesFor(const std::string& zone) const {
    const auto found = holders_by_zone_.find(zone);
    return found == holders_by_zone_.end() ? all_holders_ : found->second;
  }

  // How many workers of its zone a gateway may hold.
  size_t Room(const Holders& candidates) const {
    const auto workers = workers_of_.find(&candidates);
    const size_t count = workers == workers_of_.end() ? 0 : workers->second;
    return (count + candidates.size() - 1) / candidates.size() + kRoomBeyondShare;
  }

  bool Full() const {
    return command_.grants_size() + command_.released_size() >= WorkerLeasePlanner::kMaxChanges;
  }

  void KeepOrRelease(const WorkerLease& lease) {
    const SessionKey holder{lease.holder(), lease.holder_incarnation()};
    const auto zone = worker_zones_.find(lease.worker_id());
    bool keep = false;
    if (zone != worker_zones_.end()) {
      const Holders& candidates = CandidatesFor(zone->second);
      const bool is_candidate =
          std::any_of(candidates.begin(), candidates.end(),
                      [&holder](const Session* session) { return session->key == holder; });
      size_t& held = held_[&candidates][holder];
      keep = is_candidate && held < Room(candidates);
      if (keep) ++held;
      worker_zones_.erase(zone);
    }
    if (!keep && !Full()) command_.add_released(lease.worker_id());
  }

  void GrantFree() {
    for (const auto& [worker_id, zone] : worker_zones_) {
      if (Full()) return;
      const Holders& candidates = CandidatesFor(zone);
      const Session* holder = Choose(worker_id, candidates);
      if (holder == nullptr) return;
      ++held_[&candidates][holder->key];
      WorkerLease* grant = command_.add_grants();
      grant->set_worker_id(worker_id);
      grant->set_holder(holder->key.gateway);
      grant->set_holder_incarnation(holder->key.incarnation);
    }
  }

  // Rendezvous hashing among those with room; null if there is no gateway at all.
  const Session* Choose(const std::string& worker_id, const Holders& candidates) {
    std::map<SessionKey, size_t>& held = held_[&candidates];
    const Session* best = nullptr;
    uint64_t best_score = 0;
    for (const Session* session : candidates) {
      if (held[session->key] >= Room(candidates)) continue;
      const uint64_t score = FingerprintOf(absl::StrCat(worker_id, "/", session->key.gateway)).low;
      if (best != nullptr && score <= best_score) continue;
      best = session;
      best_score = score;
    }
    return best;
  }

  std::map<std::string, Holders> holders_by_zone_;
  Holders all_holders_;
  // Workers that each gateway holds out of those it is a candidate for, by group of candidates.
  std::map<const Holders*, std::map<SessionKey, size_t>> held_;
  std::map<std::string, std::string> worker_zones_;  // workers without a holder, at last
  std::map<const Holders*, size_t> workers_of_;
  GrantWorkerLeases command_;
};

}  // namespace

GrantWorkerLeases WorkerLeasePlanner::PlanRestarted(const FleetState& fleet,
                                                    const SessionTable& sessions) {
  GrantWorkerLeases plan;
  for (const WorkerLease& lease : fleet.leases()) {
    if (plan.grants_size() + plan.released_size() >= kMaxChanges) break;
    const Session* successor = sessions.SuccessorOf({lease.holder(), lease.holder_incarnation()});
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
