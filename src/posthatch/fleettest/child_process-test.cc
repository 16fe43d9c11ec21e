#include "posthatch/fleettest/child_process.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <thread>

namespace posthatch::fleettest {
namespace {

constexpr char kLog[] = "/dev/null";

bool Exists(pid_t pid) { return kill(pid, 0) == 0 || errno != ESRCH; }

void WaitForEnd(ChildProcess* child) {
  for (int attempt = 0; attempt < 500 && child->running(); ++attempt) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

TEST(ChildProcess, ReportsExitStatus) {
  auto child = ChildProcess::Start({"/bin/sh", "-c", "exit 3"}, kLog);
  ASSERT_TRUE(child.ok());
  WaitForEnd(child->get());
  EXPECT_EQ((*child)->end(), "exit code 3");
  EXPECT_TRUE(absl::IsFailedPrecondition((*child)->Signal(SIGTERM)));
}

TEST(ChildProcess, DestructorKillsStoppedChild) {
  auto child = ChildProcess::Start({"/bin/sleep", "60"}, kLog);
  ASSERT_TRUE(child.ok());
  const pid_t pid = (*child)->pid();
  ASSERT_TRUE((*child)->Signal(SIGSTOP).ok());
  EXPECT_TRUE(Exists(pid));
  child->reset();
  EXPECT_FALSE(Exists(pid));
}

TEST(ChildProcess, KillAllChildrenKillsEveryChild) {
  auto child = ChildProcess::Start({"/bin/sleep", "60"}, kLog);
  ASSERT_TRUE(child.ok());
  KillAllChildren();
  WaitForEnd(child->get());
  EXPECT_EQ((*child)->end(), "signal 9");
}

TEST(ChildProcess, MissingProgramIsError) {
  EXPECT_FALSE(ChildProcess::Start({"/nonexistent/program"}, kLog).ok());
}

}  // namespace
}  // namespace posthatch::fleettest
