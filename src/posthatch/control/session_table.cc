#include "posthatch/control/session_table.h"

#include <algorithm>

namespace posthatch::control {

Session* SessionTable::Renew(const SessionRenewal& renewal, const std::string& endpoint,
                             runtime::MonotonicTime expiry, uint64_t applied_index) {
  const SessionKey key{renewal.gateway(), renewal.incarnation()};
  const auto [entry, is_new] = sessions_.try_emplace(key);
  Session& session = entry->second;
  if (!is_new && renewal.renewal() <= session.renewal) return nullptr;
  session.key = key;
  session.zone = renewal.zone();
  session.endpoint = endpoint;
  session.expiry = std::max(session.expiry, expiry);
  session.renewal = renewal.renewal();
  const SectionIndices known = IndicesOf(renewal);
  for (size_t i = 0; i < kSectionCount; ++i) {
    session.known[i] = std::max(session.known[i], known[i]);
  }
  if (is_new) session.known_up_to = applied_index;
  session.known_up_to = std::max(session.known_up_to, HighestIndex(known));
  return &session;
}

Session* SessionTable::Find(const SessionKey& key) {
  const auto found = sessions_.find(key);
  return found == sessions_.end() ? nullptr : &found->second;
}

void SessionTable::Acknowledge(const SessionKey& key, uint64_t applied_index,
                               const FleetState& state) {
  Session* session = Find(key);
  if (session == nullptr) return;
  session->known_up_to = std::max(session->known_up_to, applied_index);
  const SectionIndices newest = IndicesOf(state);
  for (size_t i = 0; i < kSectionCount; ++i) {
    if (newest[i] <= applied_index) session->known[i] = std::max(session->known[i], newest[i]);
  }
}

void SessionTable::RemoveExpired(runtime::MonotonicTime now) {
  std::erase_if(sessions_, [now](const auto& entry) { return entry.second.expiry <= now; });
}

bool SessionTable::InForceEverywhere(uint64_t log_index, runtime::MonotonicTime now) const {
  return std::all_of(sessions_.begin(), sessions_.end(), [log_index, now](const auto& entry) {
    return entry.second.expiry <= now || entry.second.known_up_to >= log_index;
  });
}

}  // namespace posthatch::control
