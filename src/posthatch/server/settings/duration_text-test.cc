#include "posthatch/server/settings/duration_text.h"

#include "gtest/gtest.h"

namespace posthatch::server {
namespace {

TEST(DurationTextTest, ReadsDecimalNumbersWithAUnit) {
  EXPECT_EQ(ParseDurationText("8s"), absl::Seconds(8));
  EXPECT_EQ(ParseDurationText("7.5s"), absl::Milliseconds(7500));
  EXPECT_EQ(ParseDurationText("2500.5ms"), absl::Microseconds(2500500));
  EXPECT_EQ(ParseDurationText("1.25e3 ms"), absl::Milliseconds(1250));
  EXPECT_EQ(ParseDurationText("1e-05s"), absl::Microseconds(10));
  EXPECT_EQ(ParseDurationText("0s"), absl::ZeroDuration());
  EXPECT_EQ(ParseDurationText("2min"), absl::Seconds(120));
  EXPECT_EQ(ParseDurationText("1.5h"), absl::Minutes(90));
  EXPECT_EQ(ParseDurationText("-3s"), absl::Seconds(-3));
}

TEST(DurationTextTest, NumbersOfAnySizeGiveADuration) {
  EXPECT_EQ(ParseDurationText("1e300s"), absl::InfiniteDuration());
  EXPECT_EQ(ParseDurationText("-1e300ms"), -absl::InfiniteDuration());
  EXPECT_EQ(ParseDurationText("infs"), absl::InfiniteDuration());
  EXPECT_EQ(ParseDurationText("1e-300ms"), absl::ZeroDuration());
}

TEST(DurationTextTest, RejectsOtherTexts) {
  for (const char* text : {"", "8", "s", "ms", " s", "trues", "nans", "8 weeks", "8s s", "8,5s",
                           "8sms", "0x10s", "8m", "s8"}) {
    EXPECT_EQ(ParseDurationText(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace posthatch::server
