#include "posthatch/server/command_line.h"

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "posthatch/http/http.h"

namespace posthatch::server {
namespace {

using ::testing::AllOf;
using ::testing::Contains;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::StartsWith;

// Scripted behaviour of the process under test, and what the test observed of it.
struct Script {
  std::function<void(runtime::Runtime*, const std::string& http_endpoint)> on_start;
  absl::Status start_status;
  bool completes_drain = true;
  bool ready = true;
  int start_count = 0;
  int drain_count = 0;
  std::vector<std::vector<std::string>> seeds;  // of each change
  // Writers of the requests GET /hold, whose responses are pending.
  std::vector<std::shared_ptr<http::ResponseWriter>> pending_writers;
  std::unique_ptr<http::Call> call;  // latest call of SendAll
};

class ScriptedProcess : public Process {
 public:
  ScriptedProcess(runtime::Runtime* runtime, std::string http_endpoint, Script* script)
      : runtime_(runtime), http_endpoint_(std::move(http_endpoint)), script_(script) {}

  ~ScriptedProcess() override {
    // Response writers and calls must not outlive the runtime.
    script_->pending_writers.clear();
    script_->call.reset();
  }

  absl::Status Start() override {
    ++script_->start_count;
    if (script_->on_start) script_->on_start(runtime_, http_endpoint_);
    return script_->start_status;
  }
  bool Ready() const override { return script_->ready; }
  void Drain(std::function<void()> done) override {
    ++script_->drain_count;
    if (script_->completes_drain) done();
  }
  void OnSeedsChanged(const std::vector<std::string>& seeds) override {
    script_->seeds.push_back(seeds);
  }
  void HandleHttp(http::Request request, std::shared_ptr<http::ResponseWriter> writer) override {
    if (request.target == "/hold") {
      script_->pending_writers.push_back(std::move(writer));
    } else {
      writer->SendResponse({.status = 404, .headers = {}, .body = "the process"});
    }
  }

 private:
  runtime::Runtime* const runtime_;
  const std::string http_endpoint_;
  Script* const script_;
};

class ScriptedFactory : public ProcessFactory {
 public:
  explicit ScriptedFactory(Script* script) : script_(script) {}
  std::unique_ptr<Process> MakeGateway(runtime::Runtime* runtime,
                                       const GatewaySettings& settings) override {
    return std::make_unique<ScriptedProcess>(runtime, settings.node.http_endpoint, script_);
  }
  std::unique_ptr<Process> MakeController(runtime::Runtime* runtime,
                                          const ControllerSettings& settings) override {
    return std::make_unique<ScriptedProcess>(runtime, settings.node.http_endpoint, script_);
  }

 private:
  Script* const script_;
};

class CommandLineTest : public ::testing::Test {
 protected:
  CommandLineTest()
      : folder_(::testing::TempDir() + "command_line_" + std::to_string(getpid())),
        config_(folder_ + "/gateway.toml") {
    std::filesystem::create_directories(folder_);
    WriteConfig("drain_deadline_ms = 300\nlog_level = \"error\"\n");
  }
  ~CommandLineTest() override { std::filesystem::remove_all(folder_); }

  // Writes a settings file with the required settings and `more` of [node].
  void WriteConfig(const std::string& more) {
    std::ofstream(config_) << "[node]\nnode_id = \"n\"\nzone = \"z\"\n"
                              "internal_endpoint = \"127.0.0.1:0\"\n"
                              "http_endpoint = \"127.0.0.1:0\"\n"
                              "inventory_endpoint = \"127.0.0.1:9\"\n"
                           << more;
  }

  static std::vector<std::string> LinesOf(const std::string& path) {
    std::ifstream file(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) lines.push_back(line);
    return lines;
  }

  // The log lines of settings files that a running process could not use.
  std::vector<std::string> Rejections() const {
    std::vector<std::string> lines = LinesOf(folder_ + "/log");
    std::erase_if(lines, [](const std::string& line) {
      return line.find("SettingsReloadRejected") == std::string::npos;
    });
    return lines;
  }

  int Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "posthatchd");
    std::vector<const char*> argv;
    argv.reserve(arguments.size());
    for (const std::string& argument : arguments) argv.push_back(argument.c_str());
    ScriptedFactory factory(&script_);
    return RunCommandLine(static_cast<int>(argv.size()), argv.data(), &factory);
  }

  int RunGateway(std::vector<std::string> flags = {}) {
    std::vector<std::string> arguments = {"gateway", "--config", config_};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return Run(std::move(arguments));
  }

