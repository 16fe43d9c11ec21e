#include "posthatch/routing/store_health_records.h"

namespace posthatch::routing {
namespace {

// How long the result of a health check is reported.
constexpr runtime::Duration kStoreHealthTtl = std::chrono::milliseconds(1200);

}  // namespace

bool StoreHealthRecords::Record(const std::string& endpoint, bool alive) {
  const auto [entry, is_new] = stores_.try_emplace(endpoint);
  CheckedStore& store = entry->second;
  store.checked_at = clock_->Now();
  if (!is_new && store.alive == alive) return false;
  store.alive = alive;
  changed_ = true;
  return true;
}

void StoreHealthRecords::AddTo(bool full, LoadReport* report) {
  if (!full && !changed_) return;
  changed_ = false;
  for (const auto& [endpoint, store] : stores_) {
    if (clock_->Now() - store.checked_at > kStoreHealthTtl) continue;
    StoreHealth* health = report->add_stores();
    health->set_endpoint(endpoint);
    health->set_alive(store.alive);
  }
}

}  // namespace posthatch::routing
