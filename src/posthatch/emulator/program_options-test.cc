#include "posthatch/emulator/program_options.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace posthatch::emulator {
namespace {

ProgramOptionsResult Read(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "posthatch-emulator");
  return ReadProgramOptions(static_cast<int>(arguments.size()), arguments.data());
}

class ConfigFileTest : public ::testing::Test {
 protected:
  ~ConfigFileTest() override { std::filesystem::remove(path_); }
  const char* Write(const std::string& text) {
    std::ofstream(path_) << text;
    return path_.c_str();
  }
  const std::string path_ = ::testing::TempDir() + "emulator-options-" +
                            ::testing::UnitTest::GetInstance()->current_test_info()->name() +
                            ".toml";
};

TEST(ProgramOptionsTest, FlagsFillRoleSettings) {
  const auto result = Read({"worker", "--id", "w1", "--listen", "127.0.0.1:0", "--history", "h",
                            "--prefill-per-block-us", "1500", "--cache-blocks", "7"});
  ASSERT_TRUE(result.run) << result.message;
  EXPECT_EQ(result.options.role, EmulatorRole::kWorker);
  EXPECT_EQ(result.options.worker.id, "w1");
  EXPECT_EQ(result.options.history, "h");
  EXPECT_EQ(result.options.worker.timing.prefill_per_block, std::chrono::microseconds(1500));
  EXPECT_EQ(result.options.worker.cache_blocks, 7u);
}

TEST(ProgramOptionsTest, ExitCodes) {
  for (const auto& wrong : std::vector<std::vector<const char*>>{
           {}, {"robot"}, {"worker", "--cache-blocks", "many"}, {"store", "--model", "m"}}) {
    const auto result = Read(wrong);
    EXPECT_FALSE(result.run);
    EXPECT_EQ(result.exit_code, 2);
    EXPECT_NE(result.message, "");
  }
  EXPECT_EQ(Read({"worker", "--help"}).exit_code, 0);
}

TEST_F(ConfigFileTest, FlagsOverrideFile) {
  const char* path = Write("id = \"w1\"\nmax_running = 4\nmodel = \"m\"\ninitial_revision = 3\n");
  const auto result = Read({"worker", "--config", path, "--max-running", "9"});
  ASSERT_TRUE(result.run) << result.message;
  EXPECT_EQ(result.options.worker.id, "w1");
  EXPECT_EQ(result.options.worker.model, "m");
  EXPECT_EQ(result.options.worker.max_running, 9u);
  EXPECT_EQ(result.options.worker.initial_revision, 3u);
}

TEST_F(ConfigFileTest, ReadsInventoryBackends) {
  const char* path = Write(
      "lateness_ms = 200\nreads_per_second = 2.5\n[[backends]]\nid = \"w1\"\nkind = \"worker\"\n"
      "endpoint = \"127.0.0.1:1\"\nlabels = { rack = \"r1\" }\n");
  const auto result = Read({"inventory", "--config", path});
  ASSERT_TRUE(result.run) << result.message;
  EXPECT_EQ(result.options.inventory.lateness, std::chrono::milliseconds(200));
  EXPECT_EQ(result.options.inventory.reads_per_second, 2.5);
  ASSERT_EQ(result.options.inventory.backends.size(), 1u);
  EXPECT_EQ(result.options.inventory.backends[0].labels.at("rack"), "r1");
}

TEST_F(ConfigFileTest, RejectsUnknownKeysAndBrokenFiles) {
  EXPECT_EQ(Read({"worker", "--config", Write("typo = 1\n")}).exit_code, 2);
  const auto broken = Read({"worker", "--config", Write("id = \"w\"\nid\n")});
  EXPECT_EQ(broken.exit_code, 2);
  EXPECT_THAT(broken.message, ::testing::HasSubstr(":2: "));
  EXPECT_EQ(Read({"inventory", "--config", Write("[[backends]]\nid = \"x\"\n")}).exit_code, 2);
  EXPECT_EQ(Read({"worker", "--config", "/none/such"}).exit_code, 2);
}

}  // namespace
}  // namespace posthatch::emulator
