#include "posthatch/server/settings/settings_loader.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "posthatch/server/settings/settings_page.h"
#include "posthatch/server/settings/settings_table.h"

namespace posthatch::server {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::StartsWith;

constexpr const char* kGateway = R"([node]
node_id = "gateway-1"
zone = "eu-1a"
internal_endpoint = "127.0.0.1:7000"
http_endpoint = "127.0.0.1:8080"
seeds = ["127.0.0.1:7001", "127.0.0.1:7002"]
inventory_endpoint = "127.0.0.1:9000"
)";

std::vector<std::string> Texts(const std::vector<SettingsError>& errors) {
  std::vector<std::string> texts;
  texts.reserve(errors.size());
  for (const SettingsError& error : errors) texts.push_back(error.ToString());
  return texts;
}

std::vector<std::string> LoadGateway(const std::string& text, GatewaySettings* settings,
                                     std::vector<SettingOverride> flags = {}) {
  return Texts(LoadGatewaySettings({"g.toml", text, std::move(flags)}, settings));
}

TEST(SettingsLoaderTest, SetsGivenValuesAndKeepsDefaults) {
  GatewaySettings settings;
  ASSERT_THAT(LoadGateway(std::string(kGateway) +
                              "drain_deadline_ms = 1500\nlog_level = \"debug\"\n"
                              "[limits]\nmax_body_bytes = 2048\nidle_timeout_ms = 5000\n"
                              "[gateway]\nindex_budget_bytes = 1048576\n",
                          &settings),
              ElementsAre());
  EXPECT_EQ(settings.node.node_id, "gateway-1");
  EXPECT_THAT(settings.node.seeds, ElementsAre("127.0.0.1:7001", "127.0.0.1:7002"));
  EXPECT_EQ(settings.node.drain_deadline, std::chrono::milliseconds(1500));
  EXPECT_EQ(settings.node.log_level, runtime::Severity::kDebug);
  EXPECT_EQ(settings.limits.max_body_bytes, 2048u);
  EXPECT_EQ(settings.limits.idle_timeout, std::chrono::seconds(5));
  EXPECT_EQ(settings.limits.max_header_bytes, http::ServerLimits().max_header_bytes);
  EXPECT_EQ(settings.index_budget_bytes, 1048576u);
  EXPECT_EQ(settings.session_renew_interval, GatewaySettings().session_renew_interval);
}

TEST(SettingsLoaderTest, FlagsOverrideFile) {
  GatewaySettings settings;
  ASSERT_THAT(LoadGateway(kGateway, &settings,
                          {{"node.zone", "eu-1b"},
                           {"node.seeds", "127.0.0.1:1,127.0.0.1:2"},
                           {"limits.max_connections", "7"}}),
              ElementsAre());
  EXPECT_EQ(settings.node.zone, "eu-1b");
  EXPECT_THAT(settings.node.seeds, ElementsAre("127.0.0.1:1", "127.0.0.1:2"));
  EXPECT_EQ(settings.limits.max_connections, 7u);
}

TEST(SettingsLoaderTest, ReportsEveryErrorWithFileLineKeyAndRange) {
  GatewaySettings settings;
  settings.node.zone = "untouched";
  const auto errors = LoadGateway(R"([node]
node_id = "gateway 1"
http_endpoint = 3
seeds = ["127.0.0.1:1", "127.0.0.1:1"]
inventory_endpoint = "0.0.0.0:9000"
admin_token_sha256 = "12"
log_level = "loud"
[limits]
max_body_bytes = 3
header_timeout_ms = 1.5
colour = "red"
[controller]
bootstrap_expect = 3
[extra]
)",
                                  &settings, {{"limits.max_connections", "many"}});
  EXPECT_THAT(
      errors,
      ElementsAre("command line: limits.max_connections: must be 1 to 1000000, is \"many\"",
                  StartsWith("g.toml: node.zone: missing; must be 1 to 64"),
                  StartsWith("g.toml: node.internal_endpoint: missing; must be \"ip:port\""),
                  "g.toml:2: node.node_id: must be 1 to 64 of a-z A-Z 0-9 . _ -, is \"gateway 1\"",
                  StartsWith("g.toml:3: node.http_endpoint: must be \"ip:port\""),
                  StartsWith("g.toml:4: node.seeds: must be up to 3 different"),
                  StartsWith("g.toml:5: node.inventory_endpoint: must be \"ip:port\""),
                  StartsWith("g.toml:6: node.admin_token_sha256: must be empty or 64 hex"),
                  HasSubstr("g.toml:7: node.log_level: must be debug, info, warning or error"),
                  "g.toml:9: limits.max_body_bytes: must be 1024 to 268435456 bytes, is 3",
                  "g.toml:10: limits.header_timeout_ms: must be 100 to 600000 ms",
                  "g.toml:11: limits.colour: unknown setting",
                  "g.toml:13: controller.bootstrap_expect: not a setting of this role",
                  StartsWith("g.toml:14: extra: unknown")));
  EXPECT_EQ(settings.node.zone, "untouched");
}

