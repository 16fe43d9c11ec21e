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

// Records the externally visible events of a run: the configuration versions that gateways decided
// by, the fencing tokens of their commands to workers, and the operators' changes with their
// results. Violations() checks these events of a simulated run; each message starts with the
// violated invariant (N6, N8 or N9).
class ControlHistory {
 public:
  struct Decision {
    runtime::MonotonicTime at;
    std::string gateway;
    uint64_t incarnation;
    uint64_t version;
  };
  struct WorkerCommand {
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

  void RecordDecision(Decision decision) { decisions_.push_back(std::move(decision)); }
  void RecordWorkerCommand(WorkerCommand command) {
    worker_commands_.push_back(std::move(command));
  }
  void RecordAcknowledgement(Acknowledgement ack) { acks_.push_back(std::move(ack)); }
  // Records that an operator received a rejection.
  void RecordRejection(std::string request_id) { rejected_.insert(std::move(request_id)); }
  // Sets the accepted versions with their request ids, as read at the end of the run.
  void SetFinalHistory(std::vector<std::pair<uint64_t, std::string>> history) {
    final_history_ = std::move(history);
  }

  size_t decisions() const { return decisions_.size(); }
  size_t worker_commands() const { return worker_commands_.size(); }
  size_t acknowledgements() const { return acks_.size(); }

  // `tolerance`: how long after an acknowledgement decisions may still use an older version.
  std::vector<std::string> Violations(runtime::Duration tolerance) const {
    std::vector<std::string> violations;
    CheckDecisions(tolerance, &violations);
    CheckWinners(&violations);
    CheckWorkerCommands(&violations);
    return violations;
  }

 private:
  void CheckDecisions(runtime::Duration tolerance, std::vector<std::string>* violations) const {
    std::map<std::pair<std::string, uint64_t>, uint64_t> last_versions;
    for (const Decision& decision : decisions_) {
      uint64_t& last_version = last_versions[{decision.gateway, decision.incarnation}];
      if (decision.version < last_version) {
        violations->push_back(absl::StrCat("N8: ", decision.gateway, " went back from ",
                                           last_version, " to ", decision.version));
      }
      last_version = decision.version;
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
    std::map<std::string, uint64_t> results;
    std::map<uint64_t, std::string> winners;
    for (const Acknowledgement& ack : acks_) {
      const auto [result, is_new_request] = results.try_emplace(ack.request_id, ack.version);
      if (!is_new_request && result->second != ack.version) {
        violations->push_back("N8: a resent change got a different result: " + ack.request_id);
      }
      const auto [winner, is_new_version] = winners.try_emplace(ack.version, ack.request_id);
      if (!is_new_version && winner->second != ack.request_id) {
        violations->push_back(
            absl::StrCat("N8: two changes were acknowledged with version ", ack.version));
      }
    }
    std::set<std::string> seen;
    std::map<uint64_t, std::string> accepted;
    for (const auto& [version, request_id] : final_history_) {
      if (!seen.insert(request_id).second) {
        violations->push_back("N8: applied twice: " + request_id);
      }
      accepted[version] = request_id;
      if (rejected_.contains(request_id)) {
        violations->push_back("N8: applied but reported as rejected: " + request_id);
      }
    }
    for (const Acknowledgement& ack : acks_) {
      const auto found = accepted.find(ack.version);
      if (found == accepted.end() || found->second != ack.request_id) {
        violations->push_back("N9: acknowledged but missing from the final history: " +
                              ack.request_id);
      }
    }
  }

  void CheckWorkerCommands(std::vector<std::string>* violations) const {
    std::map<std::string, WorkerCommand> last_commands;
    for (const WorkerCommand& command : worker_commands_) {
      const auto last_command = last_commands.find(command.worker);
      if (last_command != last_commands.end() &&
          (command.token < last_command->second.token ||
           (command.token == last_command->second.token &&
            command.gateway != last_command->second.gateway))) {
        violations->push_back(absl::StrCat("N6: ", command.gateway, " sent a command to ",
                                           command.worker, " with token ", command.token,
                                           " after token ", last_command->second.token));
      }
      last_commands[command.worker] = command;
    }
  }

  std::vector<Decision> decisions_;  // chronological, like the other recorded events
  std::vector<WorkerCommand> worker_commands_;
  std::vector<Acknowledgement> acks_;
  std::set<std::string> rejected_;
  std::vector<std::pair<uint64_t, std::string>> final_history_;
};

}  // namespace posthatch::control
