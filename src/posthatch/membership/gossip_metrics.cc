#include "posthatch/membership/gossip_metrics.h"

#include "posthatch/util/metrics.h"

namespace posthatch::membership {

using util::AddCounter;
using util::AddGauge;

GossipMetrics::GossipMetrics(prometheus::Registry* registry)
    : live_members(AddGauge(registry, "posthatch_membership_live_members",
                            "Other processes that this one believes to be alive or suspects.")),
      health_score(AddGauge(registry, "posthatch_membership_health_score",
                            "Local health score: 0 is healthy; up to 8 if failed probes point to "
                            "a fault of this process, which then lengthens its time-outs.")),
      queued_updates(AddGauge(registry, "posthatch_membership_queued_updates",
                              "Updates queued for dissemination.")),
      sent_bytes(AddCounter(registry, "posthatch_membership_sent_bytes_total",
                            "Payload bytes of gossip sent, without envelope, UDP and IP.")),
      sent_datagrams(AddCounter(registry, "posthatch_membership_sent_datagrams_total",
                                "Gossip datagrams sent.")),
      malformed(AddCounter(registry, "posthatch_membership_malformed_total",
                           "Gossip datagrams and records that can't be parsed.")),
      failed_probes(AddCounter(registry, "posthatch_membership_failed_rounds_total",
                               "Probes without a response, direct or indirect.")),
      suspicions(AddCounter(registry, "posthatch_membership_suspicions_total",
                            "Suspicions of members, started by this process or received.")),
      deaths(AddCounter(registry, "posthatch_membership_deaths_total",
                        "Members declared dead by this process or by received records.")),
      refutations(AddCounter(registry, "posthatch_membership_refutations_total",
                             "Records about this process that it refuted or overrode.")),
      pauses(AddCounter(registry, "posthatch_membership_pauses_total",
                        "Detected pauses: this process had been stopped for seconds.")),
      pulls(AddCounter(registry, "posthatch_membership_pulls_total",
                       "Anti-entropy exchanges in which this process fetched records.")),
      damped(AddCounter(registry, "posthatch_membership_damped_total",
                        "Flapping members that came back and were damped.")) {}

}  // namespace posthatch::membership
