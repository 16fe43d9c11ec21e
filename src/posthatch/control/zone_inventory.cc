#include "posthatch/control/zone_inventory.h"

#include <algorithm>
#include <utility>

#include "posthatch/control/fingerprint.h"
#include "posthatch/control/inventory_state.h"
#include "posthatch/control/section_deltas.h"

namespace posthatch::control {

ZoneInventory::ZoneInventory(runtime::Runtime* runtime, ZoneInventoryOptions options,
                             const FleetView* view, Reader reader)
    : runtime_(runtime),
      options_(std::move(options)),
      view_(view),
      reader_(std::move(reader)),
      timeout_(runtime->timers) {
  runtime_->transport->SetReceiver(
      runtime::SERVICE_INVENTORY, [this](const runtime::Envelope& envelope) { Receive(envelope); });
}

ZoneInventory::~ZoneInventory() {
  runtime_->transport->SetReceiver(runtime::SERVICE_INVENTORY, [](const runtime::Envelope&) {});
}

std::optional<ZonePeer> ZoneInventory::ReaderOfZone(bool may_read) const {
  std::vector<ZonePeer> peers = options_.peers();
  std::sort(peers.begin(), peers.end(), [](const ZonePeer& left, const ZonePeer& right) {
    return left.node_id < right.node_id;
  });
  size_t silent = 0;
  for (ZonePeer& peer : peers) {
    const bool own_turn = may_read && runtime_->transport->node_id() < peer.node_id;
    if (own_turn || silent >= kMostSilent) break;
    const auto found = silent_until_.find(peer.node_id);
    const bool is_silent = found != silent_until_.end() && runtime_->clock->Now() < found->second;
    if (!is_silent) return std::move(peer);
    ++silent;
  }
  return std::nullopt;
}

bool ZoneInventory::Ask(bool may_read, ReadingDone done) {
  const std::optional<ZonePeer> reader = ReaderOfZone(may_read);
  if (!reader.has_value()) return false;
  open_ = Question{++last_query_, reader->node_id, runtime_->clock->Now(), std::move(done)};
  timeout_.Start(options_.answer_timeout, [this] { OnSilence(); });
  InventoryMessage message;
  message.mutable_query()->set_query(last_query_);
  message.mutable_query()->set_base_version(view_->state().inventory().version());
  Send(reader->endpoint, message);
  return true;
}

void ZoneInventory::OnSilence() {
  silent_until_[open_->node_id] = runtime_->clock->Now() + options_.silence;
  Finish(std::nullopt);
}

void ZoneInventory::Finish(const std::optional<InventoryReading>& reading) {
  timeout_.Cancel();
  const ReadingDone done = std::move(open_->done);
  open_.reset();
  done(reading);
}

void ZoneInventory::Receive(const runtime::Envelope& envelope) {
  InventoryMessage message;
  if (!message.ParseFromString(envelope.payload())) return;
  if (message.has_query()) {
    OnQuery(envelope.from_endpoint(), message.query());
  } else if (message.has_answer()) {
    OnAnswer(message.answer());
  }
}

void ZoneInventory::OnQuery(const std::string& endpoint, const InventoryQuery& query) {
  reader_([this, endpoint, query,
           alive = std::weak_ptr<bool>(alive_)](const std::optional<InventoryReading>& reading) {
    if (alive.expired()) return;
    InventoryMessage message;
    *message.mutable_answer() = MakeAnswer(query, reading);
    Send(endpoint, message);
  });
}

InventoryAnswer ZoneInventory::MakeAnswer(const InventoryQuery& query,
                                          const std::optional<InventoryReading>& reading) const {
  InventoryAnswer answer;
  answer.set_query(query.query());
  if (!reading.has_value()) {
    answer.set_unreachable(true);
    return answer;
  }
  const runtime::Duration age = runtime_->clock->Now() - reading->asked_at;
  answer.set_age_ms(static_cast<uint32_t>(std::max(0.0, runtime::ToMilliseconds(age)) + 1));
  const Inventory& base = view_->state().inventory();
  if (base.version() != query.base_version()) {
    *answer.mutable_whole() = reading->inventory;
    return answer;
  }
  answer.set_base_version(base.version());
  *answer.mutable_change() = DifferenceOf(base, reading->inventory);
  return answer;
}

std::optional<Inventory> ZoneInventory::WholeOf(const InventoryAnswer& answer) const {
  if (answer.has_whole()) {
    Inventory whole = answer.whole();
    SortBackends(&whole);
    return whole;
  }
  Inventory inventory = view_->state().inventory();
  if (!answer.has_change() || inventory.version() != answer.base_version()) return std::nullopt;
  ApplyInventoryChange(answer.change(), &inventory);
  return inventory;
}

void ZoneInventory::OnAnswer(const InventoryAnswer& answer) {
  if (!open_.has_value() || answer.query() != open_->query) return;
  if (answer.unreachable()) return OnSilence();
  silent_until_.erase(open_->node_id);
  std::optional<Inventory> whole = WholeOf(answer);
  if (!whole.has_value()) return Finish(std::nullopt);  // the controllers told a newer one
  // The reader wrote the age down after the question was sent, so the list is not older.
  const runtime::MonotonicTime asked_at =
      open_->sent_at - std::chrono::milliseconds(answer.age_ms());
  Finish(InventoryReading{*std::move(whole), asked_at});
}

void ZoneInventory::Send(const std::string& endpoint, const InventoryMessage& message) {
  runtime_->transport->Send(endpoint, runtime::SERVICE_INVENTORY,
                            SerializeDeterministically(message), runtime::Delivery::kStream);
}

}  // namespace posthatch::control
