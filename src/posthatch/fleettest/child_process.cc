#include "posthatch/fleettest/child_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstring>

namespace posthatch::fleettest {

namespace {

constexpr size_t kMaxChildren = 1024;
constexpr int kLogMode = 0644;

// Process ids of running children; 0 marks a free slot. Lock-free, for the signal handler.
std::array<std::atomic<pid_t>, kMaxChildren> running_children;

bool RegisterChild(pid_t pid) {
  for (std::atomic<pid_t>& slot : running_children) {
    pid_t empty = 0;
    if (slot.compare_exchange_strong(empty, pid)) return true;
  }
  return false;
}

void UnregisterChild(pid_t pid) {
  for (std::atomic<pid_t>& slot : running_children) {
    pid_t expected = pid;
    slot.compare_exchange_strong(expected, 0);
  }
}

absl::Status SystemError(const std::string& what, int error) {
  return absl::InternalError(fmt::format("{}: {}", what, std::strerror(error)));
}

}  // namespace

absl::StatusOr<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& arguments, const std::string& log_file) {
  std::vector<char*> argument_pointers;
  argument_pointers.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argument_pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  argument_pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The child gets its own process group, so that an interrupt at the terminal reaches only this
  // program, which ends its children.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
  posix_spawnattr_setpgroup(&attributes, 0);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, arguments.front().c_str(), &actions, &attributes,
                                argument_pointers.data(), environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) return SystemError("starting " + arguments.front(), error);
  std::unique_ptr<ChildProcess> child(new ChildProcess(pid));
  if (!RegisterChild(pid)) return absl::InternalError("too many children");
  return child;
}

ChildProcess::~ChildProcess() { Kill(); }

bool ChildProcess::running() {
  if (ended_) return false;
  int wait_status = 0;
  if (waitpid(pid_, &wait_status, WNOHANG) == pid_) RecordExit(wait_status);
  return !ended_;
}

absl::Status ChildProcess::Signal(int signal_number) {
  if (!running()) return absl::FailedPreconditionError("it is down");
  if (kill(pid_, signal_number) != 0) return SystemError("kill", errno);
  return absl::OkStatus();
}

void ChildProcess::Kill() {
  if (!running()) return;
  kill(pid_, SIGKILL);
  int wait_status = 0;
  while (waitpid(pid_, &wait_status, 0) < 0 && errno == EINTR) {
  }
  RecordExit(wait_status);
}

void ChildProcess::RecordExit(int wait_status) {
  ended_ = true;
  UnregisterChild(pid_);
  end_ = WIFSIGNALED(wait_status) ? fmt::format("signal {}", WTERMSIG(wait_status))
                                  : fmt::format("exit code {}", WEXITSTATUS(wait_status));
}

void KillAllChildren() {
  for (std::atomic<pid_t>& slot : running_children) {
    const pid_t pid = slot.load();
    if (pid > 0) kill(pid, SIGKILL);
  }
}

}  // namespace posthatch::fleettest
