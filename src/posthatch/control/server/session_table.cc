#include "posthatch/control/server/session_table.h"

#include <algorithm>

namespace posthatch::control {

void Session::Acknowledge(const SectionIndices& in_force) {
  acked_index = std::max(acked_index, HighestIndex(in_force));
  for (size_t i = 0; i < kSectionCount; ++i) {
    acked_versions[i] = std::max(acked_versions[i], in_force[i]);
  }
}

Session* SessionTable::Renew(const SessionRenewal& renewal, const std::string& endpoint,
                             runtime::MonotonicTime now, runtime::Duration lease,
                             uint64_t applied_index, uint64_t term) {
  const SessionKey key{renewal.gateway(), renewal.incarnation()};
  const auto [entry, is_new] = sessions_.try_emplace(key);
  Session& session = entry->second;
  if (!is_new && renewal.renewal() <= session.renewal) return nullptr;
  session.key = key;
  session.zone = renewal.zone();
  session.endpoint = endpoint;
  session.expiry = std::max(session.expiry, now + lease);
  session.renewal = renewal.renewal();
  session.last_renewal_at = now;
  if (is_new) {
    session.acked_index = applied_index;
    session.first_renewal = renewal.renewal();
    session.first_granted_at = now;
  }
  session.Acknowledge(IndicesOf(renewal));
  const bool acks_grant =
      renewal.granted_term() == term && renewal.granted_renewal() >= session.first_renewal;
  if (!is_new && acks_grant && !session.grant_acked) {
    session.grant_acked = true;
    RemovePreviousIncarnations(session);
  }
  return &session;
}

void SessionTable::RemovePreviousIncarnations(const Session& session) {
  std::erase_if(sessions_, [&session](const auto& entry) {
    const Session& other = entry.second;
    return other.key.gateway == session.key.gateway && other.key != session.key &&
           other.last_renewal_at < session.first_granted_at;
  });
}

const Session* SessionTable::FindSuccessor(const SessionKey& predecessor) const {
  if (sessions_.contains(predecessor)) return nullptr;  // `predecessor` may still be running
  const auto first = sessions_.lower_bound({predecessor.gateway, 0});
  for (auto entry = first; entry != sessions_.end(); ++entry) {
    if (entry->first.gateway != predecessor.gateway) break;
    if (entry->second.grant_acked) return &entry->second;
  }
  return nullptr;
}

Session* SessionTable::Find(const SessionKey& key) {
  const auto found = sessions_.find(key);
  return found == sessions_.end() ? nullptr : &found->second;
}

void SessionTable::Acknowledge(const SessionKey& key, const SectionIndices& in_force) {
  Session* session = Find(key);
  if (session != nullptr) session->Acknowledge(in_force);
}

void SessionTable::RemoveExpired(runtime::MonotonicTime now) {
  std::erase_if(sessions_, [now](const auto& entry) { return entry.second.expiry <= now; });
}

bool SessionTable::AckedByAllSessions(uint64_t log_index, runtime::MonotonicTime now) const {
  return std::all_of(sessions_.begin(), sessions_.end(), [log_index, now](const auto& entry) {
    return entry.second.expiry <= now || entry.second.acked_index >= log_index;
  });
}

}  // namespace posthatch::control
