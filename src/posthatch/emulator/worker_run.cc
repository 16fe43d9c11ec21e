#include "posthatch/emulator/worker_run.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/kv_transfer.h"

namespace posthatch::emulator {

namespace json = boost::json;

namespace {

constexpr size_t kMaxPushesInFlight = 32;
constexpr runtime::Duration kFetchTimeout = std::chrono::seconds(5);

}  // namespace

WorkerRun::WorkerRun(WorkerState* state, std::string run_id, RunRequest request,
                     runtime::MonotonicTime arrived, std::shared_ptr<http::ResponseWriter> writer,
                     std::function<void()> on_ended)
    : state_(state),
      run_id_(std::move(run_id)),
      request_(std::move(request)),
      arrived_(arrived),
      writer_(std::move(writer)),
      on_ended_(std::move(on_ended)),
      timer_(state->runtime->timers),
      fetch_client_(state->runtime) {}

void WorkerRun::Start() {
  ++state_->running;
  const std::string salt = state_->behaviour.ignore_salt ? std::string() : request_.cache_salt;
  chain_ = index::HashBlocks(salt, request_.prompt,
                             state_->settings.block_tokens * index::kBytesPerToken);
  makers_ = state_->cache.Lookup(chain_);
  local_blocks_ = static_cast<uint32_t>(makers_.size());
  if (!request_.kv_source.empty() &&
      local_blocks_ < std::min<size_t>(request_.kv_blocks, chain_.size())) {
    Fetch();
  } else {
    Prefill();
  }
}

void WorkerRun::Fetch() {
  const size_t requested_blocks = std::min<size_t>(request_.kv_blocks, chain_.size());
  const std::vector<index::BlockHash> missing(
      chain_.begin() + local_blocks_, chain_.begin() + static_cast<int64_t>(requested_blocks));
  http::CallOptions options;
  options.head_timeout = kFetchTimeout;
  fetch_client_.Send(request_.kv_source,
                     JsonRequest("POST", "/kv/fetch", FetchBody(request_.cache_salt, missing)),
                     options, [this](const absl::StatusOr<http::Response>& response) {
                       if (finished_) return;
                       OnFetched(response);
                       Prefill();
                     });
}

void WorkerRun::OnFetched(const absl::StatusOr<http::Response>& response) {
  if (!response.ok() || response->status != 200) return;  // the blocks are prefilled instead
  const absl::StatusOr<json::object> body = ParseObject(response->body);
  if (!body.ok()) return;
  std::vector<BlockMaker> fetched = MakersFromJson(ArrayField(*body, "made_by"));
  fetched.resize(std::min(fetched.size(), chain_.size() - local_blocks_));
  fetched_blocks_ = static_cast<uint32_t>(fetched.size());
  fetched_from_ = TextField(*body, "holder", request_.kv_source);
  makers_.insert(makers_.end(), fetched.begin(), fetched.end());
}

void WorkerRun::Prefill() {
  RecordStart();
  const size_t block_bytes = state_->settings.block_tokens * index::kBytesPerToken;
  const size_t rest = request_.prompt.size() - reused_blocks() * block_bytes;
  const auto blocks = static_cast<int64_t>((rest + block_bytes - 1) / block_bytes);
  timer_.Start(state_->Slowed(blocks * state_->settings.timing.prefill_per_block), [this] {
    StoreBlocks();
    BeginResponse();
  });
}

void WorkerRun::RecordStart() {
  fleettest::HistoryEvent event;
  fleettest::RunStarted* started = event.mutable_run_started();
  started->set_backend(state_->settings.id);
  started->set_run(run_id_);
  started->set_tenant(request_.tenant);
  started->set_operation(request_.operation);
  started->set_idempotency_key(request_.idempotency_key);
  started->set_nonce(request_.nonce);
  started->set_attempt(request_.attempt);
  started->set_attempt_number(request_.attempt_number);
  started->set_gateway(request_.gateway);
  started->set_zone(state_->settings.zone);
  started->set_model(state_->settings.model);
  started->set_model_revision(state_->model_revision);
  started->set_expected_revision(request_.expected_revision.value_or(0));
  started->set_backend_epoch(state_->epoch);
  started->set_prompt_blocks(static_cast<uint32_t>(chain_.size()));
  started->set_running(state_->running);
  started->set_up_since_ns(runtime::ToNanoseconds(state_->started_at));
  started->set_arrived_ns(runtime::ToNanoseconds(arrived_));
  for (size_t i = 0; i < makers_.size(); ++i) {
    const bool first_fetched = i == local_blocks_;
    if (i == 0 || first_fetched || !(makers_[i] == makers_[i - 1])) {
      fleettest::ReusedBlocks* reused = started->add_reused();
      reused->set_made_by_tenant(makers_[i].tenant);
      reused->set_made_under_revision(makers_[i].model_revision);
      if (i >= local_blocks_) reused->set_fetched_from(fetched_from_);
    }
    fleettest::ReusedBlocks* last = started->mutable_reused(started->reused_size() - 1);
    last->set_blocks(last->blocks() + 1);
  }
  state_->recorder->Record(std::move(event));
  started_ = true;
}

void WorkerRun::StoreBlocks() {
  const BlockMaker self{request_.tenant, state_->model_revision};
  std::vector<index::BlockHash> stored;
  std::vector<index::BlockHash> removed;
  for (size_t i = local_blocks_; i < chain_.size(); ++i) {
    const BlockMaker& maker = i < makers_.size() ? makers_[i] : self;
    for (const index::BlockHash hash : state_->cache.Insert(chain_[i], maker)) {
      removed.push_back(hash);
    }
    stored.push_back(chain_[i]);
  }
  state_->cache.Lookup(chain_);  // marks the chain as used, its tail least recently
  state_->events.Stored(stored, local_blocks_, request_.attempt, state_->behaviour);
  state_->events.Removed(removed, state_->behaviour);
  if (!state_->settings.store_endpoint.empty()) PushToStore();
}

void WorkerRun::PushToStore() {
  if (reused_blocks() >= chain_.size()) return;
  if (state_->client.in_flight() >= kMaxPushesInFlight) return;
  const std::vector<BlockMaker> makers(chain_.size() - reused_blocks(),
                                       {request_.tenant, state_->model_revision});
  json::array hashes;
  for (size_t i = reused_blocks(); i < chain_.size(); ++i) hashes.emplace_back(ToHex(chain_[i]));
  const json::object body = {{"salt", request_.cache_salt},
                             {"blocks", std::move(hashes)},
                             {"first", reused_blocks()},
                             {"made_by", MakersToJson(makers)}};
  // The result is ignored: the store may evict anything at any time.
  state_->client.Send(state_->settings.store_endpoint,
                      JsonRequest("POST", "/kv/put", json::serialize(body)), {},
                      [](const absl::StatusOr<http::Response>&) {});
}

void WorkerRun::BeginResponse() {
  const ResponseIdentity original{
      run_id_,
      request_.nonce,
      request_.attempt,
      request_.operation,
      request_.tokens,
      static_cast<uint32_t>(request_.prompt.size() / index::kBytesPerToken),
      reused_blocks() * state_->settings.block_tokens};
  const WorkerBehaviour& behaviour = state_->behaviour;
  runtime::Random* random = state_->runtime->random;
  response_ = state_->mixer.Choose(original,
                                   {behaviour.answers_twice_share, behaviour.answers_crossed_share,
                                    behaviour.answers_crossed_body_share});
  if (random->Chance(behaviour.cut_share)) truncate_at_ = behaviour.cut_at_piece;
  if (random->Chance(behaviour.cut_clean_share)) {
    truncate_at_ = behaviour.cut_at_piece;
    truncate_cleanly_ = true;
  }
  if (random->Chance(behaviour.repeated_piece_share)) {
    repeated_chunk_ = static_cast<uint32_t>(random->Uniform(response_.tokens));
  }
  if (random->Chance(behaviour.skipped_piece_share)) {
    skipped_chunk_ = static_cast<uint32_t>(random->Uniform(response_.tokens));
  }
  const bool delayed = random->Chance(behaviour.answers_late_share);
  timer_.Start(std::chrono::milliseconds(delayed ? behaviour.answers_late_ms : 0), [this] {
    if (request_.stream) writer_->StartStream(Head());
    ScheduleToken();
  });
}

void WorkerRun::ScheduleToken() {
  const double others = state_->running > 0 ? state_->running - 1 : 0;
  const double batching = 1 + state_->settings.timing.batching_slowdown * others;
  const auto step = static_cast<double>(state_->settings.timing.decode_per_token.count());
  const runtime::Duration decode(static_cast<int64_t>(step * batching));
  timer_.Start(state_->Slowed(decode), [this] { MakeToken(); });
}

void WorkerRun::MakeToken() {
  if (request_.stream) {
    if (next_chunk_ >= truncate_at_ && !truncate_cleanly_) {
      writer_->Abort();
      End(false, "cut");
      return;
    }
    if (next_chunk_ >= truncate_at_) {
      writer_->FinishStream();
      End(false, "cut");
      return;
    }
    WriteChunk(next_chunk_);
  }
  ++next_chunk_;
  if (next_chunk_ >= response_.tokens) {
    FinishResponse();
  } else {
    ScheduleToken();
  }
}

void WorkerRun::WriteChunk(uint32_t chunk) {
  if (chunk == skipped_chunk_) return;
  const json::object choice = {{"index", 0}, {"text", ChunkText(response_.run, chunk)}};
  const json::object event = {{"id", response_.run},
                              {"request_id", response_.request_id},
                              {"piece", chunk},
                              {"choices", json::array{choice}}};
  const std::string text = absl::StrCat("data: ", json::serialize(event), "\n\n");
  writer_->WriteChunk(text);
  if (chunk == repeated_chunk_) writer_->WriteChunk(text);
}

void WorkerRun::FinishResponse() {
  if (request_.stream) {
    writer_->WriteChunk("data: [DONE]\n\n");
    writer_->FinishStream();
    End(true, "");
  } else {
    SendCompleteResponse();
  }
}

void WorkerRun::SendCompleteResponse() {
  http::Response response = Head();
  const std::string body = CompleteBody();
  if (truncate_at_ != UINT32_MAX && !truncate_cleanly_) {
    writer_->StartStream(std::move(response));
    writer_->WriteChunk(body.substr(0, body.size() / 2));
    writer_->Abort();
    End(false, "cut");
    return;
  }
  response.body = body;
  writer_->SendResponse(std::move(response));
  End(true, "");
}

http::Response WorkerRun::Head() const {
  http::Response head;
  head.headers.Add("Content-Type", request_.stream ? "text/event-stream" : "application/json");
  head.headers.Add("X-Posthatch-Attempt", response_.attempt);
  head.headers.Add("X-Worker-Epoch", std::to_string(state_->epoch));
  head.headers.Add("X-Worker-Cached-Blocks", std::to_string(reused_blocks()));
  return head;
}

std::string WorkerRun::CompleteBody() const {
  const std::string text = ResponseText(response_.run, response_.tokens);
  const json::object choice = {{"index", 0}, {"text", text}, {"finish_reason", "length"}};
  const json::object usage = {{"prompt_tokens", response_.prompt_tokens},
                              {"completion_tokens", response_.tokens},
                              {"cached_tokens", response_.cached_tokens}};
  return json::serialize(json::object{{"id", response_.run},
                                      {"object", "text_completion"},
                                      {"model", state_->settings.model},
                                      {"request_id", response_.request_id},
                                      {"choices", json::array{choice}},
                                      {"usage", usage},
                                      {"checksum", Checksum(text)}});
}

void WorkerRun::Cancel(const std::string& reason, bool abort) {
  if (finished_) return;
  timer_.Cancel();
  if (abort) writer_->Abort();
  End(false, reason);
}

void WorkerRun::End(bool completed, const std::string& reason) {
  if (finished_) return;
  finished_ = true;
  --state_->running;
  if (started_) {
    fleettest::HistoryEvent event;
    event.mutable_run_ended()->set_run(run_id_);
    event.mutable_run_ended()->set_backend(state_->settings.id);
    event.mutable_run_ended()->set_completed(completed);
    event.mutable_run_ended()->set_reason(reason);
    state_->recorder->Record(std::move(event));
  }
  on_ended_();
}

}  // namespace posthatch::emulator
