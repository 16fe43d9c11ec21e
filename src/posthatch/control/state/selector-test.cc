#include "posthatch/control/state/selector.h"

#include <gtest/gtest.h>

namespace posthatch::control {
namespace {

bool Matches(const std::string& text, const LabelMap& labels) {
  const absl::StatusOr<Selector> selector = ParseSelector(text);
  EXPECT_TRUE(selector.ok()) << text << ": " << selector.status();
  return selector.ok() && SelectorMatches(*selector, labels);
}

TEST(SelectorTest, AllRequirementsMustHold) {
  const LabelMap labels = {{"zone", "eu-1a"}, {"model", "a"}, {"rack", "7"}};
  EXPECT_TRUE(Matches("zone=eu-1a,model in (a, b),!canary", labels));
  EXPECT_FALSE(Matches("zone=eu-1a,model in (b),!canary", labels));
  EXPECT_FALSE(Matches("zone=eu-1a,canary", labels));
  EXPECT_TRUE(Matches("zone != eu-1b, rack", labels));
  EXPECT_FALSE(Matches("zone notin (eu-1a,eu-1b)", labels));
  EXPECT_TRUE(Matches("absent notin (x)", labels));
  EXPECT_TRUE(Matches("inside=1", {{"inside", "1"}}));
  EXPECT_TRUE(Matches("*", {}));
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
    EXPECT_NE(selector.status().message().find("character"), absl::string_view::npos);
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
