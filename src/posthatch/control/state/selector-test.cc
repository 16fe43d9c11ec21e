#include "posthatch/control/state/selector.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace posthatch::control {
namespace {

bool Matches(const std::string& text, const LabelMap& labels) {
  const absl::StatusOr<Selector> selector = ParseSelector(text);
  EXPECT_TRUE(selector.ok()) << text << ": " << selector.status();
  return selector.ok() && SelectorMatches(*selector, labels);
}

struct MatchCase {
  const char* selector;
  LabelMap labels;
  bool matches;
};

TEST(SelectorTest, AllRequirementsMustHold) {
  const LabelMap labels = {{"zone", "eu-1a"}, {"model", "a"}, {"rack", "7"}};
  const std::vector<MatchCase> cases = {
      {"zone=eu-1a,model in (a, b),!canary", labels, true},
      {"zone=eu-1a,model in (b),!canary", labels, false},
      {"zone=eu-1a,canary", labels, false},
      {"zone != eu-1b, rack", labels, true},
      {"zone notin (eu-1a,eu-1b)", labels, false},
      {"absent notin (x)", labels, true},
      {"inside=1", {{"inside", "1"}}, true},  // begins like the keyword "in"
      {"*", {}, true},
  };
  for (const MatchCase& test_case : cases) {
    EXPECT_EQ(Matches(test_case.selector, test_case.labels), test_case.matches)
        << test_case.selector;
  }
}

TEST(SelectorTest, EmptySelectorMatchesNothing) {
  EXPECT_FALSE(SelectorMatches(Selector(), {{"zone", "a"}}));
  std::vector<std::string> errors;
  ValidateSelector(Selector(), "selector", &errors);
  EXPECT_EQ(errors.size(), 1);
}

TEST(SelectorTest, ReportsPositionOfSyntaxError) {
  for (const char* text :
       {"", ",", "zone=", "zone in a", "zone in (a", "*,zone", "a b", "!", "=x"}) {
    const absl::StatusOr<Selector> selector = ParseSelector(text);
    EXPECT_FALSE(selector.ok()) << "'" << text << "'";
    EXPECT_THAT(std::string(selector.status().message()), testing::HasSubstr("character"));
  }
}

TEST(SelectorTest, EntryLabelsCannotOverrideZone) {
  Backend backend;
  backend.set_id("w1");
  backend.set_zone("eu-1a");
  (*backend.mutable_labels())["zone"] = "eu-1b";
  EXPECT_EQ(BackendLabels(backend)["zone"], "eu-1a");
}

}  // namespace
}  // namespace posthatch::control
