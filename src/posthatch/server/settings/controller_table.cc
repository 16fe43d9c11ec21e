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
       .help =
           "Number of fresh controllers that must discover each other before they form the first "
           "cluster; the same on all controllers. 0: this one only joins an existing cluster."},
      {.table = "controller",
       .name = "founded_by_seeds",
       .kind = SettingKind::kSwitch,
       .roles = SettingRoles::kController,
       .target = Target<&ControllerSettings::founded_by_seeds>,
       .help =
           "The first cluster is formed by the controllers at the seed addresses, all of them "
           "together, whatever the value of bootstrap_expect above 0; the seeds must be the same "
           "on all controllers. For fleets that aren't configured with the number of controllers."},
      {.table = "controller",
       .name = "target_voters",
       .kind = SettingKind::kCount,
       .roles = SettingRoles::kController,
       .minimum = 1,
       .maximum = 9,
       .target = Target<&ControllerSettings::target_voters>,
       .help = "Number of voters that automatic repair maintains."},
      {.table = "controller",
       .name = "session_lease_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kController,
       .minimum = 500,
       .maximum = kMinuteMs,
       .target = Target<&ControllerSettings::session_lease>,
       .help = "Duration of a gateway's session lease; a partitioned gateway delays "
               "acknowledgements by as long."},
      {.table = "controller",
       .name = "inventory_poll_interval_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kController,
       .minimum = 50,
       .maximum = 10'000,
       .target = Target<&ControllerSettings::inventory_poll_interval>,
       .help = "Interval between reads of the inventory by the leading controller."},
      {.table = "controller",
       .name = "order_handover_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kController,
       .minimum = 0,
       .maximum = kDayMs,
       .target = Target<&ControllerSettings::order_handover>,
       .help = "How long a new leading controller waits before it commands workers, so that two "
               "controllers never command the same worker alternately."},
      {.table = "controller",
       .name = "rollout_deadline_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kController,
       .minimum = 100,
       .maximum = kDayMs,
       .target = Target<&ControllerSettings::rollout_deadline>,
       .help = "Routed traffic: time after a model revision is set within which every worker must "
               "have been commanded to load it; the same as the gateways' revision_deadline_ms."},
  };
}

}  // namespace posthatch::server
