#include "posthatch/traffic/prompt_stores.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace posthatch::traffic {
namespace {

// What was told of a store's health counts for so long. Of watchers that disagree the one that
// can't reach it is believed, until it has said nothing of the kind for a while.
constexpr runtime::Duration kAliveFor = std::chrono::milliseconds(2500);
constexpr runtime::Duration kDeadFor = std::chrono::milliseconds(1200);
constexpr uint32_t kLateFetchesToPause = 2;
constexpr runtime::Duration kFirstPause = std::chrono::milliseconds(1000);
constexpr uint32_t kMaxPauseDoublings = 2;

uint64_t RankOf(uint64_t affinity, const std::string& endpoint) {
  return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), affinity);
}

}  // namespace

void PromptStores::Rebuild(const control::TrafficConfiguration& configuration) {
  std::vector<StoreEntry> known = std::exchange(stores_, {});
  for (const control::TrafficService& service : configuration.services()) {
    if (!service.has_store() || service.store().endpoint().empty()) continue;
    StoreEntry entry;
    for (const StoreEntry& before : known) {
      if (before.endpoint == service.store().endpoint()) entry = before;
    }
    entry.endpoint = service.store().endpoint();
    entry.zone = service.store().zone();
    entry.link_mbps = service.store().link_mbps();
    stores_.push_back(std::move(entry));
  }
}

const StoreEntry* PromptStores::For(uint64_t affinity) const {
  const StoreEntry* first = nullptr;
  for (const StoreEntry& store : stores_) {
    if (first == nullptr || RankOf(affinity, store.endpoint) < RankOf(affinity, first->endpoint)) {
      first = &store;
    }
  }
  return first != nullptr && Usable(*first) ? first : nullptr;
}

bool PromptStores::Usable(const StoreEntry& store) const {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::MonotonicTime never;
  if (store.alive_at == never || now - store.alive_at > kAliveFor) return false;
  if (store.dead_at != never && now - store.dead_at < kDeadFor) return false;
  return now >= store.paused_until;
}

std::vector<std::string> PromptStores::Endpoints() const {
  std::vector<std::string> endpoints;
  for (const StoreEntry& store : stores_) endpoints.push_back(store.endpoint);
  return endpoints;
}

StoreEntry* PromptStores::Find(const std::string& endpoint) {
  for (StoreEntry& store : stores_) {
    if (store.endpoint == endpoint) return &store;
  }
  return nullptr;
}

void PromptStores::OnHealth(const std::string& endpoint, bool alive) {
  StoreEntry* store = Find(endpoint);
  if (store == nullptr) return;
  (alive ? store->alive_at : store->dead_at) = runtime_->clock->Now();
}

void PromptStores::OnFetched(const std::string& endpoint, bool late) {
  StoreEntry* store = Find(endpoint);
  if (store == nullptr) return;
  if (!late) {
    store->late_fetches = 0;
    store->pauses = 0;
    return;
  }
  if (++store->late_fetches < kLateFetchesToPause) return;
  const uint32_t doublings = std::min(store->pauses, kMaxPauseDoublings);
  store->paused_until = runtime_->clock->Now() + kFirstPause * (1U << doublings);
  store->late_fetches = 0;
  ++store->pauses;
}

}  // namespace posthatch::traffic
