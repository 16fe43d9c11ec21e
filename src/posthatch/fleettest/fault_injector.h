#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/process_control_client.h"
#include "posthatch/fleettest/response_dropping_client.h"
#include "posthatch/fleettest/scenario.h"

namespace posthatch::fleettest {

// The result of one fault at one process.
struct FaultOutcome {
  std::string kind;
  std::string target;
  double at_s = 0;     // since the timeline's start
  std::string result;  // "injected", "not applicable: ...", "skipped: ...", "failed: ..."
};

// Injects a scenario's timeline of faults. Event loop thread only; owned by the fleet test.
class FaultInjector {
 public:
  struct Environment {
    Fleet* fleet = nullptr;
    ProcessControlClient* control = nullptr;
    ResponseDroppingClient* operators_client = nullptr;
    // Name of the leading controller, if known.
    std::function<std::string()> leader;
    // A process was replaced or moved: callers, operators and inventory must be updated.
    std::function<void()> on_processes_changed;
  };

  explicit FaultInjector(Environment environment);
  ~FaultInjector();
  FaultInjector(const FaultInjector&) = delete;
  FaultInjector& operator=(const FaultInjector&) = delete;

  // Schedules all faults, relative to the current time.
  void Start(const std::vector<Fault>& faults);
  // Schedules randomly drawn faults. A disk loss is skipped until the process that lost its disk
  // last has had time to catch up: losing the disks of a majority would lose acknowledged data.
  void StartChaos(const std::vector<Fault>& faults);
  // Ends all active faults: thaws and restarts processes and heals links.
  void EndAll();
  const std::vector<FaultOutcome>& outcomes() const { return outcomes_; }

 private:
  struct ActiveFault;

  void Schedule(const std::vector<Fault>& faults, bool chaos);
  void Begin(const Fault& fault, bool chaos);
  void BeginAt(const Fault& fault, const ProcessInfo& process, bool chaos);
  absl::Status Apply(const Fault& fault, const ProcessInfo& process, ActiveFault* active);
  absl::Status ApplyLinks(const Fault& fault, const ProcessInfo& process, ActiveFault* active);
  absl::Status ApplyReplace(const ProcessInfo& process);
  void End(const std::shared_ptr<ActiveFault>& active);
  void RestartWithRetries(const std::shared_ptr<ActiveFault>& active);
  void Finish(const std::shared_ptr<ActiveFault>& active);
  // Adds a fault to a link (`change` +1) or removes it (-1).
  absl::Status ChangeLink(const std::string& from, const std::string& to, bool partitioned,
                          runtime::Duration delay, int change);
  std::string SkipReason(const Fault& fault, const ProcessInfo& process, bool chaos) const;
  void SetBehaviour(const ProcessInfo& process, const std::string& json);
  void RecordFault(const ActiveFault& active, bool ended) const;
  void AddOutcome(const Fault& fault, const std::string& target, const std::string& result);

  struct LinkCounts {
    int partitions = 0;
    std::multiset<runtime::Duration> delays;
  };

  const Environment environment_;
  runtime::MonotonicTime started_{};
  std::map<std::pair<std::string, std::string>, LinkCounts> links_;
  std::set<std::string> busy_;  // processes that are down, frozen or being moved
  bool disk_was_lost_ = false;
  runtime::MonotonicTime last_disk_loss_{};  // when the process with the lost disk restarts
  std::vector<std::shared_ptr<ActiveFault>> active_;
  std::vector<std::unique_ptr<runtime::Timer>> timers_;
  std::vector<FaultOutcome> outcomes_;
};

}  // namespace posthatch::fleettest
