#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "posthatch/ctl/admin_request.h"
#include "posthatch/ctl/command_runner.h"
#include "posthatch/ctl/invocation.h"
#include "posthatch/ctl/output.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::ctl {
namespace {

ParseOutcome Parse(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), {"posthatchctl", "--target", "10.0.0.1:8080,10.0.0.2:8080"});
  return ParseCommandLine(static_cast<int>(arguments.size()), arguments.data());
}

TEST(CommandLineTest, CommandsMapToAdminRequests) {
  const auto target = [](const std::vector<const char*>& arguments) {
    ParseOutcome outcome = Parse(arguments);
    EXPECT_TRUE(outcome.invocation.has_value()) << outcome.message;
    outcome.invocation->request_id = "r";
    const absl::StatusOr<http::Request> request = MakeRequest(*outcome.invocation);
    EXPECT_TRUE(request.ok()) << request.status();
    return request->method + " " + request->target + " " + request->body;
  };
  EXPECT_EQ(target({"config", "get", "--version", "3"}), "GET /admin/v1/configuration?version=3 ");
  EXPECT_EQ(target({"config", "diff", "2"}), "GET /admin/v1/configuration/diff?from=2 ");
  EXPECT_EQ(
      target({"config", "rollback", "4", "--expected-version", "9"}),
      R"(POST /admin/v1/configuration {"request_id":"r","expected_version":9,"roll_back_to":4})");
  EXPECT_EQ(target({"drain", "w7"}),
            R"(POST /admin/v1/evacuations {"request_id":"r","name":"drain-w7","selector":)"
            R"({"requirements":[{"key":"id","operator":"IN","values":["w7"]}]}})");
  EXPECT_EQ(target({"lift", "drain-w7", "-o", "json"}),
            R"(POST /admin/v1/evacuations {"request_id":"r","name":"drain-w7","lifted":true})");
  EXPECT_EQ(target({"model-revision", "m", "weights-2"}),
            R"(POST /admin/v1/model-revisions {"request_id":"r","model":"m",)"
            R"("weights":"weights-2","expected_revision":0})");
  EXPECT_EQ(target({"index", "stats"}), "GET /admin/v1/index ");
}

TEST(CommandLineTest, InvalidCommandLineExitsWithUsageCode) {
  for (const std::vector<const char*>& arguments : {std::vector<const char*>{"config"},
                                                    {"explode"},
                                                    {"config", "apply", "/no/such/file"},
                                                    {"members", "-o", "xml"},
                                                    {"config", "rollback", "0"},
                                                    {"evacuate", "e"}}) {
    const ParseOutcome outcome = Parse(arguments);
    EXPECT_FALSE(outcome.invocation.has_value());
    EXPECT_EQ(outcome.exit_code, ExitCode::kUsage) << outcome.message;
    EXPECT_FALSE(outcome.message.empty());
  }
  EXPECT_EQ(Parse({"--help"}).exit_code, ExitCode::kOk);
}

TEST(OutputTest, RendersListsAsColumns) {
  EXPECT_EQ(
      RenderOutput(R"({"version":2,"leases":[{"worker":"w1","token":7},{"worker":"worker2"}]})",
                   OutputFormat::kTable),
      "version: 2\nworker   token\nw1       7\nworker2  \n");
  EXPECT_EQ(RenderOutput("{\"a\":1}", OutputFormat::kJson), "{\"a\":1}\n");
  EXPECT_EQ(RenderOutput("not json", OutputFormat::kTable), "not json\n");
}

// Two nodes whose responses the test sets, and posthatchctl on a third host.
class CommandRunnerTest : public testing::Test {
 protected:
  CommandRunnerTest() : world_(1) {
    for (const char* ip : {"10.0.0.1", "10.0.0.2"}) {
      simulation::SimHost* host = world_.AddHost(ip, "z", ip);
      host->SetBoot([this, host](runtime::Runtime* runtime) {
        auto server = runtime->http_servers->Listen(
            host->http_endpoint(), {}, [this, host](const http::Request& request, auto writer) {
              bodies_.push_back(request.body);
              writer->SendResponse(responses_[host->name()][request.method]);
            });
        return std::make_shared<std::unique_ptr<http::HttpServer>>(*std::move(server));
      });
      host->Start();
    }
    world_.AddHost("tool", "z", "10.0.0.3")->SetBoot([](runtime::Runtime*) {
      return std::make_shared<int>(0);
    });
    world_.FindHost("tool")->Start();
  }

