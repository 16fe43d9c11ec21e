#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace posthatch::membership {

// The metrics of GossipMembership, explained for operators in docs/operations/membership.md.
struct GossipMetrics {
  explicit GossipMetrics(prometheus::Registry* registry);

  prometheus::Gauge& live_members;
  prometheus::Gauge& health_score;
  prometheus::Gauge& queued_updates;
  prometheus::Counter& sent_bytes;
  prometheus::Counter& sent_datagrams;
  prometheus::Counter& malformed;
  prometheus::Counter& failed_probes;
  prometheus::Counter& suspicions;
  prometheus::Counter& deaths;
  prometheus::Counter& refutations;
  prometheus::Counter& pauses;
  prometheus::Counter& pulls;
  prometheus::Counter& damped;
};

}  // namespace posthatch::membership
