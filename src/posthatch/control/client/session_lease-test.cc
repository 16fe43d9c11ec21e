#include "posthatch/control/client/session_lease.h"

#include <gtest/gtest.h>

namespace posthatch::control {
namespace {

using std::chrono::seconds;

constexpr runtime::MonotonicTime kStart{std::chrono::hours(1)};

TEST(SessionLeaseTest, IsValidUntilExpiry) {
  SessionLease lease;
  EXPECT_FALSE(lease.Valid(kStart));
  lease.Extend(kStart + seconds(4));
  EXPECT_TRUE(lease.Valid(kStart + seconds(3)));
  EXPECT_FALSE(lease.Valid(kStart + seconds(4)));
  EXPECT_TRUE(lease.granted());
}

TEST(SessionLeaseTest, ExpiryNeverDecreases) {
  SessionLease lease;
  lease.Extend(kStart + seconds(4));
  lease.Extend(kStart + seconds(2));
  EXPECT_EQ(lease.expiry(), kStart + seconds(4));
}

TEST(SessionLeaseTest, IgnoresGrantsForOlderRenewals) {
  SessionLease lease;
  const uint64_t first = lease.StartRenewal(kStart);
  const uint64_t second = lease.StartRenewal(kStart + seconds(1));
  EXPECT_EQ(lease.SentAt(first), kStart);
  EXPECT_TRUE(lease.AwaitsResponse());
  lease.OnResponse(second);
  EXPECT_FALSE(lease.AwaitsResponse());
  EXPECT_EQ(lease.SentAt(first), std::nullopt);
  EXPECT_EQ(lease.SentAt(second), std::nullopt);
}

TEST(SessionLeaseTest, DropsOldestPendingRenewals) {
  SessionLease lease;
  const uint64_t first = lease.StartRenewal(kStart);
  for (int i = 0; i < 32; ++i) lease.StartRenewal(kStart);
  EXPECT_EQ(lease.SentAt(first), std::nullopt);
  EXPECT_EQ(lease.SentAt(lease.last_renewal()), kStart);
}

TEST(SessionLeaseTest, EndIsFinal) {
  SessionLease lease;
  lease.Extend(kStart + seconds(4));
  lease.End();
  EXPECT_TRUE(lease.ended());
  lease.Extend(kStart + seconds(8));
  EXPECT_FALSE(lease.Valid(kStart));
}

}  // namespace
}  // namespace posthatch::control
