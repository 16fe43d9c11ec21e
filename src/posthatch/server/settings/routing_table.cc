#include "posthatch/server/settings/setting_tables.h"

namespace posthatch::server {
namespace {

// The field that a row fills, by pointer to member.
template <auto kField>
SettingTarget Target(SettingsDraft* draft) {
  return &(draft->gateway.routing.*kField);
}

SettingDescription RoutingSwitch(std::string_view name, SettingTarget (*target)(SettingsDraft*),
                                 std::string_view help) {
  return {.table = "routing",
          .name = name,
          .kind = SettingKind::kSwitch,
          .roles = SettingRoles::kGateway,
          .target = target,
          .help = help};
}

}  // namespace

std::vector<SettingDescription> RoutingTable() {
  using Switches = routing::RoutingSwitches;
  return {
      RoutingSwitch("index", Target<&Switches::index>,
                    "Place prompts by the cached segments that the prefix cache index lists."),
      RoutingSwitch("older_revisions", Target<&Switches::older_revisions>,
                    "Use cached segments of workers that a rollout has not reached yet."),
      RoutingSwitch(
          "announcements", Target<&Switches::announcements>,
          "Announce prefills to the other gateways, and place prompts by their announcements."),
      RoutingSwitch("rank", Target<&Switches::rank>,
                    "Send prompts without a known cache holder to the workers that all gateways "
                    "rank first for them."),
      RoutingSwitch(
          "guessed_source", Target<&Switches::guessed_source>,
          "Name the worker ranked first as the source of cached segments if no holder is known."),
      RoutingSwitch("peer_moves", Target<&Switches::peer_moves>,
                    "Let workers fetch cached segments from another worker that holds them."),
      RoutingSwitch("stores", Target<&Switches::stores>,
                    "Save shared segments to the stores and fetch them from there."),
      RoutingSwitch("loads", Target<&Switches::loads>,
                    "Count the load that the other gateways have in flight at a worker."),
      RoutingSwitch(
          "urgent_loads", Target<&Switches::urgent_loads>,
          "Report pending prompts and announcements to the other gateways within milliseconds."),
      RoutingSwitch(
          "interference", Target<&Switches::interference>,
          "Weight the effect of a long prefill on the streams that run at the same worker."),
      RoutingSwitch("gathering", Target<&Switches::gathering>,
                    "Place short prompts together at workers that have running streams already."),
      RoutingSwitch("kept_connections", Target<&Switches::kept_connections>,
                    "Prefer workers with a pooled connection."),
      RoutingSwitch("near_candidates", Target<&Switches::near_candidates>,
                    "In a large fleet, look for free workers in the local zone, whose loads are "
                    "known sooner."),
      RoutingSwitch("measured_waits", Target<&Switches::measured_waits>,
                    "Weight how much later than expected the first events of recent streams came "
                    "from a worker."),
      RoutingSwitch("ejection", Target<&Switches::ejection>, "Eject failing workers temporarily."),
      RoutingSwitch("resumption", Target<&Switches::resumption>,
                    "Resume interrupted resumable streams at another worker."),
      RoutingSwitch("retries", Target<&Switches::retries>,
                    "Retry at a second worker after a failure, within the retry budget."),
      RoutingSwitch("priorities", Target<&Switches::priorities>,
                    "Send the priority of a prompt to its worker."),
  };
}

}  // namespace posthatch::server
