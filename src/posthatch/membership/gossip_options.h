#pragma once

#include <cstddef>
#include <string>

#include "posthatch/runtime/clock.h"

namespace posthatch::membership {

// Options of GossipMembership. The defaults are for 3 to some thousands of processes with round
// trips up to 250 ms; see docs/design-docs/membership.md for their effects.
struct GossipOptions {
  // Failure detection (SWIM, sections 3.1 and 4.2; Lifeguard, section IV).
  runtime::Duration probe_interval = std::chrono::seconds(1);
  // From a ping to its repetition, direct and indirect.
  runtime::Duration probe_retry = std::chrono::milliseconds(200);
  // From a ping to the failure of the probe.
  runtime::Duration probe_deadline = std::chrono::milliseconds(500);
  // Members that are requested to ping the target at the repetition.
  int indirect_probes = 3;
  // Probes in a row that must fail before the suspicion of a member is disseminated.
  int failed_probes_to_suspect = 3;
  // Shortest suspicion before a member counts as dead, for 10 processes or fewer; it is multiplied
  // by log10 of the number of processes.
  runtime::Duration min_suspicion = std::chrono::milliseconds(1500);
  // Longest suspicion, if nobody else confirms it, as a multiple of the shortest.
  int max_suspicion_factor = 3;
  // Number of confirmations by others that reduce a suspicion to the shortest.
  int confirmations = 2;
  // Maximum of the local health score; time-outs are multiplied by 1 + score.
  int max_health_score = 8;
  // A gap between two callbacks of at least this means that this process was stopped.
  runtime::Duration pause_threshold = std::chrono::milliseconds(2500);
  // How long this process suspects nobody after it was stopped.
  runtime::Duration pause_grace = std::chrono::seconds(5);
  // Without any response for this long, this process considers itself isolated and suspects nobody.
  runtime::Duration isolation_timeout = std::chrono::seconds(2);
  // Longest time for which an isolated process suspects nobody.
  runtime::Duration max_isolation = std::chrono::seconds(30);

  // Dissemination.
  runtime::Duration gossip_interval = std::chrono::milliseconds(200);
  int gossip_fanout = 2;
  // How often one process transmits an update: this times log2 of the number of processes.
  int retransmit_factor = 2;
  size_t max_gossip_bytes_per_second = 8000;
  size_t max_queued_updates = 512;
  // Bytes of updates that are piggybacked on a ping or its ack.
  size_t piggyback_bytes = 600;

  // Anti-entropy, with a random member.
  runtime::Duration sync_interval = std::chrono::seconds(30);
  runtime::Duration sync_interval_after_difference = std::chrono::seconds(3);
  runtime::Duration pull_timeout = std::chrono::milliseconds(400);
  int pull_retries = 4;
  int pull_window_buckets = 8;

  // Discovery: seeds, cached peers, and dead members that may be reachable again.
  runtime::Duration join_interval = std::chrono::seconds(1);
  runtime::Duration reconnect_interval = std::chrono::seconds(10);
  // How many processes of the whole fleet contact a seed, cached peer or dead member per
  // reconnect_interval.
  int reconnects_per_interval = 8;
  runtime::Duration dead_member_retention = std::chrono::hours(24);
  // Where the peer cache is stored, on machines with a disk.
  std::string peers_directory = "membership";
  runtime::Duration peers_write_interval = std::chrono::seconds(60);

  // Damping of flapping members: their deaths and restarts are counted, and the count is halved
  // each half-life. Beyond the limit, a member that comes back is reported only after it has been
  // alive for flap_damping_period, doubled per further death or restart.
  runtime::Duration flap_half_life = std::chrono::seconds(60);
  double flap_limit = 2.5;
  runtime::Duration flap_damping_period = std::chrono::seconds(5);
  runtime::Duration flap_max_damping_period = std::chrono::seconds(60);
};

}  // namespace posthatch::membership
