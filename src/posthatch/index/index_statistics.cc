#include "posthatch/index/index_statistics.h"

#include <boost/json.hpp>

namespace posthatch::index {

void IndexStatistics::Export() {
  const auto add = [this](const char* name, const char* help, auto read) {
    metrics_.Add(name, help, [read] { return static_cast<double>(read()); });
  };
  add("posthatch_index_blocks", "Blocks in the prefix cache index.",
      [this] { return sources_.locator->index_stats().blocks; });
  add("posthatch_index_bytes", "Memory of the prefix cache index in bytes.",
      [this] { return sources_.locator->index_stats().bytes; });
  add("posthatch_index_evicted_blocks", "Blocks evicted since start: the byte budget is used up.",
      [this] { return sources_.locator->index_stats().evicted_blocks; });
  add("posthatch_index_lookups", "Look-ups of prefixes since start.",
      [this] { return sources_.locator->stats().lookups; });
  add("posthatch_index_lookups_matched", "Look-ups that found at least one trusted cache holder.",
      [this] { return sources_.locator->stats().lookups_matched; });
  add("posthatch_index_untrusted_holders",
      "Cache holders left out of look-up results because their trust had expired.",
      [this] { return sources_.locator->stats().untrusted_holders; });
  add("posthatch_index_channels_live", "Channels whose registration is live.",
      [this] { return sources_.subscriptions->live_channels(); });
  add("posthatch_index_update_gaps", "Updates of other gateways found missing since start.",
      [this] { return sources_.receiver->stats().gaps; });
  add("posthatch_index_event_losses",
      "Losses in the events of workers that this gateway reads, since start.",
      [this] { return sources_.reader->stats().losses; });
  add("posthatch_index_unattributed_blocks",
      "Blocks of worker events dropped because their seed was not known.",
      [this] { return sources_.reader->stats().unattributed_blocks; });
  metrics_.Start();
}

std::string IndexStatistics::ToJson(size_t relay_subscribers) const {
  const PrefixIndex::Stats index = sources_.locator->index_stats();
  const LocatorStats& lookups = sources_.locator->stats();
  const invalidation::SubscriptionStats channels = sources_.subscriptions->TotalStats();
  const IndexUpdateReceiverStats& updates = sources_.receiver->stats();
  const WorkerEventReaderStats& events = sources_.reader->stats();
  const boost::json::object document = {
      {"blocks", index.blocks},
      {"dropped_blocks", index.dropped_blocks},
      {"evicted_blocks", index.evicted_blocks},
      {"bytes", index.bytes},
      {"generations", sources_.locator->generation_count()},
      {"lookups", lookups.lookups},
      {"lookups_matched", lookups.lookups_matched},
      {"untrusted_holders", lookups.untrusted_holders},
      {"dispatches_recorded", lookups.dispatches_recorded},
      {"dispatches_not_recorded", lookups.dispatches_not_recorded},
      {"channels_live", sources_.subscriptions->live_channels()},
      {"channels", sources_.subscriptions->Channels().size()},
      {"channel_messages", channels.messages},
      {"channel_gaps", channels.gaps},
      {"channel_silences", channels.heartbeat_timeouts},
      {"channel_epoch_changes", channels.epoch_changes},
      {"registrations_refused", channels.refusals},
      {"relay_subscribers", relay_subscribers},
      {"updates_applied", updates.updates_applied},
      {"update_gaps", updates.gaps},
      {"updates_fenced", updates.fenced},
      {"extents_waited", updates.extents_deferred},
      {"extents_not_trusted", updates.extents_untrusted},
      {"updates_sent", sources_.publisher->stats().updates_sent},
      {"update_bytes_sent", sources_.publisher->stats().bytes_sent},
      {"updates_relayed", sources_.fanout->relayed()},
      {"workers_read", sources_.reader->feed_count()},
      {"events_stored_blocks", events.stored_blocks},
      {"events_removed_blocks", events.removed_blocks},
      {"events_unattributed_blocks", events.unattributed_blocks},
      {"events_losses", events.losses},
      {"observations_accepted", sources_.reporter->accepted()},
      {"observations_waiting", sources_.reporter->pending()},
  };
  return boost::json::serialize(document);
}

}  // namespace posthatch::index
