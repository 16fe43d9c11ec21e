#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/control/client/control_client.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::rollout {

struct RevisionEnforcerOptions {
  // Delay before the command is repeated to a worker that is still loading, rejected the command or
  // did not respond.
  runtime::Duration retry_interval = std::chrono::milliseconds(500);
  // Delay before the command is repeated to a worker that serves the newest revision, since the
  // worker may have restarted with older weights.
  runtime::Duration check_interval = std::chrono::seconds(2);
  // Interval between scans for due commands. Each change of the fleet state starts a scan as well.
  runtime::Duration scan_interval = std::chrono::milliseconds(250);
  runtime::Duration command_timeout = std::chrono::seconds(2);
  // Maximum commands in flight, over all workers.
  size_t max_in_flight = 64;
};

// Brings workers to the newest model revision, on gateways that serve posthatch's own API. (On the
// users' platform, RolloutCoordinator does this.) Commands (POST /admin/load_weights,
// docs/BACKENDS.md) go only to workers whose lease this gateway holds, with the lease's fencing
// token; the lease is checked right before each command. A command repeated to a worker that serves
// the revision already gets status 200 and changes nothing. Owned by the gateway process; event
// loop thread only.
class RevisionEnforcer {
 public:
  // Whether this gateway holds the worker's lease now; sets the fencing token.
  using HoldsWorkerLease =
      std::function<bool(const std::string& worker_id, uint64_t* fencing_token)>;

  RevisionEnforcer(runtime::Runtime* runtime, RevisionEnforcerOptions options,
                   control::FleetView* fleet, HoldsWorkerLease holds_worker_lease);
  void Start();

 private:
  struct WorkerProgress {
    uint64_t commanded_revision = 0;  // revision in the last command; a newer one is sent at once
    runtime::MonotonicTime next_command_at;
    std::unique_ptr<http::Call> call;  // null: no command in flight
    uint64_t command_number = 0;       // number of the last command; older responses are ignored
  };

  void ScheduleScan();
  void Scan();
  void ScanWorker(const control::Backend& worker);
  void SendCommand(const control::Backend& worker, const control::ModelRevision& revision,
                   uint64_t fencing_token, WorkerProgress* progress);
  void OnCommandEnded(const std::string& worker_id, uint64_t command_number, uint64_t revision,
                      int status);
  const control::ModelRevision* NewestRevision(const std::string& model) const;

  runtime::Runtime* const runtime_;
  const RevisionEnforcerOptions options_;
  control::FleetView* const fleet_;
  const HoldsWorkerLease holds_worker_lease_;
  runtime::Timer scan_timer_;
  std::map<std::string, WorkerProgress> workers_;
  size_t in_flight_ = 0;
  uint64_t last_command_number_ = 0;
  // Finished calls are destroyed at the next scan, never within their own callbacks.
  std::vector<std::unique_ptr<http::Call>> finished_;
  prometheus::Family<prometheus::Counter>* commands_counter_ = nullptr;
};

}  // namespace posthatch::rollout