  // Sends requests one after another, each after the previous response, and then runs `then`.
  void SendAll(runtime::Runtime* runtime, const std::string& endpoint,
               std::vector<http::Request> requests, const std::function<void()>& then) {
    if (requests.empty()) return then();
    http::Request next = std::move(requests.front());
    requests.erase(requests.begin());
    http::CallObserver observer;
    observer.on_head = [this](const http::Response& head) {
      responses_.push_back(std::to_string(head.status) + " ");
    };
    observer.on_chunk = [this](const std::string& chunk) { responses_.back() += chunk; };
    observer.on_end = [this, runtime, endpoint, requests, then] {
      SendAll(runtime, endpoint, requests, then);
    };
    observer.on_error = [this, then](const http::CallError& error) {
      responses_.push_back(error.status.ToString());
      then();
    };
    script_.call = runtime->http_client->Start(endpoint, std::move(next), {}, observer);
  }

  const std::string folder_;
  const std::string config_;
  Script script_;
  std::vector<std::string> responses_;
  std::string endpoint_;  // of the running process
};

http::Request Request(const std::string& method, const std::string& target,
                      const std::string& body = "", const std::string& token = "") {
  http::Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!token.empty()) request.headers.Add("Authorization", "Bearer " + token);
  return request;
}

TEST_F(CommandLineTest, InvalidSettingsExitWithTwo) {
  std::filesystem::create_directories(folder_ + "/data");
  EXPECT_EQ(RunGateway({"--zone", "not a zone"}), kExitBadSettings);
  EXPECT_EQ(RunGateway({"--data-folder", folder_}), kExitBadSettings);  // only for controllers
  EXPECT_EQ(RunGateway({"--no-such-flag"}), kExitBadSettings);
  EXPECT_EQ(Run({"gateway"}), kExitBadSettings);
  EXPECT_EQ(Run({"gateway", "--config", folder_ + "/missing.toml"}), kExitBadSettings);
  EXPECT_EQ(Run({"gateway", "--config", folder_}), kExitBadSettings);
  EXPECT_EQ(Run({}), kExitBadSettings);
  EXPECT_EQ(Run({"controller", "--config", config_, "--data-folder", folder_ + "/data",
                 "--session-lease-ms", "1"}),
            kExitBadSettings);
  EXPECT_TRUE(std::filesystem::is_empty(folder_ + "/data"));
  EXPECT_EQ(script_.start_count, 0);
}

TEST_F(CommandLineTest, CheckConfigStartsNoProcess) {
  EXPECT_EQ(RunGateway({"--check-config"}), kExitOk);
  EXPECT_EQ(Run({"settings-table"}), kExitOk);
  EXPECT_EQ(script_.start_count, 0);
}

TEST_F(CommandLineTest, FailedStartExitsWithOne) {
  script_.start_status = absl::DataLossError("log damaged");
  EXPECT_EQ(RunGateway(), kExitStartFailed);
}

TEST_F(CommandLineTest, ServesCommonEndpointsAndDelegatesOthers) {
  // SHA-256 of "secret".
  constexpr const char* kSecret =
      "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
  script_.on_start = [this](runtime::Runtime* runtime, const std::string& endpoint) {
    SendAll(runtime, endpoint,
            {Request("GET", "/healthz"), Request("GET", "/readyz"), Request("GET", "/metrics"),
             Request("PUT", "/admin/v1/log-level", R"({"level": "warning"})", "secret"),
             Request("PUT", "/admin/v1/log-level", R"({"level": "warning"})", "guess"),
             Request("PUT", "/admin/v1/log-level", R"({"level": "loud"})", "secret"),
             Request("PUT", "/admin/v1/log-level", "{", "secret"), Request("POST", "/healthz"),
             Request("PUT", "/debug/faults", "{}", "secret"), Request("GET", "/other")},
            [] { raise(SIGTERM); });
  };
  EXPECT_EQ(RunGateway({"--admin-token-sha256", kSecret}), kExitOk);
  ASSERT_EQ(responses_.size(), 10u);
  EXPECT_THAT(responses_[0], StartsWith("200"));
  EXPECT_THAT(responses_[1], StartsWith("200"));
  EXPECT_THAT(responses_[2], HasSubstr("posthatch_http_server_connections 1"));
  EXPECT_THAT(responses_[3], StartsWith("200"));
  EXPECT_THAT(responses_[4], StartsWith("401"));
  EXPECT_THAT(responses_[5], StartsWith("400"));
  EXPECT_THAT(responses_[6], StartsWith("400"));
  EXPECT_THAT(responses_[7], StartsWith("405"));
  EXPECT_EQ(responses_[8], "404 the process");  // no fault injection
  EXPECT_EQ(responses_[9], "404 the process");
}

