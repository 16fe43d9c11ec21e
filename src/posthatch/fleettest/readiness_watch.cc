#include "posthatch/fleettest/readiness_watch.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace posthatch::fleettest {

namespace {

constexpr runtime::Duration kPollInterval = std::chrono::milliseconds(250);

}  // namespace

ReadinessWatch::ReadinessWatch(ProcessControlClient* control, runtime::Runtime* runtime)
    : control_(control), timer_(runtime->timers) {}

void ReadinessWatch::Start(const std::vector<ProcessInfo>& processes) {
  processes_ = processes;
  for (const ProcessInfo& process : processes) state_->pending.insert(process.name);
  Poll();
}

void ReadinessWatch::Poll() {
  for (const ProcessInfo& process : processes_) {
    if (state_->pending.count(process.name) == 0) continue;
    control_->Get(process.http_endpoint, "/readyz",
                  [state = state_, name = process.name](const absl::Status& status,
                                                        const std::string& /*body*/) {
                    if (status.ok()) state->pending.erase(name);
                  });
  }
  timer_.Start(kPollInterval, [this] { Poll(); });
}

std::string ReadinessWatch::NotReady() const {
  return fmt::format("{}", fmt::join(state_->pending, ", "));
}

}  // namespace posthatch::fleettest
