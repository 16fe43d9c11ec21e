#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace posthatch::consensus {

// Records what clients and replicas of a replicated log observed in one run, and checks it. The
// linearizable object is the list of commands: an append returns its position, a read the number of
// commands that it observed. Positions define the order, so linearizability means that an operation
// that ended before another one began precedes it in that order.
class LogHistory {
 public:
  struct Operation {
    bool is_read = false;
    std::string command;  // appends only
    int64_t begin_ns = 0;
    std::optional<int64_t> end_ns;  // unset if there was no result or an uncertain one
    uint64_t position = 0;          // position of a completed append; commands observed by a read
  };

  void AddOperation(Operation operation) { operations_.push_back(std::move(operation)); }

  // Called when `replica` has applied `command` at `position`, counted from 1.
  void OnApplied(const std::string& replica, uint64_t position, const std::string& command) {
    const auto [known, is_new] = applied_.emplace(position, command);
    if (!is_new && known->second != command) {
      violations_.push_back(replica + " applied a different command at " +
                            std::to_string(position));
    }
    if (is_new && !commands_.emplace(command, position).second) {
      violations_.push_back("command " + command + " applied twice");
    }
  }

  void OnLeader(const std::string& replica, uint64_t term) {
    const auto [known, is_new] = leaders_.emplace(term, replica);
    if (!is_new && known->second != replica) {
      violations_.push_back("two leaders in term " + std::to_string(term));
    }
  }

  // Called when several replicas claim a quorum at the same time.
  void OnTwoQuorums() { violations_.emplace_back("two replicas have a quorum at the same time"); }

  // Returns all violations. `final_length` is the final number of commands on the replicas.
  std::vector<std::string> Check(uint64_t final_length) const {
    std::vector<std::string> violations = violations_;
    CheckAcknowledged(final_length, &violations);
    CheckOrder(&violations);
    return violations;
  }

  size_t acknowledged() const {
    return static_cast<size_t>(
        std::count_if(operations_.begin(), operations_.end(),
                      [](const Operation& op) { return !op.is_read && op.end_ns.has_value(); }));
  }
  size_t reads() const {
    return static_cast<size_t>(
        std::count_if(operations_.begin(), operations_.end(),
                      [](const Operation& op) { return op.is_read && op.end_ns.has_value(); }));
  }
  size_t leaders() const { return leaders_.size(); }

 private:
  void CheckAcknowledged(uint64_t final_length, std::vector<std::string>* violations) const {
    for (const Operation& operation : operations_) {
      if (operation.is_read || !operation.end_ns.has_value()) continue;
      const auto found = commands_.find(operation.command);
      if (found == commands_.end() || found->second != operation.position ||
          operation.position > final_length) {
        violations->push_back("acknowledged command " + operation.command + " is lost");
      }
    }
  }

  // Rank of an operation in log order: a read follows the last append that it observed.
  static std::pair<uint64_t, bool> Rank(const Operation& operation) {
    return {operation.position, operation.is_read};
  }

  void CheckOrder(std::vector<std::string>* violations) const {
    std::vector<Operation> finished;
    for (const Operation& operation : operations_) {
      if (operation.end_ns.has_value()) finished.push_back(operation);
      const auto found = commands_.find(operation.command);
      const bool took_effect = !operation.is_read && found != commands_.end();
      if (operation.end_ns.has_value() || !took_effect) continue;
      // An append without a result that is in the log must have begun before the end of any
      // operation that observed it.
      Operation effective = operation;
      effective.position = found->second;
      finished.push_back(effective);
    }
    std::vector<const Operation*> by_begin;
    std::vector<const Operation*> by_end;
    for (const Operation& operation : finished) {
      by_begin.push_back(&operation);
      if (operation.end_ns.has_value()) by_end.push_back(&operation);
    }
    std::sort(by_begin.begin(), by_begin.end(),
              [](const Operation* a, const Operation* b) { return a->begin_ns < b->begin_ns; });
    std::sort(by_end.begin(), by_end.end(),
              [](const Operation* a, const Operation* b) { return *a->end_ns < *b->end_ns; });
    std::pair<uint64_t, bool> highest_ended{0, false};
    size_t ended = 0;
    for (const Operation* operation : by_begin) {
      while (ended < by_end.size() && *by_end[ended]->end_ns < operation->begin_ns) {
        highest_ended = std::max(highest_ended, Rank(*by_end[ended++]));
      }
      // Reads may have equal ranks; an append must rank above all operations that ended before it.
      if (Rank(*operation) < highest_ended) {
        violations->push_back((operation->is_read ? "read of " : "append at ") +
                              std::to_string(operation->position) + " began after " +
                              std::to_string(highest_ended.first) + " was observed");
      }
    }
  }

  std::vector<Operation> operations_;
  std::map<uint64_t, std::string> applied_;   // command, keyed by position
  std::map<std::string, uint64_t> commands_;  // position, keyed by command
  std::map<uint64_t, std::string> leaders_;   // replica, keyed by term
  std::vector<std::string> violations_;
};

}  // namespace posthatch::consensus
