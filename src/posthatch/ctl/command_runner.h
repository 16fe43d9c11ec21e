#pragma once

#include <functional>
#include <string>

#include "posthatch/ctl/invocation.h"
#include "posthatch/ctl/target_caller.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::ctl {

// Output and exit code of posthatchctl.
struct RunResult {
  ExitCode exit_code = ExitCode::kOk;
  std::string output;  // written to standard output
  std::string notes;   // written to standard error: the request id, errors, and how to retry
};

// Runs one command. Event loop thread only.
class CommandRunner {
 public:
  using Done = std::function<void(RunResult)>;

  CommandRunner(runtime::Runtime* runtime, Invocation invocation);
  // `done` runs once, possibly within this call.
  void Run(Done done);

 private:
  // Reads the inventory before an evacuation: a selector that matches no back end or all of them
  // must be confirmed.
  void CheckSelector();
  void SendCommand();
  void OnOutcome(const CallOutcome& outcome);

  runtime::Runtime* const runtime_;
  Invocation invocation_;
  TargetCaller caller_;
  Done done_;
};

}  // namespace posthatch::ctl
