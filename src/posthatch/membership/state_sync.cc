#include "posthatch/membership/state_sync.h"

#include <algorithm>
#include <utility>

#include "posthatch/membership/member_record.h"

namespace posthatch::membership {
namespace {

// Maximum bytes of records in one chunk: with tag, request and part numbers the message stays below
// kMaxPayloadBytes.
constexpr size_t kChunkBytes = kMaxPayloadBytes - 40;
// Protobuf tag and length of one record.
constexpr size_t kFramingBytes = 3;

}  // namespace

StateSync::StateSync(runtime::Runtime* runtime, const GossipOptions* options, MemberTable* table,
                     MessageSender* sender)
    : runtime_(runtime),
      options_(options),
      table_(table),
      sender_(sender),
      pull_timer_(runtime->timers) {}

void StateSync::StartExchange(const std::string& endpoint) { SendDigest(endpoint, true, ""); }

void StateSync::SendDigest(const std::string& endpoint, bool reply_wanted,
                           const std::string& record) {
  MembershipMessage message;
  Digest* digest = message.mutable_digest();
  digest->mutable_buckets()->Add(table_->digests().begin(), table_->digests().end());
  digest->set_reply_wanted(reply_wanted);
  digest->set_joining(table_->live_count() == 0);
  if (!record.empty()) message.add_records(record);
  sender_->SendWithUpdates(endpoint, std::move(message));
}

void StateSync::OnDigest(const std::string& from_endpoint, const Digest& digest,
                         const std::string& record_of_sender) {
  if (digest.reply_wanted()) SendDigest(from_endpoint, false, record_of_sender);
  if (static_cast<size_t>(digest.buckets_size()) != MemberTable::kBuckets || pulling()) return;
  if (digest.joining() && table_->live_count() > 0) return;
  for (uint32_t bucket = 0; bucket < MemberTable::kBuckets; ++bucket) {
    if (digest.buckets(static_cast<int>(bucket)) != table_->digests()[bucket]) {
      pending_buckets_.push_back(bucket);
    }
  }
  differed_ = !pending_buckets_.empty();
  if (!differed_) return;
  std::shuffle(pending_buckets_.begin(), pending_buckets_.end(), *runtime_->random);
  pull_bucket_count_ = pending_buckets_.size();
  pull_endpoint_ = from_endpoint;
  retries_ = 0;
  RequestWindow();
}

void StateSync::RequestWindow() {
  MembershipMessage message;
  BucketRequest* request = message.mutable_bucket_request();
  request->set_request(++last_request_id_);
  received_parts_.clear();
  const size_t count =
      std::min(pending_buckets_.size(), static_cast<size_t>(options_->pull_window_buckets));
  request->mutable_buckets()->Add(pending_buckets_.end() - static_cast<ptrdiff_t>(count),
                                  pending_buckets_.end());
  sender_->SendPlain(pull_endpoint_, message);
  pull_timer_.Start(options_->pull_timeout, [this] { OnTimeout(); });
}

void StateSync::OnTimeout() {
  if (++retries_ > options_->pull_retries) {
    pending_buckets_.clear();
    return;
  }
  RequestWindow();
}

void StateSync::OnBucketRequest(const std::string& from_endpoint, const BucketRequest& request) {
  // Requests for more buckets than any process of this fleet requests are ignored: they would
  // amplify small requests into large responses.
  if (request.buckets_size() > options_->pull_window_buckets) return;
  std::vector<MembershipMessage> chunks(1);
  size_t bytes = 0;
  for (const uint32_t bucket : request.buckets()) {
    if (bucket >= MemberTable::kBuckets) return;
    for (const MemberEntry* entry : table_->bucket(bucket)) {
      std::string record = MakeRecord(entry->member, entry->version, true).SerializeAsString();
      if (bytes + record.size() + kFramingBytes > kChunkBytes) {
        chunks.emplace_back();
        bytes = 0;
      }
      bytes += record.size() + kFramingBytes;
      chunks.back().add_records(std::move(record));
    }
  }
  for (uint32_t part = 0; part < chunks.size(); ++part) {
    BucketChunk* chunk = chunks[part].mutable_bucket_chunk();
    chunk->set_request(request.request());
    chunk->set_part(part);
    chunk->set_parts(static_cast<uint32_t>(chunks.size()));
    sender_->SendPlain(from_endpoint, chunks[part]);
  }
}

void StateSync::OnBucketChunk(const BucketChunk& chunk) {
  if (!pulling() || chunk.request() != last_request_id_) return;
  received_parts_.insert(chunk.part());
  if (received_parts_.size() < chunk.parts()) return;
  retries_ = 0;
  const size_t count =
      std::min(pending_buckets_.size(), static_cast<size_t>(options_->pull_window_buckets));
  pending_buckets_.resize(pending_buckets_.size() - count);
  if (pending_buckets_.empty()) {
    FinishPull();
  } else {
    RequestWindow();
  }
}

void StateSync::FinishPull() {
  pull_timer_.Cancel();
  if (on_pulled_) on_pulled_();
}

}  // namespace posthatch::membership
