#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "posthatch/membership/gossip_membership.h"
#include "posthatch/net/asio_runtime.h"

namespace posthatch::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A process that uses real sockets. All processes of a test run in the test's thread, in turn.
struct Process {
  Process(size_t number, std::vector<std::string> seeds) {
    net::AsioRuntimeOptions options;
    options.node_id = absl::StrCat("node-", number);
    options.internal_endpoint = "127.0.0.1:0";
    options.log_level = runtime::Severity::kError;
    auto created = net::AsioRuntime::Create(options);
    EXPECT_TRUE(created.ok()) << created.status();
    runtime = std::move(*created);
    Member self;
    self.node_id = options.node_id;
    self.zone = "zone";
    self.internal_endpoint = runtime->runtime()->transport->endpoint();
    membership = std::make_unique<GossipMembership>(runtime->runtime(), self, std::move(seeds));
    membership->Start();
  }
  std::unique_ptr<net::AsioRuntime> runtime;
  std::unique_ptr<GossipMembership> membership;
};

class GossipSocketsTest : public testing::Test {
 protected:
  bool RunUntil(const std::function<bool()>& condition, runtime::Duration limit) {
    const runtime::Clock* clock = processes_.front()->runtime->runtime()->clock;
    const runtime::MonotonicTime end = clock->Now() + limit;
    while (!condition()) {
      if (clock->Now() >= end) return false;
      for (const auto& process : processes_) {
        process->runtime->RunUntil([] { return false; }, milliseconds(1));
      }
    }
    return true;
  }
  bool EachSees(size_t others) {
    for (const auto& process : processes_) {
      if (process->membership->live_count() != others) return false;
    }
    return true;
  }
  std::vector<std::unique_ptr<Process>> processes_;
};

// Enough processes that complete buckets and updates fill datagrams to the limit of the real
// transport.
TEST_F(GossipSocketsTest, FleetConvergesAndDetectsDeathOverUdp) {
  constexpr size_t kProcesses = 12;
  std::vector<std::string> seeds;
  for (size_t number = 0; number < kProcesses; ++number) {
    processes_.push_back(std::make_unique<Process>(number, seeds));
    if (seeds.empty()) seeds.push_back(processes_[0]->runtime->runtime()->transport->endpoint());
  }
  EXPECT_TRUE(RunUntil([&] { return EachSees(kProcesses - 1); }, seconds(20)));
  processes_.pop_back();
  EXPECT_TRUE(RunUntil([&] { return EachSees(kProcesses - 2); }, seconds(30)));
  for (const auto& process : processes_) {
    for (const auto& family : process->runtime->runtime()->metrics->Collect()) {
      if (family.name != "posthatch_transport_dropped_total") continue;
      for (const auto& metric : family.metric) {
        EXPECT_TRUE(metric.label.front().value != "too_long" || metric.counter.value == 0);
      }
    }
  }
}

}  // namespace
}  // namespace posthatch::membership
