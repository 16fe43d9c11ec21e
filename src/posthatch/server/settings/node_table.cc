#include "posthatch/server/settings/setting_tables.h"

namespace posthatch::server {
namespace {

// The field that a row fills, by pointer to member.
template <auto kField>
SettingTarget Target(SettingsDraft* draft) {
  return &(draft->node.*kField);
}

}  // namespace

std::vector<SettingDescription> NodeTable() {
  return {
      {.table = "node",
       .name = "node_id",
       .kind = SettingKind::kName,
       .required = true,
       .target = Target<&NodeSettings::node_id>,
       .help = "Name of this process, unique in the fleet and unchanged across restarts."},
      {.table = "node",
       .name = "zone",
       .kind = SettingKind::kName,
       .required = true,
       .target = Target<&NodeSettings::zone>,
       .help = "Failure domain of the machine; evacuations and routing depend on it."},
      {.table = "node",
       .name = "region",
       .kind = SettingKind::kText,
       .target = Target<&NodeSettings::region>,
       .help = "Group of zones that are close to each other."},
      {.table = "node",
       .name = "internal_endpoint",
       .kind = SettingKind::kEndpoint,
       .required = true,
       .target = Target<&NodeSettings::internal_endpoint>,
       .help = "Where the other processes reach this one, over TCP and UDP. Port 0: any free one."},
      {.table = "node",
       .name = "http_endpoint",
       .kind = SettingKind::kEndpoint,
       .required = true,
       .target = Target<&NodeSettings::http_endpoint>,
       .help = "Where callers and operators reach this process. Port 0: any free one."},
      {.table = "node",
       .name = "seeds",
       .kind = SettingKind::kEndpointList,
       .target = Target<&NodeSettings::seeds>,
       .help = "Internal endpoints of other processes, through which this one joins the fleet."},
      {.table = "node",
       .name = "seeds_port",
       .kind = SettingKind::kCount,
       .minimum = 0,
       .maximum = 65535,
       .target = Target<&NodeSettings::seeds_port>,
       .help = "Port that replaces the ports in seeds, where these list another endpoint of the "
               "same machines. 0: unchanged."},
      {.table = "node",
       .name = "readiness_endpoint",
       .kind = SettingKind::kText,
       .target = Target<&NodeSettings::readiness_endpoint>,
       .help = "Endpoint of a separate readiness listener, \"ip:port\". Empty: readiness is served "
               "only at http_endpoint."},
      {.table = "node",
       .name = "inventory_endpoint",
       .kind = SettingKind::kEndpoint,
       .required = true,
       .target = Target<&NodeSettings::inventory_endpoint>,
       .help = "The platform's list of workers, stores and services."},
      {.table = "node",
       .name = "drain_deadline_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 100,
       .maximum = kDayMs,
       .target = Target<&NodeSettings::drain_deadline>,
       .help = "Maximum time from SIGTERM to exit; responses still in progress are then aborted."},
      {.table = "node",
       .name = "drain_notice_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 0,
       .maximum = kMinuteMs,
       .target = Target<&NodeSettings::drain_notice>,
       .help = "Time from SIGTERM until new connections are refused; readiness checks fail during "
               "it. At "
               "most a third of drain_deadline_ms is used."},
      {.table = "node",
       .name = "admin_token_sha256",
       .kind = SettingKind::kSha256,
       .target = Target<&NodeSettings::admin_token_sha256>,
       .help = "SHA-256 of the operators' bearer token. Empty: none is required."},
      {.table = "node",
       .name = "data_folder",
       .kind = SettingKind::kText,
       .required = true,
       .roles = SettingRoles::kController,
       .target = Target<&NodeSettings::data_folder>,
       .help = "Folder of the replicated log and snapshots; created if missing, locked while in "
               "use."},
      {.table = "node",
       .name = "log_file",
       .kind = SettingKind::kText,
       .target = Target<&NodeSettings::log_file>,
       .help = "File that JSON log lines are written to. Empty: standard error."},
      {.table = "node",
       .name = "log_level",
       .kind = SettingKind::kLogLevel,
       .target = Target<&NodeSettings::log_level>,
       .help = "Lowest severity that is logged; PUT /admin/v1/log-level changes it at run time."},
      {.table = "node",
       .name = "adjust_unusable_values",
       .kind = SettingKind::kSwitch,
       .target = Target<&NodeSettings::adjust_unusable_values>,
       .help = "on: a duration or decimal number of the file that is outside of its range is "
               "replaced by the nearest allowed value, one that can't be read by the default, each "
               "with the log event SettingAdjusted; the process starts. For files that a platform "
               "fills in. off: the process doesn't start."},
  };
}

}  // namespace posthatch::server
