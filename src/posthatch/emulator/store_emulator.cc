#include "posthatch/emulator/store_emulator.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "posthatch/emulator/block_cache.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/kv_transfer.h"
#include "posthatch/emulator/routed_server.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {

namespace json = boost::json;

using WriterPointer = std::shared_ptr<http::ResponseWriter>;

class StoreEmulator::Impl {
 public:
  Impl(runtime::Runtime* runtime, StoreSettings settings)
      : runtime_(runtime),
        settings_(std::move(settings)),
        cache_(settings_.capacity_blocks),
        server_(runtime) {}

  absl::Status Start();
  void EmulateRestart();
  const std::string& endpoint() const { return server_.endpoint(); }
  uint64_t epoch() const { return epoch_; }
  uint64_t cached_blocks() const { return cache_.size(); }

 private:
  void Put(const RoutedRequest& routed, const WriterPointer& writer);
  void Fetch(const RoutedRequest& routed, const WriterPointer& writer);

  runtime::Runtime* const runtime_;
  const StoreSettings settings_;
  uint64_t epoch_ = 0;
  BlockCache cache_;
  RoutedServer server_;
};

absl::Status StoreEmulator::Impl::Start() {
  EmulateRestart();
  server_.Route(
      "POST", "/kv/put",
      [this](const RoutedRequest& routed, const WriterPointer& writer) { Put(routed, writer); });
  server_.Route(
      "POST", "/kv/fetch",
      [this](const RoutedRequest& routed, const WriterPointer& writer) { Fetch(routed, writer); });
  server_.Route("GET", "/status", [this](const RoutedRequest&, const WriterPointer& writer) {
    writer->SendResponse(JsonResponse(
        200, json::object{{"id", settings_.id}, {"epoch", epoch_}, {"blocks", cache_.size()}}));
  });
  server_.Route("PUT", "/debug/behaviour",
                [this](const RoutedRequest& routed, const WriterPointer& writer) {
                  const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
                  if (body.ok() && FlagField(*body, "cold")) EmulateRestart();
                  writer->SendResponse(JsonResponse(200, json::object{{"epoch", epoch_}}));
                });
  return server_.Listen(settings_.listen);
}

void StoreEmulator::Impl::EmulateRestart() {
  cache_.Clear();
  const auto now_us = static_cast<uint64_t>(runtime::ToNanoseconds(runtime_->clock->Now()) / 1000);
  epoch_ = std::max(epoch_ + 1, now_us);
}

void StoreEmulator::Impl::Put(const RoutedRequest& routed, const WriterPointer& writer) {
  const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  if (!body.ok()) {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(body.status().message())));
    return;
  }
  const std::vector<index::BlockHash> blocks = ReadBlocks(*body);
  const std::vector<BlockMaker> makers = MakersFromJson(ArrayField(*body, "made_by"));
  for (size_t i = 0; i < blocks.size(); ++i) {
    cache_.Insert(blocks[i], i < makers.size() ? makers[i] : BlockMaker{});
  }
  cache_.Lookup(blocks);  // marks the chain as used, its tail least recently
  writer->SendResponse(
      JsonResponse(200, json::object{{"epoch", epoch_}, {"blocks", blocks.size()}}));
}

void StoreEmulator::Impl::Fetch(const RoutedRequest& routed, const WriterPointer& writer) {
  const absl::StatusOr<json::object> body = ParseObject(routed.request.body);
  if (!body.ok()) {
    writer->SendResponse(NotExecuted(400, "bad_request", util::ToStd(body.status().message())));
    return;
  }
  const std::vector<BlockMaker> makers = cache_.Lookup(ReadBlocks(*body));
  const runtime::Duration transfer =
      TransferTime(makers.size(), settings_.kv_bytes_per_block, settings_.link_bytes_per_second);
  runtime_->timers->Schedule(transfer,
                             [writer, response = FetchResponse(settings_.id, epoch_, makers)] {
                               writer->SendResponse(JsonResponse(200, response));
                             });
}

StoreEmulator::StoreEmulator(runtime::Runtime* runtime, StoreSettings settings,
                             fleettest::HistoryRecorder* /*recorder*/)
    : impl_(std::make_unique<Impl>(runtime, std::move(settings))) {}

StoreEmulator::~StoreEmulator() = default;

absl::Status StoreEmulator::Start() { return impl_->Start(); }
const std::string& StoreEmulator::endpoint() const { return impl_->endpoint(); }
void StoreEmulator::EmulateRestart() { impl_->EmulateRestart(); }
uint64_t StoreEmulator::epoch() const { return impl_->epoch(); }
uint64_t StoreEmulator::cached_blocks() const { return impl_->cached_blocks(); }

}  // namespace posthatch::emulator
