#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// One life of one gateway process.
struct SessionKey {
  std::string gateway;
  uint64_t incarnation = 0;

  friend auto operator<=>(const SessionKey&, const SessionKey&) = default;
};

struct Session {
  SessionKey key;
  std::string zone;
  std::string endpoint;
  // Never before the end of the lease as the gateway counts it.
  runtime::MonotonicTime expiry;
  uint64_t renewal = 0;
  SectionIndices acked_versions{};  // sections that the gateway has said to be in force
  uint64_t acked_index = 0;  // every change up to this log index is in force there, or no lease is
  runtime::MonotonicTime last_renewal_at;  // its last renewal
  // The first grant: once the gateway has answered it, this life of it is known to have gone on
  // after `first_granted_at`.
  uint64_t first_renewal = 0;
  runtime::MonotonicTime first_granted_at;
  bool grant_acked = false;
  uint64_t sent_index = 0;  // what was last sent to it, and when
  runtime::MonotonicTime sent_at;
};

// The sessions that the leading controller has granted, in its memory only. Times are given by the
// caller. Owned by ControllerService.
class SessionTable {
 public:
  // Renews or begins a session; null if the renewal is an old one that came late. A session that
  // begins gets its first lease with the state as of `applied_index`. `term` is
  // the one that this leader grants in. Sessions of earlier lives of the gateway end as soon as
  // they are known to be over.
  Session* Renew(const SessionRenewal& renewal, const std::string& endpoint,
                 runtime::MonotonicTime now, runtime::Duration lease, uint64_t applied_index,
                 uint64_t term);
  // Null if there is none.
  Session* Find(const SessionKey& key);
  // The gateway has the sections of these indices in force.
  void Acknowledge(const SessionKey& key, const SectionIndices& in_force);
  void End(const SessionKey& key) { sessions_.erase(key); }
  void Clear() { sessions_.clear(); }
  void RemoveExpired(runtime::MonotonicTime now);

  // The life of the gateway of `holder` that is known to have begun after `holder` ended; null if
  // there is none. A node runs one process at a time, so one of its lives that went on after
  // another one had been heard of is the later one.
  const Session* FindSuccessor(const SessionKey& holder) const;

  // True if every session that hasn't run out at `now` knows all changes up to `log_index`.
  bool AckedByAllSessions(uint64_t log_index, runtime::MonotonicTime now) const;
  const std::map<SessionKey, Session>& sessions() const { return sessions_; }
  std::map<SessionKey, Session>& mutable_sessions() { return sessions_; }

 private:
  void ExpirePreviousIncarnations(const Session& session);

  std::map<SessionKey, Session> sessions_;
};

}  // namespace posthatch::control
