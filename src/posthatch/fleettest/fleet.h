#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/fleettest/scenario.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::fleettest {

// Identity and address of a process of the fleet under test.
struct ProcessInfo {
  std::string name;  // node id or back end id; fault target in histories
  Role role = Role::kAny;
  std::string zone;
  std::map<std::string, std::string> labels;  // back ends
  std::string http_endpoint;                  // "ip:port"; empty once the process was replaced
};

// Injected state of the link from one process to another.
struct LinkState {
  bool partitioned = false;
  runtime::Duration extra_delay{};
};

// A fleet with its back ends, as the timeline and the checks use it: real processes (RealFleet) or
// the simulator (SimulatedFleet). The caller advances it by RunFor; everything runs on its thread.
// Faults that a kind of fleet doesn't support return Unimplemented and are reported as "not
// applicable".
class Fleet {
 public:
  virtual ~Fleet() = default;

  // Starts all processes. Returns once they are running; they may not be ready yet.
  virtual absl::Status Start() = 0;
  // Runs events for `duration`.
  virtual void RunFor(runtime::Duration duration) = 0;
  // The runtime of callers and operators. Valid from Start to the fleet's end.
  virtual runtime::Runtime* runtime() = 0;
  // Records the events of callers, operators and the timeline.
  virtual HistoryRecorder* recorder() = 0;
  // Returns every process, including those that are down but not those that were replaced.
  virtual std::vector<ProcessInfo> processes() const = 0;
  // Whether this kind of fleet supports the fault.
  virtual bool Supports(FaultKind /*kind*/) const { return true; }
  // The reason that the fleet test can't continue (a process ended unexpectedly); empty if it can.
  virtual std::string Failure() { return ""; }

  virtual absl::Status Kill(const std::string& name) = 0;
  // Requests a graceful shutdown: the process drains and ends.
  virtual absl::Status Stop(const std::string& name) = 0;
  // Restarts a process that is down, at its address and with its data folder.
  virtual absl::Status Restart(const std::string& name) = 0;
  virtual absl::Status Freeze(const std::string& name) = 0;
  virtual absl::Status Thaw(const std::string& name) = 0;
  // Kills the process and drops all data that was not synced.
  virtual absl::Status PowerOff(const std::string& name) = 0;
  // Empties the data folder of a process that is down.
  virtual absl::Status ClearDisk(const std::string& name) = 0;
  virtual absl::Status SetDiskDelay(const std::string& name, runtime::Duration per_sync) = 0;
  virtual absl::Status JumpClock(const std::string& name, runtime::Duration delta) = 0;
  virtual absl::Status SetLink(const std::string& from, const std::string& to, LinkState state) = 0;
  // Kills the process permanently and starts one with a new name and an empty data folder.
  virtual absl::StatusOr<ProcessInfo> Replace(const std::string& name) = 0;
  // Starts a process that is down at another address, with its data folder.
  virtual absl::StatusOr<ProcessInfo> Move(const std::string& name) = 0;

  // Returns every recorded event. Must be called after the load has stopped.
  virtual absl::StatusOr<std::vector<HistoryEvent>> TakeHistory() = 0;
  // Hash of the simulator's trace; 0 for real processes.
  virtual uint64_t trace_hash() const { return 0; }
  virtual uint64_t behaviour_hash() const { return 0; }
};

}  // namespace posthatch::fleettest
