#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// A gateway's view of its own session lease: the renewals in flight and the latest expiry that was
// granted. A lease is counted from when its renewal was sent, so that it never ends here later than
// at the leader. Reads no clock: the caller passes the time. Owned by GatewaySession.
class SessionLease {
 public:
  // Records a renewal that is sent `now`; returns its number.
  uint64_t StartRenewal(runtime::MonotonicTime now);
  uint64_t last_renewal() const { return last_renewal_; }
  // True until the leader has responded to a renewal after the newest one was sent.
  bool AwaitsResponse() const { return last_renewal_ > responded_renewal_; }
  // When `renewal` was sent; nullopt if a grant for it comes too late to be used, or is a
  // duplicate.
  std::optional<runtime::MonotonicTime> SentAt(uint64_t renewal) const;
  // The leader responded to `renewal`: grants for it and for older ones are ignored from now on.
  void OnResponse(uint64_t renewal);

  void Extend(runtime::MonotonicTime expiry);
  // Gives up the lease for good: later grants don't make it valid again.
  void End();
  bool ended() const { return ended_; }

  bool Valid(runtime::MonotonicTime now) const { return granted_ && !ended_ && now < expiry_; }
  // Whether a lease was ever granted and hasn't been given up; it may have expired.
  bool granted() const { return granted_; }
  runtime::MonotonicTime expiry() const { return expiry_; }

 private:
  static constexpr size_t kMaxPendingRenewals = 32;

  std::map<uint64_t, runtime::MonotonicTime> pending_;  // renewal -> when it was sent
  uint64_t last_renewal_ = 0;
  uint64_t responded_renewal_ = 0;
  bool granted_ = false;
  bool ended_ = false;
  runtime::MonotonicTime expiry_;
};

}  // namespace posthatch::control
