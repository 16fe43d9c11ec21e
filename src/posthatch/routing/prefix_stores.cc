#include "posthatch/routing/prefix_stores.h"

#include <algorithm>
#include <utility>

#include "posthatch/routing/rendezvous_rank.h"

namespace posthatch::routing {
namespace {

// How long a report of a store's health is valid. If aggregators disagree, the report that the
// store is unhealthy takes precedence: using a dead store costs more than not using a live one.
constexpr runtime::Duration kHealthyTtl = std::chrono::milliseconds(2500);
constexpr runtime::Duration kUnhealthyTtl = std::chrono::milliseconds(1200);
constexpr uint32_t kDelayedFetchesToBackOff = 2;
constexpr runtime::Duration kInitialBackoff = std::chrono::milliseconds(1000);
constexpr uint32_t kMaxBackoffDoublings = 2;

}  // namespace

void PrefixStores::Rebuild(const control::TrafficConfiguration& configuration) {
  std::vector<PrefixStore> previous = std::exchange(stores_, {});
  for (const control::TrafficService& service : configuration.services()) {
    if (!service.has_store() || service.store().endpoint().empty()) continue;
    PrefixStore entry;
    for (const PrefixStore& before : previous) {
      if (before.endpoint == service.store().endpoint()) entry = before;
    }
    entry.endpoint = service.store().endpoint();
    entry.zone = service.store().zone();
    entry.link_mbps = service.store().link_mbps();
    stores_.push_back(std::move(entry));
  }
}

const PrefixStore* PrefixStores::StoreFor(uint64_t affinity) const {
  const PrefixStore* first = nullptr;
  for (const PrefixStore& store : stores_) {
    if (first == nullptr ||
        RendezvousRank(affinity, store.endpoint) < RendezvousRank(affinity, first->endpoint)) {
      first = &store;
    }
  }
  return first != nullptr && IsUsable(*first) ? first : nullptr;
}

bool PrefixStores::IsUsable(const PrefixStore& store) const {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::MonotonicTime never;
  if (store.last_healthy_at == never || now - store.last_healthy_at > kHealthyTtl) return false;
  if (store.last_unhealthy_at != never && now - store.last_unhealthy_at < kUnhealthyTtl)
    return false;
  return now >= store.backoff_until;
}

std::vector<std::string> PrefixStores::Endpoints() const {
  std::vector<std::string> endpoints;
  for (const PrefixStore& store : stores_) endpoints.push_back(store.endpoint);
  return endpoints;
}

PrefixStore* PrefixStores::Find(const std::string& endpoint) {
  for (PrefixStore& store : stores_) {
    if (store.endpoint == endpoint) return &store;
  }
  return nullptr;
}

void PrefixStores::RecordHealth(const std::string& endpoint, bool alive) {
  PrefixStore* store = Find(endpoint);
  if (store == nullptr) return;
  (alive ? store->last_healthy_at : store->last_unhealthy_at) = runtime_->clock->Now();
}

void PrefixStores::RecordFetch(const std::string& endpoint, bool delayed) {
  PrefixStore* store = Find(endpoint);
  if (store == nullptr) return;
  if (!delayed) {
    store->delayed_fetches = 0;
    store->backoffs = 0;
    return;
  }
  if (++store->delayed_fetches < kDelayedFetchesToBackOff) return;
  const uint32_t doublings = std::min(store->backoffs, kMaxBackoffDoublings);
  store->backoff_until = runtime_->clock->Now() + kInitialBackoff * (1U << doublings);
  store->delayed_fetches = 0;
  ++store->backoffs;
}

}  // namespace posthatch::routing
