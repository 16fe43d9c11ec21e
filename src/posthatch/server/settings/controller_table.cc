#include "posthatch/server/settings/setting_tables.h"

namespace posthatch::server {
namespace {

// The field that a row fills, by pointer to member.
template <auto kField>
SettingTarget Target(SettingsDraft* draft) {
  return &(draft->controller.*kField);
}

}  // namespace

std::vector<SettingDescription> ControllerTable() {
  return {
      {.table = "controller",
       .name = "bootstrap_expect",
       .kind = SettingKind::kCount,
       .roles = SettingRoles::kController,
       .minimum = 0,
       .maximum = 9,
       .target = Target<&ControllerSettings::bootstrap_expect>,
       .help = "Fresh controllers that must see each other before they form the first cluster; the "
               "same on all. 0: this one only joins a cluster that exists."},
      {.table = "controller",
       .name = "founded_by_seeds",
       .kind = SettingKind::kSwitch,
       .roles = SettingRoles::kController,
       .target = Target<&ControllerSettings::founded_by_seeds>,
       .help = "The first cluster is formed by the controllers at the seed addresses, all of them "
               "together, whatever bootstrap_expect above 0 says; the seeds must be the same on "
               "all. For fleets that aren't told how many controllers there are."},
      {.table = "controller",
       .name = "target_voters",
       .kind = SettingKind::kCount,
       .roles = SettingRoles::kController,
       .minimum = 1,
       .maximum = 9,
       .target = Target<&ControllerSettings::target_voters>,
       .help = "Voters that automatic repair keeps up."},
      {.table = "controller",
       .name = "session_lease_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kController,
       .minimum = 500,
       .maximum = kMinuteMs,
       .target = Target<&ControllerSettings::session_lease>,
       .help = "Length of a gateway's session lease; a cut-off gateway delays acknowledgements by "
               "so long."},
      {.table = "controller",
       .name = "inventory_poll_interval_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kController,
       .minimum = 50,
       .maximum = 10'000,
       .target = Target<&ControllerSettings::inventory_poll_interval>,
       .help = "Between readings of the inventory by the leading controller."},
      {.table = "controller",
       .name = "order_handover_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kController,
       .minimum = 0,
       .maximum = kMinuteMs,
       .target = Target<&ControllerSettings::order_handover>,
       .help =
           "How long a new leading controller waits before it orders workers, so that two never "
           "order one by turns."},
      {.table = "controller",
       .name = "rollout_deadline_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kController,
       .minimum = 100,
       .maximum = 10 * kMinuteMs,
       .target = Target<&ControllerSettings::rollout_deadline>,
       .help = "Routed traffic: from when a model revision is named until every worker must have "
               "been commanded to load it; the same as the gateways' revision_deadline_ms."},
  };
}

}  // namespace posthatch::server
