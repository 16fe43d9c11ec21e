#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "posthatch/membership/gossip_options.h"
#include "posthatch/membership/member_table.h"
#include "posthatch/membership/message_sender.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::membership {

// Anti-entropy: two processes exchange hash digests of their buckets, and each pulls the buckets
// that differ, a few at a time, in datagrams. The traffic depends on the difference, not on the
// size of the fleet. Owned by GossipMembership; event loop thread only.
class StateSync {
 public:
  StateSync(runtime::Runtime* runtime, const GossipOptions* options, MemberTable* table,
            MessageSender* sender);

  // Sets the callback for each complete pull.
  void set_on_pulled(std::function<void()> on_pulled) { on_pulled_ = std::move(on_pulled); }

  // Sends this process's digest to another; the rest of the exchange is driven by its messages.
  void StartExchange(const std::string& endpoint);
  void OnDigest(const std::string& from_endpoint, const Digest& digest,
                const std::string& record_of_sender);
  void OnBucketRequest(const std::string& from_endpoint, const BucketRequest& request);
  // Handles a chunk whose records have already been applied.
  void OnBucketChunk(const BucketChunk& chunk);

  // Whether the last comparison of digests found a difference.
  bool differed() const { return differed_; }
  bool pulling() const { return !pending_buckets_.empty(); }
  // Whether the running pull is so large that its updates should not be disseminated further.
  bool pulling_many_buckets() const { return pulling() && pull_bucket_count_ > kLargePullBuckets; }

 private:
  // Pulls of more buckets than this are large.
  static constexpr size_t kLargePullBuckets = 16;

  void SendDigest(const std::string& endpoint, bool reply_wanted, const std::string& record);
  void RequestWindow();
  void OnTimeout();
  void FinishPull();

  runtime::Runtime* const runtime_;
  const GossipOptions* const options_;
  MemberTable* const table_;
  MessageSender* const sender_;
  std::function<void()> on_pulled_;
  runtime::Timer pull_timer_;
  bool differed_ = false;
  std::string pull_endpoint_;
  std::vector<uint32_t> pending_buckets_;  // requested from the end
  uint64_t last_request_id_ = 0;
  std::set<uint32_t> received_parts_;
  size_t pull_bucket_count_ = 0;
  int retries_ = 0;
};

}  // namespace posthatch::membership
