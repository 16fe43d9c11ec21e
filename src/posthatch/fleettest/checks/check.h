#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "posthatch/fleettest/checks/recorded_history.h"

// The invariant checks N1 to N11: pure functions of the events that callers, back ends and
// operators recorded.
namespace posthatch::fleettest {

// The result of one check. `examined` counts the cases that could have violated the invariant: a
// check with no such case is inconclusive.
class CheckResult {
 public:
  static constexpr size_t kMaxExamples = 5;

  CheckResult(std::string_view id, std::string_view title) : id_(id), title_(title) {}

  void Examine() { ++examined_; }
  void Violate(std::string example) {
    ++violations_;
    if (examples_.size() < kMaxExamples) examples_.push_back(std::move(example));
  }

  const std::string& id() const { return id_; }
  const std::string& title() const { return title_; }
  uint64_t examined() const { return examined_; }
  uint64_t violations() const { return violations_; }
  const std::vector<std::string>& examples() const { return examples_; }

 private:
  std::string id_;
  std::string title_;
  uint64_t examined_ = 0;
  uint64_t violations_ = 0;
  std::vector<std::string> examples_;
};

class Check {
 public:
  virtual ~Check() = default;
  virtual CheckResult Run(const RecordedHistory& history) const = 0;
};

// Returns one instance of each check, ordered from N1 to N11.
std::vector<std::unique_ptr<Check>> AllChecks();

}  // namespace posthatch::fleettest
