#include "posthatch/net/asio_file_system.h"

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "posthatch/net/raw_socket-test.h"

namespace posthatch::net {
namespace {

using runtime::FileOperation;
using Kind = runtime::FileOperation::Kind;
using ::testing::ElementsAre;

class AsioFileSystemTest : public ::testing::Test {
 protected:
  AsioFileSystemTest()
      : folder_(::testing::TempDir() + "asio_file_system_" + std::to_string(getpid())) {
    std::filesystem::remove_all(folder_);
    Open();
  }
  ~AsioFileSystemTest() override {
    runtime_.reset();
    std::filesystem::remove_all(folder_);
  }

  void Open() {
    runtime_.reset();
    AsioRuntimeOptions options;
    options.data_folder = folder_;
    options.enable_fault_injection = true;
    runtime_ = MakeTestRuntime(options);
  }

  runtime::FileSystem* files() { return runtime_->runtime()->file_system; }

  absl::Status Run(std::vector<FileOperation> operations) {
    std::optional<absl::Status> result;
    files()->Submit(std::move(operations),
                    [&result](const absl::Status& status) { result = status; });
    EXPECT_TRUE(
        runtime_->RunUntil([&result] { return result.has_value(); }, std::chrono::seconds(5)));
    return result.value_or(absl::UnknownError("no completion"));
  }

  static FileOperation MakeAppend(const std::string& path, const std::string& data) {
    return {.kind = Kind::kAppend, .path = path, .data = data, .target = {}};
  }
  static FileOperation MakeOperation(Kind kind, const std::string& path,
                                     const std::string& target = {}) {
    return {.kind = kind, .path = path, .data = {}, .target = target};
  }

