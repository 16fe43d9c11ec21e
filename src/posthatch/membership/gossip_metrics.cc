#include "posthatch/membership/gossip_metrics.h"

#include "posthatch/util/metrics.h"

namespace posthatch::membership {

using util::AddCounter;
using util::AddGauge;

GossipMetrics::GossipMetrics(prometheus::Registry* registry)
    : live_members(AddGauge(registry, "posthatch_membership_live_members",
                            "Other processes that this one believes to be alive or suspects.")),
      health_score(AddGauge(registry, "posthatch_membership_health_score",
                            "0: healthy; up to 8: probes of this process fail in a way that "
                            "points to itself, and it slows its failure detection down.")),
      queued_updates(AddGauge(registry, "posthatch_membership_queued_updates",
                              "Updates still being passed on.")),
      sent_bytes(AddCounter(registry, "posthatch_membership_sent_bytes_total",
                            "Payload bytes of gossip sent, without envelope, UDP and IP.")),
      sent_datagrams(AddCounter(registry, "posthatch_membership_sent_datagrams_total",
                                "Gossip datagrams sent.")),
      malformed(AddCounter(registry, "posthatch_membership_malformed_total",
                           "Gossip datagrams that don't parse.")),
      failed_probes(AddCounter(registry, "posthatch_membership_failed_rounds_total",
                               "Probe rounds without an answer, direct or over others.")),
      suspicions(AddCounter(registry, "posthatch_membership_suspicions_total",
                            "Suspicions of a member that started here or arrived by gossip.")),
      deaths(AddCounter(registry, "posthatch_membership_deaths_total",
                        "Members declared dead by this process or on word of others.")),
      refutations(AddCounter(registry, "posthatch_membership_refutations_total",
                             "Times this process denied something said of itself.")),
      pauses(AddCounter(registry, "posthatch_membership_pauses_total",
                        "Times this process found that it had been stopped for seconds.")),
      pulls(AddCounter(registry, "posthatch_membership_pulls_total",
                       "Anti-entropy exchanges in which this process fetched records.")),
      damped(AddCounter(registry, "posthatch_membership_damped_total",
                        "Times a flapping member's return was held back.")) {}

}  // namespace posthatch::membership
