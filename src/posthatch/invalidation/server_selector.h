#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::invalidation {

// Chooses the server that a subscription registers with: the controllers in turn, or the relay
// point that one of them has redirected it to. A relay point that fails is avoided for some time.
// Owned by ChannelSubscription; event loop thread only.
class ServerSelector {
 public:
  // Returns the internal endpoints of the controllers, in any order; called at each registration.
  using Endpoints = std::function<std::vector<std::string>()>;

  // `clock` must outlive this object.
  ServerSelector(const runtime::Clock* clock, Endpoints controllers)
      : clock_(clock), controllers_(std::move(controllers)) {}

  // Endpoint of the server to register with; empty if none is known.
  std::string Current() const;
  // The server that redirected to Current() if that is a relay point; else empty.
  const std::string& redirected_from() const { return redirected_from_; }
  // Relay points that are avoided now, sorted.
  std::vector<std::string> AvoidedRelays() const;

  void OnGranted() { consecutive_redirections_ = 0; }
  // Records that `from` redirected to relay point `to`. Returns false if the limit of consecutive
  // redirections is exceeded: the caller must treat `from` as having refused.
  bool Redirect(const std::string& from, const std::string& to);
  // Called when `server` refused, or exceeded the limit of consecutive redirections.
  void OnRefused(const std::string& server);
  // Called when `server` did not respond to a request.
  void OnNoResponse(const std::string& server);
  // Called when the registration at `server` was lost. If `server` is the relay point in use, it is
  // avoided and the controllers are used again.
  void OnRegistrationLost(const std::string& server);
  // Selects the next controller, and leaves the relay point if one is in use.
  void Advance();

 private:
  void AvoidRelay(const std::string& relay);

  const runtime::Clock* const clock_;
  const Endpoints controllers_;
  size_t controller_index_ = 0;
  std::string redirected_to_;  // relay point in use, or empty
  std::string redirected_from_;
  int consecutive_redirections_ = 0;
  absl::btree_map<std::string, runtime::MonotonicTime> avoided_until_;  // keyed by relay endpoint
};

}  // namespace posthatch::invalidation
