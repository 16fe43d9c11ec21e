#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// Identifies one incarnation of a gateway process.
struct SessionKey {
  std::string gateway;  // node id
  uint64_t incarnation = 0;

  friend auto operator<=>(const SessionKey&, const SessionKey&) = default;
};

// A gateway's session as the leader knows it.
struct Session {
  SessionKey key;
  std::string zone;
  std::string endpoint;
  // Never earlier than the lease expires by the gateway's own clock.
  runtime::MonotonicTime expiry;
  uint64_t renewal = 0;  // sequence number of the newest renewal
  runtime::MonotonicTime last_renewal_at;

  // Versions of the sections that the gateway has reported as in force.
  SectionIndices acked_versions{};
  // Every change up to this log index is in force at the gateway, unless the gateway has no lease.
  uint64_t acked_index = 0;

  // Renewal number and time of the session's first grant. Once the gateway acknowledges it, this
  // incarnation is known to have run after `first_granted_at`.
  uint64_t first_renewal = 0;
  runtime::MonotonicTime first_granted_at;
  bool grant_acked = false;

  // Log index of the state last sent to the gateway by a grant or push, and when it was sent.
  uint64_t sent_index = 0;
  runtime::MonotonicTime sent_at;

  void Acknowledge(const SectionIndices& in_force);
};

// The sessions that the leader has granted in its term. Kept in memory only: the next leader waits
// until they have expired. Callers pass the current time. Owned by ControllerService; event loop
// thread only.
class SessionTable {
 public:
  // Renews or starts a session; null unless the renewal is newer than the last one. A new session
  // is sent the state as of `applied_index` with its first lease. `term` is that of this leader.
  // Ends the sessions of previous incarnations of the gateway as soon as they are known to have
  // ended.
  Session* Renew(const SessionRenewal& renewal, const std::string& endpoint,
                 runtime::MonotonicTime now, runtime::Duration lease, uint64_t applied_index,
                 uint64_t term);
  // Null if `key` has no session.
  Session* Find(const SessionKey& key);
  // No effect if `key` has no session.
  void Acknowledge(const SessionKey& key, const SectionIndices& in_force);
  void End(const SessionKey& key) { sessions_.erase(key); }
  void Clear() { sessions_.clear(); }
  void RemoveExpired(runtime::MonotonicTime now);

  // The incarnation of `predecessor`'s gateway that is known to have started after `predecessor`
  // ended; null if there is none. A node runs one process at a time: of two incarnations, the one
  // that ran after the other one's last renewal is the later one.
  const Session* FindSuccessor(const SessionKey& predecessor) const;

  // True if every session that is valid at `now` has acknowledged all changes up to `log_index`.
  bool AckedByAllSessions(uint64_t log_index, runtime::MonotonicTime now) const;
  const std::map<SessionKey, Session>& sessions() const { return sessions_; }
  std::map<SessionKey, Session>& mutable_sessions() { return sessions_; }

 private:
  // Removes the sessions of incarnations that last renewed before the first grant of `session`.
  // Requires that `session` has acknowledged a grant.
  void RemovePreviousIncarnations(const Session& session);

  std::map<SessionKey, Session> sessions_;
};

}  // namespace posthatch::control
