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
                    "Place prompts by what the index knows of kept segments."),
      RoutingSwitch("older_revisions", Target<&Switches::older_revisions>,
                    "Use kept segments of workers that a roll-out has not reached yet."),
      RoutingSwitch(
          "announcements", Target<&Switches::announcements>,
          "Tell the other gateways which prompts are being read, and use what they tell."),
      RoutingSwitch("rank", Target<&Switches::rank>,
                    "Send prompts that nobody is known to keep to the workers that all gateways "
                    "rank first for them."),
      RoutingSwitch("guessed_source", Target<&Switches::guessed_source>,
                    "Name the worker ranked first as the source where nothing is known."),
      RoutingSwitch("peer_moves", Target<&Switches::peer_moves>,
                    "Let workers fetch kept segments from another worker that keeps them."),
      RoutingSwitch("stores", Target<&Switches::stores>,
                    "Save shared segments to the stores and fetch them from there."),
      RoutingSwitch("loads", Target<&Switches::loads>,
                    "Count what the other gateways have under way at a worker."),
      RoutingSwitch("urgent_loads", Target<&Switches::urgent_loads>,
                    "Tell waiting prompts and announcements within milliseconds."),
      RoutingSwitch("interference", Target<&Switches::interference>,
                    "Weigh what reading a long prompt does to the streams that run there."),
      RoutingSwitch("gathering", Target<&Switches::gathering>,
                    "Gather short prompts where streams run already."),
      RoutingSwitch("kept_connections", Target<&Switches::kept_connections>,
                    "Prefer workers that a connection is kept to."),
      RoutingSwitch("near_candidates", Target<&Switches::near_candidates>,
                    "In a large fleet, look for free workers in the own zone, whose loads are "
                    "known sooner."),
      RoutingSwitch("measured_waits", Target<&Switches::measured_waits>,
                    "Weigh how much later than expected first events came from a worker lately."),
      RoutingSwitch("ejection", Target<&Switches::ejection>,
                    "Keep away for a while from workers that fail."),
      RoutingSwitch("resumption", Target<&Switches::resumption>,
                    "Take resumable streams up at another worker."),
      RoutingSwitch("retries", Target<&Switches::retries>,
                    "Try a second worker after a failure, within the retry budget."),
      RoutingSwitch("priorities", Target<&Switches::priorities>,
                    "Tell workers how urgent a prompt is."),
  };
}

}  // namespace posthatch::server
