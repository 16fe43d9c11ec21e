#include "posthatch/fleettest/interruption.h"

#include <unistd.h>

#include <atomic>
#include <csignal>

#include "posthatch/fleettest/child_process.h"
#include "posthatch/fleettest/command_line.h"

namespace posthatch::fleettest {

namespace {

std::atomic<bool> interrupted{false};

void OnInterrupt(int /*signal_number*/) {
  if (!interrupted.exchange(true)) return;
  KillAllChildren();
  _exit(kExitFailed);
}

void OnTimeLimit(int /*signal_number*/) {
  KillAllChildren();
  _exit(kExitOverTime);
}

}  // namespace

void InstallInterruption(uint32_t hard_limit_s) {
  struct sigaction action {};
  action.sa_handler = OnInterrupt;
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGTERM, &action, nullptr);
  action.sa_handler = OnTimeLimit;
  sigaction(SIGALRM, &action, nullptr);
  alarm(hard_limit_s);
}

bool Interrupted() { return interrupted.load(); }

}  // namespace posthatch::fleettest
