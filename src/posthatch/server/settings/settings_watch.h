#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/runtime/timer_service.h"

namespace posthatch::server {

// The settings file of a running process.
struct SettingsFile {
  std::string path;
  // Modification time from before the process read the file, in nanoseconds since the Unix epoch.
  int64_t modified_ns = 0;
  // Reads the file and returns its seeds, or why it can't be used.
  std::function<absl::StatusOr<std::vector<std::string>>()> read_seeds;
};

// Returns nanoseconds since the Unix epoch; 0 if the file doesn't exist.
int64_t ModificationTime(const std::string& path);

// Watches a process's settings file for changed seeds, the only setting that may change while a
// process runs. Checks the file on demand and every few seconds, since not every platform sends a
// signal. A file that can't be read or isn't valid is logged, and the process goes on with the
// seeds that it has. Owned by the process runner; event loop thread only.
class SettingsWatch {
 public:
  using OnChange = std::function<void(const std::vector<std::string>&)>;

  // `runtime` must outlive this object.
  SettingsWatch(runtime::Runtime* runtime, SettingsFile file, std::vector<std::string> seeds,
                OnChange on_change);
  // Also reads the file if it has changed since the process read it.
  void Start();
  // Reads the file now, even if its modification time is unchanged.
  void Reload();

 private:
  void Poll();

  runtime::Runtime* const runtime_;
  SettingsFile file_;
  std::vector<std::string> seeds_;
  const OnChange on_change_;
  runtime::Timer timer_;
};

// The endpoints with their ports replaced by `port`; unchanged if `port` is 0.
std::vector<std::string> WithPort(std::vector<std::string> endpoints, uint32_t port);

}  // namespace posthatch::server
