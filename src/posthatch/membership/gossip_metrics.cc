#include "posthatch/membership/gossip_metrics.h"

#include <string>

namespace posthatch::membership {
namespace {

prometheus::Counter& MakeCounter(prometheus::Registry* registry, const std::string& name,
                                 const std::string& help) {
  return prometheus::BuildCounter()
      .Name("posthatch_membership_" + name)
      .Help(help)
      .Register(*registry)
      .Add({});
}

prometheus::Gauge& MakeGauge(prometheus::Registry* registry, const std::string& name,
                             const std::string& help) {
  return prometheus::BuildGauge()
      .Name("posthatch_membership_" + name)
      .Help(help)
      .Register(*registry)
      .Add({});
}

}  // namespace

GossipMetrics::GossipMetrics(prometheus::Registry* registry)
    : live_members(MakeGauge(registry, "live_members",
                             "Other processes that this one believes to be alive or suspects.")),
      health_score(MakeGauge(registry, "health_score",
                             "0: healthy; up to 8: probes of this process fail in a way that "
                             "points to itself, and it slows its failure detection down.")),
      queued_updates(MakeGauge(registry, "queued_updates", "Updates still being passed on.")),
      sent_bytes(MakeCounter(registry, "sent_bytes_total",
                             "Payload bytes of gossip sent, without envelope, UDP and IP.")),
      sent_datagrams(MakeCounter(registry, "sent_datagrams_total", "Gossip datagrams sent.")),
      malformed(MakeCounter(registry, "malformed_total", "Gossip datagrams that don't parse.")),
      failed_probes(MakeCounter(registry, "failed_rounds_total",
                                "Probe rounds without an answer, direct or over others.")),
      suspicions(MakeCounter(registry, "suspicions_total",
                             "Suspicions of a member that started here or arrived by gossip.")),
      deaths(MakeCounter(registry, "deaths_total",
                         "Members declared dead by this process or on word of others.")),
      refutations(MakeCounter(registry, "refutations_total",
                              "Times this process denied something said of itself.")),
      pauses(MakeCounter(registry, "pauses_total",
                         "Times this process found that it had been stopped for seconds.")),
      pulls(MakeCounter(registry, "pulls_total",
                        "Anti-entropy exchanges in which this process fetched records.")),
      damped(MakeCounter(registry, "damped_total",
                         "Times a flapping member's return was held back.")) {}

}  // namespace posthatch::membership
