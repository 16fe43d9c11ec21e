#pragma once

#include <functional>
#include <string>

#include "posthatch/ctl/invocation.h"
#include "posthatch/ctl/target_caller.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::ctl {

struct RunResult {
  ExitCode exit_code = ExitCode::kOk;
  std::string output;  // for standard output
  std::string notes;   // for standard error: the request id, and what to do next
};

// Runs one command. Event loop thread only.
class CommandRunner {
 public:
  using Done = std::function<void(RunResult)>;

  CommandRunner(runtime::Runtime* runtime, Invocation invocation);
  // `done` runs once, possibly within this call.
  void Run(Done done);

 private:
  // An evacuation whose selector matches nothing or everything must be confirmed.
  void CheckSelector();
  void SendCommand();
  void OnOutcome(const CallOutcome& outcome);

  runtime::Runtime* const runtime_;
  Invocation invocation_;
  TargetCaller caller_;
  Done done_;
};

}  // namespace posthatch::ctl
