#include "posthatch/server/settings/settings_watch.h"

#include <sys/stat.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/util/string_view.h"

namespace posthatch::server {
namespace {

constexpr runtime::Duration kPollInterval = std::chrono::seconds(2);
constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

int64_t ModificationTime(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) return 0;
  return status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
}

SettingsWatch::SettingsWatch(runtime::Runtime* runtime, SettingsFile file,
                             std::vector<std::string> seeds, OnChange on_change)
    : runtime_(runtime),
      file_(std::move(file)),
      seeds_(std::move(seeds)),
      on_change_(std::move(on_change)),
      timer_(runtime->timers) {}

void SettingsWatch::Start() { Poll(); }

void SettingsWatch::Poll() {
  timer_.Start(kPollInterval, [this] { Poll(); });
  if (ModificationTime(file_.path) != file_.modified_ns) Reload();
}

void SettingsWatch::Reload() {
  file_.modified_ns = ModificationTime(file_.path);
  absl::StatusOr<std::vector<std::string>> seeds = file_.read_seeds();
  if (!seeds.ok()) {
    runtime_->trace->Event(runtime::Severity::kWarning, "SettingsReloadRejected",
                           {{"error", util::ToStd(seeds.status().message())}});
    return;
  }
  if (seeds->empty() || *seeds == seeds_) return;
  seeds_ = *std::move(seeds);
  on_change_(seeds_);
}

std::vector<std::string> WithPort(std::vector<std::string> endpoints, uint32_t port) {
  if (port == 0) return endpoints;
  for (std::string& endpoint : endpoints) {
    endpoint = absl::StrCat(endpoint.substr(0, endpoint.rfind(':')), ":", port);
  }
  return endpoints;
}

}  // namespace posthatch::server
