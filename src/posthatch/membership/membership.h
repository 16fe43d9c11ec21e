#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace posthatch::membership {

enum class MemberRole { kGateway, kController };
enum class MemberState { kAlive, kSuspect, kDead, kLeft };

// A process of the fleet, as this process knows it.
struct Member {
  std::string node_id;
  MemberRole role = MemberRole::kGateway;
  std::string zone;
  std::string region;
  std::string internal_endpoint;  // "ip:port" for Transport
  std::string http_endpoint;      // "ip:port" for callers and operators
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
};

// The processes that this one believes to be alive. Used to find peers and spread load, never to
// decide about leases or quorums. Event loop thread only.
class Membership {
 public:
  using Listener = std::function<void(const Member&)>;

  virtual ~Membership() = default;
  // Alive and suspect members, sorted by node id; without this process itself and without members
  // whose flapping is damped.
  virtual std::vector<Member> LiveMembers() const = 0;
  // The members that are missing above only because their flapping is damped, sorted by node id.
  // They run as far as this process knows, so that one of them may be the leader.
  virtual std::vector<Member> DampedMembers() const = 0;
  virtual const Member& self() const = 0;
  // Adds a listener, called for each member that is new or whose state, endpoint or incarnation
  // changed.
  virtual void AddListener(Listener listener) = 0;
  // Notifies the others that this process leaves (when it drains).
  virtual void Leave() = 0;
};

}  // namespace posthatch::membership
