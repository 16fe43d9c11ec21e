#include "posthatch/util/lifetime.h"

#include <functional>
#include <memory>

#include "gtest/gtest.h"

namespace posthatch::util {
namespace {

class Owner {
 public:
  std::function<void(int)> MakeCallback(int* sum) {
    return lifetime_.Guard([sum](int value) { *sum += value; });
  }
  Lifetime::Observer Observe() const { return lifetime_.Observe(); }

 private:
  Lifetime lifetime_;
};

TEST(LifetimeTest, GuardedCallbackRunsOnlyWhileOwnerExists) {
  int sum = 0;
  auto owner = std::make_unique<Owner>();
  const std::function<void(int)> callback = owner->MakeCallback(&sum);
  callback(1);
  EXPECT_EQ(sum, 1);
  owner.reset();
  callback(10);
  EXPECT_EQ(sum, 1);
}

TEST(LifetimeTest, ObserverSeesEndOfOwner) {
  auto owner = std::make_unique<Owner>();
  const Lifetime::Observer observer = owner->Observe();
  EXPECT_FALSE(observer.Ended());
  owner.reset();
  EXPECT_TRUE(observer.Ended());
}

}  // namespace
}  // namespace posthatch::util