  // Sets the response of a host to all requests of one method.
  void SetResponse(const std::string& host, const std::string& method, int status,
                   std::string body) {
    responses_[host][method] = {status, {}, std::move(body)};
  }
  RunResult Run(const std::vector<const char*>& arguments) {
    CommandRunner runner(world_.FindHost("tool")->runtime(), Parse(arguments).invocation.value());
    RunResult result;
    bool finished = false;
    runner.Run([&](RunResult run_result) {
      result = std::move(run_result);
      finished = true;
    });
    EXPECT_TRUE(world_.RunUntil([&] { return finished; }, std::chrono::seconds(60)));
    return result;
  }

  simulation::SimWorld world_;
  std::map<std::string, std::map<std::string, http::Response>> responses_;
  std::vector<std::string> bodies_;
};

TEST_F(CommandRunnerTest, RetriesAtNextTargetWithSameRequestId) {
  SetResponse("10.0.0.1", "POST", 503, R"({"error":{"code":"uncertain"}})");
  SetResponse("10.0.0.2", "POST", 200, R"({"acknowledged":true,"version":2})");
  const RunResult result = Run({"config", "rollback", "1"});
  EXPECT_EQ(result.exit_code, ExitCode::kOk);
  ASSERT_EQ(bodies_.size(), 2);
  EXPECT_EQ(bodies_[0], bodies_[1]);
  EXPECT_NE(result.notes.find("request id: ctl-"), std::string::npos);
  EXPECT_EQ(result.output, "acknowledged: true\nversion: 2\n");
}

TEST_F(CommandRunnerTest, RejectionIsNotRetried) {
  SetResponse("10.0.0.1", "POST", 409, R"({"error":{"code":"version_conflict"},"version":5})");
  EXPECT_EQ(Run({"config", "rollback", "1"}).exit_code, ExitCode::kRefused);
  EXPECT_EQ(bodies_.size(), 1);
}

TEST_F(CommandRunnerTest, UncertainResultPrintsRequestIdForResend) {
  SetResponse("10.0.0.1", "POST", 503, R"({"error":{"code":"uncertain"}})");
  world_.FindHost("10.0.0.2")->Crash();
  const RunResult result = Run({"--request-id", "mine", "config", "rollback", "1"});
  EXPECT_EQ(result.exit_code, ExitCode::kUncertain);
  EXPECT_NE(result.notes.find("--request-id mine"), std::string::npos);
}

TEST_F(CommandRunnerTest, SelectorMatchingNothingOrAllNeedsConfirmation) {
  SetResponse("10.0.0.1", "GET", 200,
              R"({"version":1,"backends":[{"id":"a","kind":"worker","endpoint":"x","zone":"z1"},)"
              R"({"id":"b","kind":"worker","endpoint":"x","zone":"z2"}]})");
  SetResponse("10.0.0.1", "POST", 200, R"({"acknowledged":true})");
  EXPECT_EQ(Run({"evacuate", "e", "--selector", "zone=z3"}).exit_code, ExitCode::kRefused);
  EXPECT_EQ(Run({"evacuate", "e", "--selector", "*"}).exit_code, ExitCode::kRefused);
  EXPECT_EQ(Run({"evacuate", "e", "--selector", "zone=z1"}).exit_code, ExitCode::kOk);
  EXPECT_EQ(Run({"--yes", "evacuate", "e", "--selector", "*"}).exit_code, ExitCode::kOk);
  EXPECT_EQ(Run({"evacuate", "e", "--selector", "zone in z1"}).exit_code, ExitCode::kUsage);
}

}  // namespace
}  // namespace posthatch::ctl