TEST_F(CommandLineTest, FaultInjectionNeedsFlag) {
  script_.ready = false;
  script_.on_start = [this](runtime::Runtime* runtime, const std::string& endpoint) {
    SendAll(runtime, endpoint,
            {Request("PUT", "/debug/faults", R"({"drop": 1})"), Request("GET", "/readyz"),
             Request("PUT", "/debug/faults", R"({"drop_to": [")" + endpoint + R"("]})")},
            [this, runtime, endpoint] {
              runtime->timers->Schedule(std::chrono::milliseconds(20), [this, runtime, endpoint] {
                SendAll(runtime, endpoint, {Request("GET", "/healthz")}, [] {});
              });
              runtime->timers->Schedule(std::chrono::milliseconds(200), [] { raise(SIGTERM); });
            });
  };
  EXPECT_EQ(RunGateway({"--enable-fault-injection"}), kExitOk);
  ASSERT_EQ(responses_.size(), 3u);
  EXPECT_THAT(responses_[0], StartsWith("400"));
  EXPECT_THAT(responses_[1], StartsWith("503"));
  EXPECT_THAT(responses_[2], StartsWith("200"));
}

TEST_F(CommandLineTest, AdjustedSettingsAreLoggedAndTheProcessRuns) {
  WriteConfig("drain_deadline_ms = 20\nadjust_unusable_values = \"on\"\nlog_file = \"" + folder_ +
              "/log\"\n");
  script_.on_start = [](runtime::Runtime* runtime, const std::string&) {
    runtime->timers->Schedule(std::chrono::milliseconds(20), [] { raise(SIGTERM); });
  };
  EXPECT_EQ(RunGateway({"--check-config"}), kExitOk);
  EXPECT_EQ(script_.start_count, 0);
  EXPECT_EQ(RunGateway(), kExitOk);
  EXPECT_EQ(script_.start_count, 1);
  EXPECT_THAT(LinesOf(folder_ + "/log"),
              Contains(AllOf(HasSubstr("SettingAdjusted"), HasSubstr("node.drain_deadline_ms"),
                             HasSubstr("\"given\":\"20\""), HasSubstr("\"used\":\"100\""))));
}

// Guards against a change of the settings file that ends a process that serves, or that is passed
// over in silence.
TEST_F(CommandLineTest, ChangedFilesThatCanNotBeUsedAreLoggedAndTheProcessServesOn) {
  const std::string common = "log_file = \"" + folder_ + "/log\"\nlog_level = \"warning\"\n";
  WriteConfig(common);
  const std::vector<std::function<void()>> changes = {
      [&] { WriteConfig(common + "drain_deadline_ms = 7.5000\n"); },
      [&] { WriteConfig(common + "drain_deadline_ms = 000\n"); },
      [&] { WriteConfig(common + "seeds = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n"); },
      [&] { std::ofstream(config_) << "[node]\nnode_id = \"n"; },
      [&] { std::ofstream(config_) << "[node]\nnode_id = \"n\"\n"; },
      [&] { std::ofstream(config_, std::ios::trunc); },
      [&] { std::filesystem::remove(config_); },
      [&] { WriteConfig(common + "seeds = [\"127.0.0.1:3\"]\ndrain_deadline_ms = \"7.5s\"\n"); },
  };
  runtime::Runtime* runtime = nullptr;
  size_t applied = 0;
  std::function<void()> proceed = [&] {
    if (Rejections().size() + script_.seeds.size() == applied) {
      if (applied == changes.size()) {
        SendAll(runtime, endpoint_, {Request("GET", "/healthz")}, [] { raise(SIGTERM); });
        return;
      }
      changes[applied++]();
      raise(SIGHUP);
    }
    runtime->timers->Schedule(std::chrono::milliseconds(20), proceed);
  };
  script_.on_start = [&](runtime::Runtime* started, const std::string& endpoint) {
    runtime = started;
    endpoint_ = endpoint;
    runtime->timers->Schedule(std::chrono::milliseconds(20), proceed);
  };
  EXPECT_EQ(RunGateway(), kExitOk);
  EXPECT_EQ(script_.start_count, 1);
  EXPECT_THAT(responses_, ElementsAre(StartsWith("200")));
  EXPECT_THAT(script_.seeds, ElementsAre(ElementsAre("127.0.0.1:3")));
  EXPECT_THAT(Rejections(),
              ElementsAre(HasSubstr("node.drain_deadline_ms: must be"), HasSubstr("not TOML"),
                          HasSubstr("node.seeds: must be"), HasSubstr("not TOML"),
                          HasSubstr("node.zone: missing"), HasSubstr("node.node_id: missing"),
                          HasSubstr("can't be read, or is empty")));
}