TEST(SettingsLoaderTest, DurationsMayBeTextsWithTheirUnit) {
  GatewaySettings settings;
  ASSERT_THAT(LoadGateway(std::string(kGateway) + "drain_deadline_ms = \"7.5s\"\n", &settings,
                          {{"node.drain_notice_ms", "0.5 s"}}),
              ElementsAre());
  EXPECT_EQ(settings.node.drain_deadline, std::chrono::milliseconds(7500));
  EXPECT_EQ(settings.node.drain_notice, std::chrono::milliseconds(500));
  EXPECT_THAT(
      LoadGateway(std::string(kGateway) + "drain_deadline_ms = \"0.05s\"\n", &settings),
      ElementsAre(HasSubstr("node.drain_deadline_ms: must be 100 to 86400000 ms, is \"0.05")));
  EXPECT_THAT(
      LoadGateway(std::string(kGateway) + "drain_deadline_ms = \"soon\"\n", &settings),
      ElementsAre(HasSubstr("node.drain_deadline_ms: must be 100 to 86400000 ms, is \"soon")));
}

TEST(SettingsLoaderTest, UnusableValuesAreAdjustedOnlyIfTheFileSaysSo) {
  const std::string adjust = std::string(kGateway) + "adjust_unusable_values = \"on\"\n";
  const std::string values =
      "drain_deadline_ms = 20\ndrain_notice_ms = \"1e12s\"\n"
      "[gateway]\nretry_budget_ratio = \"-0.5\"\nretry_budget_slack = \"1e9\"\n"
      "inventory_reads_per_second = \"many\"\n";
  GatewaySettings settings;
  EXPECT_EQ(LoadGateway(kGateway + values, &settings).size(), 5U);
  EXPECT_THAT(settings.node.adjusted, ElementsAre());
  ASSERT_THAT(LoadGateway(adjust + values, &settings), ElementsAre());
  EXPECT_EQ(settings.node.drain_deadline, std::chrono::milliseconds(100));
  EXPECT_EQ(settings.node.drain_notice, std::chrono::minutes(1));
  EXPECT_EQ(settings.retry_budget_ratio, 0);
  EXPECT_EQ(settings.retry_budget_slack, 1'000'000);
  EXPECT_EQ(settings.inventory_reads_per_second, GatewaySettings().inventory_reads_per_second);
  std::vector<std::string> adjusted;
  for (const AdjustedSetting& setting : settings.node.adjusted) {
    adjusted.push_back(setting.key + " " + setting.given + " -> " + setting.used);
  }
  EXPECT_THAT(adjusted, ElementsAre("node.drain_deadline_ms 20 -> 100",
                                    "node.drain_notice_ms \"1e12s\" -> 60000",
                                    "gateway.retry_budget_ratio \"-0.5\" -> \"0\"",
                                    "gateway.retry_budget_slack \"1e9\" -> \"1000000\"",
                                    "gateway.inventory_reads_per_second \"many\" -> default"));
}

// Only what has a nearest value is adjusted, and never what was typed as a flag.
TEST(SettingsLoaderTest, OtherUnusableValuesAreErrorsAlsoWhereValuesAreAdjusted) {
  const std::string adjust = std::string(kGateway) + "adjust_unusable_values = \"on\"\n";
  GatewaySettings settings;
  EXPECT_THAT(LoadGateway(adjust + "seeds_port = 70000\n", &settings),
              ElementsAre(HasSubstr("node.seeds_port: must be 0 to 65535, is 70000")));
  EXPECT_THAT(LoadGateway(adjust + "log_level = \"loud\"\n", &settings),
              ElementsAre(HasSubstr("node.log_level: must be")));
  EXPECT_THAT(LoadGateway(adjust + "[limits]\nmax_body_bytes = 3\n", &settings),
              ElementsAre(HasSubstr("limits.max_body_bytes: must be")));
  EXPECT_THAT(LoadGateway(adjust, &settings, {{"node.drain_deadline_ms", "20"}}),
              ElementsAre(HasSubstr("node.drain_deadline_ms: must be 100")));
}

