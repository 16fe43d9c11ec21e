#include "posthatch/control/inventory/zone_inventory.h"

#include <algorithm>
#include <utility>

#include "posthatch/control/state/fingerprint.h"
#include "posthatch/control/state/inventory_delta.h"
#include "posthatch/control/state/inventory_state.h"

namespace posthatch::control {

ZoneInventory::ZoneInventory(runtime::Runtime* runtime, ZoneInventoryOptions options,
                             const FleetView* view, Reader reader)
    : runtime_(runtime),
      options_(std::move(options)),
      view_(view),
      reader_(std::move(reader)),
      response_timer_(runtime->timers) {
  runtime_->transport->SetReceiver(
      runtime::SERVICE_INVENTORY,
      [this](const runtime::Envelope& envelope) { OnEnvelope(envelope); });
}

ZoneInventory::~ZoneInventory() {
  runtime_->transport->SetReceiver(runtime::SERVICE_INVENTORY, [](const runtime::Envelope&) {});
}

std::optional<ZonePeer> ZoneInventory::SelectPeer(bool may_read) const {
  std::vector<ZonePeer> peers = options_.peers();
  std::sort(peers.begin(), peers.end(), [](const ZonePeer& left, const ZonePeer& right) {
    return left.node_id < right.node_id;
  });
  size_t unresponsive = 0;
  for (ZonePeer& peer : peers) {
    const bool is_local_turn = may_read && runtime_->transport->node_id() < peer.node_id;
    if (is_local_turn || unresponsive >= kMaxConsecutiveTimeouts) break;
    if (!IsUnresponsive(peer)) return std::move(peer);
    ++unresponsive;
  }
  return std::nullopt;
}

bool ZoneInventory::IsUnresponsive(const ZonePeer& peer) const {
  const auto until = unresponsive_until_.find(peer.node_id);
  return until != unresponsive_until_.end() && runtime_->clock->Now() < until->second;
}

bool ZoneInventory::RequestFromPeer(bool may_read, ReadCallback done) {
  const std::optional<ZonePeer> peer = SelectPeer(may_read);
  if (!peer.has_value()) return false;
  pending_request_ =
      PendingRequest{++last_request_id_, peer->node_id, runtime_->clock->Now(), std::move(done)};
  response_timer_.Start(options_.response_timeout, [this] { OnRequestTimeout(); });
  InventoryMessage message;
  message.mutable_request()->set_request_id(last_request_id_);
  message.mutable_request()->set_base_version(view_->state().inventory().version());
  Send(peer->endpoint, message);
  return true;
}

void ZoneInventory::OnRequestTimeout() {
  unresponsive_until_[pending_request_->node_id] =
      runtime_->clock->Now() + options_.unresponsive_period;
  Finish(std::nullopt);
}

void ZoneInventory::Finish(const std::optional<InventorySnapshot>& snapshot) {
  response_timer_.Cancel();
  const ReadCallback done = std::move(pending_request_->done);
  pending_request_.reset();
  done(snapshot);
}

void ZoneInventory::OnEnvelope(const runtime::Envelope& envelope) {
  InventoryMessage message;
  if (!message.ParseFromString(envelope.payload())) return;
  if (message.has_request()) {
    OnRequest(envelope.from_endpoint(), message.request());
  } else if (message.has_response()) {
    OnResponse(message.response());
  }
}

void ZoneInventory::OnRequest(const std::string& endpoint, const InventoryRequest& request) {
  reader_(
      lifetime_.Guard([this, endpoint, request](const std::optional<InventorySnapshot>& snapshot) {
        InventoryMessage message;
        *message.mutable_response() = MakeResponse(request, snapshot);
        Send(endpoint, message);
      }));
}

InventoryResponse ZoneInventory::MakeResponse(
    const InventoryRequest& request, const std::optional<InventorySnapshot>& snapshot) const {
  InventoryResponse response;
  response.set_request_id(request.request_id());
  if (!snapshot.has_value()) {
    response.set_unreachable(true);
    return response;
  }
  const runtime::Duration age = runtime_->clock->Now() - snapshot->requested_at;
  response.set_age_ms(static_cast<uint32_t>(std::max(0.0, runtime::ToMilliseconds(age)) + 1));
  const Inventory& base = view_->state().inventory();
  if (base.version() != request.base_version()) {
    *response.mutable_snapshot() = snapshot->inventory;
    return response;
  }
  response.set_base_version(base.version());
  *response.mutable_delta() = ComputeDelta(base, snapshot->inventory);
  return response;
}

std::optional<Inventory> ZoneInventory::Reconstruct(const InventoryResponse& response) const {
  if (response.has_snapshot()) {
    Inventory snapshot = response.snapshot();
    SortBackends(&snapshot);
    return snapshot;
  }
  Inventory inventory = view_->state().inventory();
  if (!response.has_delta() || inventory.version() != response.base_version()) return std::nullopt;
  PatchInventory(response.delta(), &inventory);
  return inventory;
}

void ZoneInventory::OnResponse(const InventoryResponse& response) {
  if (!pending_request_.has_value() || response.request_id() != pending_request_->request_id)
    return;
  if (response.unreachable()) return OnRequestTimeout();
  unresponsive_until_.erase(pending_request_->node_id);
  std::optional<Inventory> inventory = Reconstruct(response);
  if (!inventory.has_value()) return Finish(std::nullopt);  // the local base has changed
  // The peer computed the age after the request was sent: the snapshot isn't older than this.
  const runtime::MonotonicTime requested_at =
      pending_request_->sent_at - std::chrono::milliseconds(response.age_ms());
  Finish(InventorySnapshot{*std::move(inventory), requested_at});
}

void ZoneInventory::Send(const std::string& endpoint, const InventoryMessage& message) {
  runtime_->transport->Send(endpoint, runtime::SERVICE_INVENTORY,
                            SerializeDeterministically(message), runtime::Delivery::kStream);
}

}  // namespace posthatch::control
