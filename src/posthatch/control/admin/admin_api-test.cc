#include "posthatch/control/admin/admin_api.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "posthatch/control/admin/admin_changes.h"
#include "posthatch/control/inventory/inventory_poller.h"
#include "posthatch/control/server/state_views.h"
#include "posthatch/test_support/fake_trace-test.h"
#include "posthatch/test_support/fake_writer-test.h"

namespace posthatch::control {
namespace {

using test_support::FakeWriter;
using testing::HasSubstr;
using testing::IsEmpty;

// SHA-256 of "secret".
constexpr const char* kTokenHash =
    "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

// Responds synchronously with the result that the test has set.
class FixedClient : public ControlClient, public QueryClient {
 public:
  void Propose(Command command, runtime::Duration, bool until_in_force, ProposeDone done) override {
    EXPECT_TRUE(until_in_force);
    commands.push_back(std::move(command));
    done(result);
  }
  void Query(std::string name, std::string argument, runtime::Duration, QueryDone done) override {
    queries.push_back(name + "?" + argument);
    QueryResponse response;
    response.set_http_status(200);
    response.set_json("{}");
    done(response);
  }

  absl::StatusOr<CommandResult> result = CommandResult();
  std::vector<Command> commands;
  std::vector<std::string> queries;
};

class AdminApiTest : public testing::Test {
 protected:
  AdminApiTest() { runtime_.trace = &trace_; }

  http::Response Call(const std::string& method, const std::string& target, const std::string& body,
                      const std::string& token = "secret") {
    AdminApi api(&runtime_, {.admin_token_sha256 = kTokenHash, .members_view = {}}, &client_,
                 &client_);
    http::Request request{method, target, {}, body, 0};
    if (!token.empty()) request.headers.Add("Authorization", "Bearer " + token);
    auto writer = std::make_shared<FakeWriter>();
    EXPECT_TRUE(api.HandleRequest(request, writer));
    EXPECT_EQ(writer->responses, 1);
    return writer->sent_response;
  }

  test_support::FakeTrace trace_;
  runtime::Runtime runtime_;
  FixedClient client_;
};

TEST_F(AdminApiTest, RejectsRequestsWithoutToken) {
  for (const char* token : {"", "wrong", "secret2"}) {
    EXPECT_EQ(Call("POST", "/admin/v1/evacuations", R"({"request_id":"r"})", token).status, 401);
    EXPECT_EQ(Call("GET", "/admin/v1/leases", "", token).status, 401);
  }
  EXPECT_THAT(client_.commands, IsEmpty());
  EXPECT_THAT(client_.queries, IsEmpty());
  EXPECT_EQ(Call("GET", "/admin/v1/leases?x=1", "").status, 200);
  EXPECT_EQ(client_.queries, std::vector<std::string>{"leases?x=1"});
}

TEST_F(AdminApiTest, RejectsMalformedChangesWithoutProposing) {
  const std::string deep = std::string(10000, '[') + std::string(10000, ']');
  for (const std::string& body :
       {std::string(), std::string("[]"), std::string("{\"request_id\":"), deep,
        std::string(R"({"configuration":{}})"),
        std::string(R"({"request_id":"r","configuration":{"tenants":7}})"),
        std::string(R"({"request_id":"r","configuration":{"unknown_field":1}})"),
        std::string(R"({"request_id":"r","expected_version":-1,"configuration":{}})"),
        std::string(R"({"request_id":"r","expected_version":1.5,"configuration":{}})"),
        std::string(R"({"request_id":"r","configuration":{},"patch":{}})"),
        R"({"request_id":")" + std::string(129, 'x') + R"(","configuration":{}})"}) {
    const http::Response response = Call("POST", "/admin/v1/configuration", body);
    EXPECT_EQ(response.status, 400) << body.substr(0, 100);
    EXPECT_THAT(response.body, HasSubstr("\"errors\":["));
  }
  EXPECT_EQ(Call("DELETE", "/admin/v1/configuration", "").status, 405);
  EXPECT_EQ(Call("POST", "/admin/v1/leases", "{}").status, 405);
  EXPECT_THAT(client_.commands, IsEmpty());
}

TEST_F(AdminApiTest, MapsResultsToHttpStatuses) {
  const std::string body = R"({"request_id":"r","expected_version":3,"patch":{}})";
  const auto status = [this, &body](absl::StatusOr<CommandResult> result) {
    client_.result = std::move(result);
    return Call("POST", "/admin/v1/configuration", body).status;
  };
  const auto with_code = [](CommandResult::Code code) {
    CommandResult result;
    result.set_code(code);
    return result;
  };
  EXPECT_EQ(status(with_code(CommandResult::OK)), 200);
  EXPECT_EQ(status(with_code(CommandResult::INVALID)), 400);
  EXPECT_EQ(status(with_code(CommandResult::NOT_FOUND)), 404);
  EXPECT_EQ(status(with_code(CommandResult::VERSION_CONFLICT)), 409);
  EXPECT_EQ(status(with_code(CommandResult::REQUEST_ID_REUSED)), 409);
  EXPECT_EQ(status(with_code(CommandResult::WINDOW_PASSED)), 410);
  EXPECT_EQ(status(absl::DeadlineExceededError("")), 503);
  EXPECT_THAT(Call("POST", "/admin/v1/configuration", body).body, HasSubstr("uncertain"));
  EXPECT_EQ(status(absl::ResourceExhaustedError("")), 503);
  const http::Response rejected = Call("POST", "/admin/v1/configuration", body);
  EXPECT_THAT(rejected.body, HasSubstr("unavailable"));
  EXPECT_EQ(rejected.headers.Get("Retry-After"), "1");
  EXPECT_EQ(client_.commands.back().change_configuration().expected_version(), 3);
}

TEST_F(AdminApiTest, IgnoresOtherPaths) {
  AdminApi api(&runtime_, {}, &client_, &client_);
  for (const char* target : {"/v1/completions", "/admin/v1/log-level", "/admin/v1/index",
                             "/admin/v1/", "/admin/v2/configuration", "/admin/v1/leases/x"}) {
    EXPECT_FALSE(api.HandleRequest({"GET", target, {}, "", 0}, std::make_shared<FakeWriter>()));
  }
}

TEST(StateViewsTest, InventoryViewRoundTrips) {
  ControlState state;
  Command command;
  Backend* backend = command.mutable_set_inventory()->mutable_inventory()->add_backends();
  backend->set_id("w1");
  backend->set_kind(BACKEND_KIND_WORKER);
  backend->set_endpoint("10.0.0.1:1");
  backend->set_zone("z1");
  (*backend->mutable_labels())["rack"] = "7";
  state.Apply(1, 1, command.SerializeAsString());
  const View view = RenderView("inventory", "", state);
  const absl::StatusOr<Inventory> parsed = ParseInventory(view.json);
  ASSERT_TRUE(parsed.ok()) << parsed.status();
  EXPECT_TRUE(SameBackends(*parsed, state.fleet().inventory()));
  for (const char* damaged : {"", "{}", R"({"backends":7})", R"({"backends":[{"id":"x"}]})"}) {
    EXPECT_FALSE(ParseInventory(damaged).ok());
  }
  EXPECT_EQ(RenderView("configuration", "version=7", state).http_status, 404);
  EXPECT_EQ(RenderView("nonsense", "", state).http_status, 404);
}

}  // namespace
}  // namespace posthatch::control
