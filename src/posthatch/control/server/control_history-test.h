#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// What happened, seen from outside: by which version gateways decided, with which token they
// ordered workers, what operators sent and were told. `Violations` is the ground on which the
// simulated runs are judged, and is itself tested with histories that break each rule.
class ControlHistory {
 public:
  struct Decision {
    runtime::MonotonicTime at;
    std::string gateway;
    uint64_t incarnation;
    uint64_t version;
  };
  struct Order {
    runtime::MonotonicTime at;
    std::string worker;
    std::string gateway;
    uint64_t token;
  };
  struct Acknowledgement {
    runtime::MonotonicTime at;
    std::string request_id;
    uint64_t version;
  };

  void Decide(Decision decision) { decisions_.push_back(std::move(decision)); }
  void GiveOrder(Order order) { orders_.push_back(std::move(order)); }
  void Acknowledge(Acknowledgement ack) { acks_.push_back(std::move(ack)); }
  // An operator was told that the change lost.
  void Refuse(std::string request_id) { refused_.insert(std::move(request_id)); }
  // The accepted versions with their request ids, as read at the end.
  void SetFinalHistory(std::vector<std::pair<uint64_t, std::string>> history) {
    final_history_ = std::move(history);
  }

  size_t decisions() const { return decisions_.size(); }
  size_t orders() const { return orders_.size(); }
  size_t acknowledgements() const { return acks_.size(); }

  // `tolerance`: how long after an acknowledgement an older version may still be decided by.
  std::vector<std::string> Violations(runtime::Duration tolerance) const {
    std::vector<std::string> violations;
    CheckDecisions(tolerance, &violations);
    CheckWinners(&violations);
    CheckOrders(&violations);
    return violations;
  }

 private:
  void CheckDecisions(runtime::Duration tolerance, std::vector<std::string>* violations) const {
    std::map<std::pair<std::string, uint64_t>, uint64_t> last;
    for (const Decision& decision : decisions_) {
      uint64_t& before = last[{decision.gateway, decision.incarnation}];
      if (decision.version < before) {
        violations->push_back(absl::StrCat("N8: ", decision.gateway, " went back from ", before,
                                           " to ", decision.version));
      }
      before = decision.version;
      for (const Acknowledgement& ack : acks_) {
        if (decision.at < ack.at + tolerance || decision.version >= ack.version) continue;
        violations->push_back(absl::StrCat("N8: ", decision.gateway, " decided by ",
                                           decision.version, " ",
                                           runtime::ToMilliseconds(decision.at - ack.at),
                                           " ms after version ", ack.version, " was acknowledged"));
        break;
      }
    }
  }

  void CheckWinners(std::vector<std::string>* violations) const {
    std::map<std::string, uint64_t> answers;
    std::map<uint64_t, std::string> winners;
    for (const Acknowledgement& ack : acks_) {
      const auto [answer, first] = answers.try_emplace(ack.request_id, ack.version);
      if (!first && answer->second != ack.version) {
        violations->push_back("N8: another answer for a resend of " + ack.request_id);
      }
      const auto [winner, alone] = winners.try_emplace(ack.version, ack.request_id);
      if (!alone && winner->second != ack.request_id) {
        violations->push_back(absl::StrCat("N8: two won version ", ack.version));
      }
    }
    std::set<std::string> seen;
    std::map<uint64_t, std::string> kept;
    for (const auto& [version, request_id] : final_history_) {
      if (!seen.insert(request_id).second) {
        violations->push_back("N8: applied twice: " + request_id);
      }
      kept[version] = request_id;
      if (refused_.contains(request_id)) {
        violations->push_back("N8: refused, though it was applied: " + request_id);
      }
    }
    for (const Acknowledgement& ack : acks_) {
      const auto found = kept.find(ack.version);
      if (found == kept.end() || found->second != ack.request_id) {
        violations->push_back("N9: acknowledged and missing: " + ack.request_id);
      }
    }
  }

  void CheckOrders(std::vector<std::string>* violations) const {
    std::map<std::string, Order> last;
    for (const Order& order : orders_) {
      const auto before = last.find(order.worker);
      if (before != last.end() &&
          (order.token < before->second.token ||
           (order.token == before->second.token && order.gateway != before->second.gateway))) {
        violations->push_back(absl::StrCat("N6: ", order.gateway, " ordered ", order.worker,
                                           " with token ", order.token, " after token ",
                                           before->second.token));
      }
      last[order.worker] = order;
    }
  }

  std::vector<Decision> decisions_;  // in order of time, as are the others
  std::vector<Order> orders_;
  std::vector<Acknowledgement> acks_;
  std::set<std::string> refused_;
  std::vector<std::pair<uint64_t, std::string>> final_history_;
};

}  // namespace posthatch::control
