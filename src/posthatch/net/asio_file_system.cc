#include "posthatch/net/asio_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/net/asio_types.h"
#include "posthatch/net/file_operations.h"
#include "prometheus/counter.h"
#include "prometheus/gauge.h"
#include "prometheus/histogram.h"

namespace posthatch::net {
namespace {

using runtime::FileOperation;

constexpr const char* kLockName = ".lock";

struct FileSystemMetrics {
  explicit FileSystemMetrics(prometheus::Registry* registry)
      : batch_seconds(
            prometheus::BuildHistogram()
                .Name("posthatch_disk_batch_seconds")
                .Help("Time from the submission of a batch to its completion on the disk thread")
                .Register(*registry)
                .Add({},
                     prometheus::Histogram::BucketBoundaries{0.0005, 0.001, 0.002, 0.005, 0.01,
                                                             0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5})),
        errors(prometheus::BuildCounter()
                   .Name("posthatch_disk_errors_total")
                   .Help("Batches that failed")
                   .Register(*registry)
                   .Add({})),
        pending_batches(prometheus::BuildGauge()
                            .Name("posthatch_disk_waiting_batches")
                            .Help("Batches submitted and not yet completed")
                            .Register(*registry)
                            .Add({})) {}

  prometheus::Histogram& batch_seconds;
  prometheus::Counter& errors;
  prometheus::Gauge& pending_batches;
};

class AsioFileSystem : public runtime::FileSystem {
 public:
  // Takes ownership of `lock_descriptor`.
  AsioFileSystem(const FileSystemOptions& options, int lock_descriptor,
                 prometheus::Registry* metrics)
      : options_(options),
        lock_descriptor_(lock_descriptor),
        metrics_(metrics),
        operations_(options.data_folder),
        thread_([this] { RunThread(); }) {}

  ~AsioFileSystem() override {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
    close(lock_descriptor_);
  }

  void Submit(std::vector<FileOperation> operations, Done done) override {
    metrics_.pending_batches.Increment();
    {
      const std::lock_guard lock(mutex_);
      batches_.push_back({std::move(operations), std::move(done), BootNow()});
    }
    changed_.notify_one();
  }

  absl::StatusOr<std::string> ReadFile(const std::string& path) override {
    absl::Status valid = CheckRelativePath(path);
    if (!valid.ok()) return valid;
    errno = 0;
    std::ifstream file(options_.data_folder + "/" + path, std::ios::binary);
    if (!file) return FileError("open", path, errno);
    std::ostringstream content;
    content << file.rdbuf();
    if (file.bad()) return FileError("read", path, EIO);
    return std::move(content).str();
  }

  absl::StatusOr<std::vector<std::string>> ListDirectory(const std::string& path) override {
    absl::Status valid = CheckRelativePath(path);
    if (!valid.ok()) return valid;
    std::error_code error;
    std::filesystem::directory_iterator entry(options_.data_folder + "/" + path, error);
    std::vector<std::string> names;
    for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
      std::string name = entry->path().filename().string();
      if (name != kLockName) names.push_back(std::move(name));
    }
    if (error) return FileError("list", path, error.value());
    std::sort(names.begin(), names.end());
    return names;
  }

 private:
  struct Batch {
    std::vector<FileOperation> operations;
    Done done;
    runtime::MonotonicTime submitted;
  };

  void RunThread() {
    while (true) {
      Batch batch;
      {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return stopping_ || !batches_.empty(); });
        if (batches_.empty()) return;
        batch = std::move(batches_.front());
        batches_.pop_front();
      }
      RunBatch(&batch);
    }
  }

  void RunBatch(Batch* batch) {
    absl::Status status;
    for (const FileOperation& operation : batch->operations) {
      status = RunOperation(operation);
      if (!status.ok()) break;
    }
    metrics_.pending_batches.Decrement();
    metrics_.batch_seconds.Observe(
        std::chrono::duration<double>(BootNow() - batch->submitted).count());
    if (!status.ok()) metrics_.errors.Increment();
    options_.post([done = std::move(batch->done), status = std::move(status)] { done(status); });
  }

  absl::Status RunOperation(const FileOperation& operation) {
    if (operations_.uncertain()) {
      return absl::InternalError("an earlier disk error left the files uncertain");
    }
    absl::Status injected = InjectFault(operation);
    return injected.ok() ? operations_.Run(operation) : injected;
  }

  absl::Status InjectFault(const FileOperation& operation) const {
    if (options_.faults == nullptr) return absl::OkStatus();
    const bool writes = operation.kind == FileOperation::Kind::kAppend ||
                        operation.kind == FileOperation::Kind::kFullWrite ||
                        operation.kind == FileOperation::Kind::kCreateDirectory;
    if (writes && options_.faults->disk_full()) {
      return FileError("write (injected fault)", operation.path, ENOSPC);
    }
    const bool syncs = operation.kind == FileOperation::Kind::kSync ||
                       operation.kind == FileOperation::Kind::kSyncDirectory;
    if (syncs) std::this_thread::sleep_for(options_.faults->disk_sync_delay());
    return absl::OkStatus();
  }

  const FileSystemOptions options_;
  const int lock_descriptor_;
  FileSystemMetrics metrics_;
  FileOperations operations_;  // disk thread only
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Batch> batches_;  // guarded by mutex_
  bool stopping_ = false;      // guarded by mutex_
  std::thread thread_;         // last, so that it starts when the other members exist
};

}  // namespace

absl::StatusOr<std::unique_ptr<runtime::FileSystem>> MakeAsioFileSystem(
    const FileSystemOptions& options, prometheus::Registry* metrics) {
  std::error_code error;
  std::filesystem::create_directories(options.data_folder, error);
  if (error) return FileError("create data folder", options.data_folder, error.value());
  const std::string lock_path = absl::StrCat(options.data_folder, "/", kLockName);
  const int descriptor = open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
  if (descriptor < 0) return FileError("open", lock_path, errno);
  if (flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
    const int error_number = errno;
    close(descriptor);
    if (error_number != EWOULDBLOCK) return FileError("lock", lock_path, error_number);
    return absl::FailedPreconditionError(
        absl::StrCat("data folder ", options.data_folder, " is in use by another process"));
  }
  return std::make_unique<AsioFileSystem>(options, descriptor, metrics);
}

}  // namespace posthatch::net