// Guards against a change of the settings while a process starts: SIGHUP ended it.
TEST_F(CommandLineTest, SeedsThatChangeDuringTheStartAreTaken) {
  script_.on_start = [this](runtime::Runtime* runtime, const std::string&) {
    WriteConfig("seeds = [\"127.0.0.1:3\"]\n");
    raise(SIGHUP);
    runtime->timers->Schedule(std::chrono::milliseconds(20), [] { raise(SIGTERM); });
  };
  EXPECT_EQ(RunGateway(), kExitOk);
  EXPECT_THAT(script_.seeds, ElementsAre(ElementsAre("127.0.0.1:3")));
}

TEST_F(CommandLineTest, DrainWaitsForResponsesInProgress) {
  runtime::MonotonicTime signalled;
  runtime::Clock* clock = nullptr;
  script_.on_start = [&](runtime::Runtime* runtime, const std::string& endpoint) {
    clock = runtime->clock;
    SendAll(runtime, endpoint, {Request("GET", "/hold")}, [] {});
    runtime->timers->Schedule(std::chrono::milliseconds(50), [&] {
      signalled = clock->Now();
      raise(SIGTERM);
    });
    runtime->timers->Schedule(std::chrono::milliseconds(150), [this] {
      for (auto& writer : script_.pending_writers) {
        writer->SendResponse({.status = 200, .headers = {}, .body = "ended"});
      }
      script_.pending_writers.clear();
    });
  };
  EXPECT_EQ(RunGateway({"--drain-deadline-ms", "5000"}), kExitOk);
  EXPECT_EQ(script_.drain_count, 1);
  ASSERT_EQ(responses_.size(), 1u);
  EXPECT_EQ(responses_[0], "200 ended");
}

// Guards against a grace time shorter than the notice: the process ended without having drained.
TEST_F(CommandLineTest, NoticeLongerThanTheDeadlineLeavesTimeToDrain) {
  std::function<void()> respond_once_draining;
  script_.on_start = [&](runtime::Runtime* runtime, const std::string& endpoint) {
    SendAll(runtime, endpoint, {Request("GET", "/hold")}, [] {});
    runtime->timers->Schedule(std::chrono::milliseconds(50), [] { raise(SIGTERM); });
    respond_once_draining = [&, runtime] {
      if (script_.drain_count == 0) {
        runtime->timers->Schedule(std::chrono::milliseconds(20), respond_once_draining);
        return;
      }
      for (auto& writer : script_.pending_writers) {
        writer->SendResponse({.status = 200, .headers = {}, .body = "ended"});
      }
      script_.pending_writers.clear();
    };
    respond_once_draining();
  };
  EXPECT_EQ(RunGateway({"--drain-deadline-ms", "1500", "--drain-notice-ms", "20000"}), kExitOk);
  EXPECT_EQ(script_.drain_count, 1);
  EXPECT_THAT(responses_, ElementsAre("200 ended"));
}

TEST_F(CommandLineTest, DrainEndsAtItsDeadline) {
  script_.completes_drain = false;
  auto start = std::chrono::steady_clock::now();
  script_.on_start = [&](runtime::Runtime* runtime, const std::string& endpoint) {
    SendAll(runtime, endpoint, {Request("GET", "/hold")}, [] {});
    runtime->timers->Schedule(std::chrono::milliseconds(50), [&] {
      start = std::chrono::steady_clock::now();
      raise(SIGTERM);
    });
  };
  EXPECT_EQ(RunGateway(), kExitOk);  // with a deadline of 300 ms
  const auto elapsed = std::chrono::steady_clock::now() - start;
  EXPECT_GE(elapsed, std::chrono::milliseconds(300));
  EXPECT_LT(elapsed, std::chrono::milliseconds(2000));
}

}  // namespace
}  // namespace posthatch::server
