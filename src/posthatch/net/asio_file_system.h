#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/net/fault_injection.h"
#include "posthatch/runtime/file_system.h"
#include "prometheus/registry.h"

namespace posthatch::net {

struct FileSystemOptions {
  // Created if missing. Locked for the lifetime of the file system, so that no second process can
  // use it.
  std::string data_folder;
  // Runs a completion on the event loop thread; called on the disk thread.
  std::function<void(std::function<void()>)> post;
  const FaultInjection* faults = nullptr;  // null without fault injection
};

// Files through POSIX calls on one disk thread. After a failed sync the content of the files is
// uncertain: the kernel may have dropped the dirty pages and report success next time. Every later
// batch therefore fails with Internal, and the process has to restart and recover from what is on
// the disk. A failed append is truncated again. The destructor completes the batches already
// submitted, without reporting them. Errors: FailedPrecondition (locked by another process),
// Internal.
absl::StatusOr<std::unique_ptr<runtime::FileSystem>> MakeAsioFileSystem(
    const FileSystemOptions& options, prometheus::Registry* metrics);

}  // namespace posthatch::net