  const std::string folder_;
  std::unique_ptr<AsioRuntime> runtime_;
};

TEST_F(AsioFileSystemTest, OperationsPersistAcrossRestart) {
  ASSERT_TRUE(Run({MakeOperation(Kind::kCreateDirectory, "log/old"),
                   MakeAppend("log/1", "abc"),
                   MakeAppend("log/1", "def"),
                   MakeOperation(Kind::kSync, "log/1"),
                   {.kind = Kind::kFullWrite, .path = "log/2.new", .data = "two", .target = {}},
                   MakeOperation(Kind::kSync, "log/2.new"),
                   MakeOperation(Kind::kRename, "log/2.new", "log/2"),
                   MakeOperation(Kind::kSyncDirectory, "log"),
                   {.kind = Kind::kTruncate, .path = "log/1", .data = {}, .target = {}, .size = 4},
                   MakeAppend("log/1", "X"),
                   MakeAppend("log/3", "three"),
                   MakeOperation(Kind::kRemove, "log/3"),
                   MakeOperation(Kind::kRemove, "log/never there"),
                   MakeOperation(Kind::kSyncDirectory, "")})
                  .ok());
  Open();
  EXPECT_EQ(files()->ReadFile("log/1").value(), "abcdX");
  EXPECT_EQ(files()->ReadFile("log/2").value(), "two");
  EXPECT_THAT(files()->ListDirectory("log").value(), ElementsAre("1", "2", "old"));
  EXPECT_THAT(files()->ListDirectory("").value(), ElementsAre("log"));
}

TEST_F(AsioFileSystemTest, BatchesCompleteInOrder) {
  std::vector<int> completed;
  std::string expected;
  for (int k = 0; k < 200; ++k) {
    expected += std::to_string(k) + ",";
    files()->Submit({MakeAppend("f", std::to_string(k) + ","), MakeOperation(Kind::kSync, "f")},
                    [&completed, k](const absl::Status& status) {
                      EXPECT_TRUE(status.ok());
                      completed.push_back(k);
                    });
  }
  ASSERT_TRUE(
      runtime_->RunUntil([&] { return completed.size() == 200; }, std::chrono::seconds(30)));
  EXPECT_TRUE(std::is_sorted(completed.begin(), completed.end()));
  EXPECT_EQ(files()->ReadFile("f").value(), expected);
}

TEST_F(AsioFileSystemTest, StopsAtFirstErrorAndMapsIt) {
  absl::Status missing = Run({MakeOperation(Kind::kSync, "missing"), MakeAppend("after", "x")});
  EXPECT_EQ(missing.code(), absl::StatusCode::kNotFound);
  EXPECT_EQ(files()->ReadFile("after").status().code(), absl::StatusCode::kNotFound);
  EXPECT_EQ(files()->ListDirectory("missing").status().code(), absl::StatusCode::kNotFound);
  EXPECT_EQ(Run({MakeAppend("no folder/f", "x")}).code(), absl::StatusCode::kNotFound);
  ASSERT_TRUE(Run({MakeOperation(Kind::kCreateDirectory, "d")}).ok());
  EXPECT_EQ(Run({MakeAppend("d", "x")}).code(), absl::StatusCode::kInternal);
  for (const char* path : {"../x", "a/../../x", "/x", "a//b"}) {
    EXPECT_EQ(Run({MakeAppend(path, "x")}).code(), absl::StatusCode::kInvalidArgument) << path;
    EXPECT_EQ(files()->ReadFile(path).status().code(), absl::StatusCode::kInvalidArgument);
  }
  EXPECT_TRUE(Run({MakeAppend("goes on", "x")}).ok());
}

TEST_F(AsioFileSystemTest, DataFolderIsLocked) {
  AsioRuntimeOptions options;
  options.node_id = "second";
  options.data_folder = folder_;
  const auto second = AsioRuntime::Create(options);
  EXPECT_EQ(second.status().code(), absl::StatusCode::kFailedPrecondition);
  runtime_.reset();
  EXPECT_TRUE(AsioRuntime::Create(options).ok());
}

TEST_F(AsioFileSystemTest, InjectsFullDiskAndSlowSync) {
  FaultRules rules;
  rules.disk_full = true;
  runtime_->faults()->SetRules(rules);
  EXPECT_EQ(Run({MakeAppend("f", "x")}).code(), absl::StatusCode::kResourceExhausted);
  rules.disk_full = false;
  rules.disk_sync_delay = std::chrono::milliseconds(100);
  runtime_->faults()->SetRules(rules);
  const auto start = runtime_->runtime()->clock->Now();
  EXPECT_TRUE(Run({MakeAppend("f", "x"), MakeOperation(Kind::kSync, "f")}).ok());
  EXPECT_GE(runtime_->runtime()->clock->Now() - start, std::chrono::milliseconds(100));
}

TEST_F(AsioFileSystemTest, FullDeviceIsResourceExhausted) {
  std::filesystem::create_symlink("/dev/full", folder_ + "/full");
  EXPECT_EQ(Run({{.kind = Kind::kFullWrite, .path = "full", .data = "x", .target = {}}}).code(),
            absl::StatusCode::kResourceExhausted);
  EXPECT_TRUE(Run({MakeAppend("f", "goes on")}).ok());
  // An append that can't be truncated leaves the file uncertain: all later batches fail.
  EXPECT_EQ(Run({MakeAppend("full", "x")}).code(), absl::StatusCode::kResourceExhausted);
  EXPECT_EQ(Run({MakeAppend("f", "x")}).code(), absl::StatusCode::kInternal);
}

TEST_F(AsioFileSystemTest, PartialAppendIsTruncated) {
  ASSERT_TRUE(Run({MakeAppend("f", std::string(1000, 'a'))}).ok());
  rlimit former{};
  getrlimit(RLIMIT_FSIZE, &former);
  rlimit small = former;
  small.rlim_cur = 1500;
  const auto former_handler = signal(SIGXFSZ, SIG_IGN);
  setrlimit(RLIMIT_FSIZE, &small);
  absl::Status status = Run({MakeAppend("f", std::string(1000, 'b'))});
  setrlimit(RLIMIT_FSIZE, &former);
  signal(SIGXFSZ, former_handler);
  EXPECT_FALSE(status.ok());
  ASSERT_TRUE(Run({MakeAppend("f", "c")}).ok());
  EXPECT_EQ(files()->ReadFile("f").value(), std::string(1000, 'a') + "c");
}

}  // namespace
}  // namespace posthatch::net