TEST(SettingsLoaderTest, SwitchesAreOnByDefault) {
  GatewaySettings settings;
  EXPECT_THAT(LoadGateway(kGateway, &settings), ElementsAre());
  EXPECT_TRUE(settings.routing.index);
  EXPECT_THAT(
      LoadGateway(std::string(kGateway) + "[routing]\nindex = \"off\"\nrank = \"on\"\n", &settings),
      ElementsAre());
  EXPECT_FALSE(settings.routing.index);
  EXPECT_TRUE(settings.routing.rank);
  EXPECT_THAT(LoadGateway(std::string(kGateway) + "[routing]\nindex = \"no\"\n", &settings),
              ElementsAre(HasSubstr("routing.index: must be on or off, is \"no\"")));
  EXPECT_THAT(LoadGateway(std::string(kGateway) + "[routing]\nmagic = \"on\"\n", &settings),
              ElementsAre(HasSubstr("routing.magic: unknown setting")));
}

TEST(SettingsLoaderTest, ReportsPositionOfTomlError) {
  GatewaySettings settings;
  EXPECT_THAT(LoadGateway("[node]\nzone = \n", &settings),
              ElementsAre(StartsWith("g.toml:2: not TOML: ")));
}

TEST(SettingsLoaderTest, EndpointsMustDiffer) {
  GatewaySettings settings;
  EXPECT_THAT(LoadGateway(kGateway, &settings, {{"node.http_endpoint", "127.0.0.1:7000"}}),
              ElementsAre("command line: node.http_endpoint: must differ from "
                          "node.internal_endpoint"));
}

TEST(SettingsLoaderTest, ControllerNeedsDataFolder) {
  ControllerSettings settings;
  EXPECT_THAT(Texts(LoadControllerSettings({"c.toml", kGateway, {}}, &settings)),
              ElementsAre(StartsWith("c.toml: node.data_folder: missing")));
  EXPECT_THAT(Texts(LoadControllerSettings({"c.toml", kGateway, {{"node.data_folder", "/data"}}},
                                           &settings)),
              ElementsAre());
  EXPECT_EQ(settings.node.data_folder, "/data");
}

// Each numeric setting accepts exactly its range, and its default is within it.
TEST(SettingsTableTest, EnforcesBoundsOfEveryNumber) {
  int numeric_settings = 0;
  for (const SettingDescription& setting : SettingsTable()) {
    if (setting.maximum == 0) continue;
    ++numeric_settings;
    const auto load_text = [&setting](const std::string& value) {
      SettingsSource source{"x.toml", kGateway, {{setting.Key(), value}}};
      GatewaySettings gateway;
      ControllerSettings controller;
      if (setting.AppliesTo(Role::kGateway)) return LoadGatewaySettings(source, &gateway).empty();
      source.overrides.push_back({"node.data_folder", "/data"});
      return LoadControllerSettings(source, &controller).empty();
    };
    const auto load = [&load_text](int64_t value) { return load_text(std::to_string(value)); };
    EXPECT_TRUE(load(setting.minimum)) << setting.Key();
    EXPECT_TRUE(load(setting.maximum)) << setting.Key();
    EXPECT_FALSE(load(setting.minimum - 1)) << setting.Key();
    EXPECT_FALSE(load(setting.maximum + 1)) << setting.Key();
    const std::string default_text = absl::StrReplaceAll(DefaultText(setting), {{"\"", ""}});
    EXPECT_TRUE(load_text(default_text)) << setting.Key();
  }
  EXPECT_GE(numeric_settings, 14);
}

TEST(SettingsTableTest, NamesAreUnique) {
  absl::flat_hash_set<std::string> flags;
  for (const SettingDescription& setting : SettingsTable()) {
    EXPECT_TRUE(flags.insert(setting.Flag()).second) << setting.Flag();
    EXPECT_THAT(SettingsMarkdown(), HasSubstr(absl::StrCat("| `", std::string(setting.name), "`")));
  }
}

}  // namespace
}  // namespace posthatch::server
