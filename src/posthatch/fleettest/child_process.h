#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace posthatch::fleettest {

// A child process of this program. The destructor kills it and waits for its end, so it never
// outlives the object. KillAllChildren kills every child that is running.
class ChildProcess {
 public:
  // Starts `arguments[0]` with the other arguments; output is appended to `log_file`. Errors:
  // Internal with the system's reason.
  static absl::StatusOr<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& arguments, const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Whether the child is running. Collects its exit status once it has ended.
  bool running();
  absl::Status Signal(int signal_number);
  // Kills the child, even if it is stopped, and waits for its end.
  void Kill();
  // "exit code 3" or "signal 11"; empty while the child runs.
  const std::string& end() const { return end_; }
  pid_t pid() const { return pid_; }

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}
  void RecordExit(int wait_status);

  const pid_t pid_;
  bool ended_ = false;
  std::string end_;
};

// Kills every running child. May be called from a signal handler.
void KillAllChildren();

}  // namespace posthatch::fleettest
