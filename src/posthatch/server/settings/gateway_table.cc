#include "posthatch/server/settings/setting_tables.h"

namespace posthatch::server {
namespace {

// The field that a row fills, by pointer to member.
template <auto kField>
SettingTarget Target(SettingsDraft* draft) {
  return &(draft->gateway.*kField);
}

}  // namespace

std::vector<SettingDescription> GatewayTable() {
  return {
      {.table = "gateway",
       .name = "session_renew_interval_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kGateway,
       .minimum = 50,
       .maximum = 5000,
       .target = Target<&GatewaySettings::session_renew_interval>,
       .help = "Interval between renewals of the session lease; at most a quarter of the "
               "controllers' session_lease_ms."},
      {.table = "gateway",
       .name = "index_budget_bytes",
       .kind = SettingKind::kBytes,
       .roles = SettingRoles::kGateway,
       .minimum = kMebibyte,
       .maximum = 64 * kGibibyte,
       .target = Target<&GatewaySettings::index_budget_bytes>,
       .help = "Memory limit of index entries; beyond it the least used are evicted."},
      {.table = "gateway",
       .name = "routing_mode",
       .kind = SettingKind::kRoutingMode,
       .roles = SettingRoles::kGateway,
       .target = Target<&GatewaySettings::routing_mode>,
       .help = "How workers are chosen; round_robin ignores prefixes and load and is the baseline "
               "that rehearsals compare with."},
      {.table = "gateway",
       .name = "retry_budget_ratio",
       .kind = SettingKind::kDecimal,
       .roles = SettingRoles::kGateway,
       .minimum = 0,
       .maximum = 10,
       .target = Target<&GatewaySettings::retry_budget_ratio>,
       .help = "Routed traffic: retry budget, the number of attempts that reach workers beyond the "
               "first of each request, as a fraction of the requests, for all gateways together."},
      {.table = "gateway",
       .name = "retry_budget_slack",
       .kind = SettingKind::kDecimal,
       .roles = SettingRoles::kGateway,
       .minimum = 0,
       .maximum = 1'000'000,
       .target = Target<&GatewaySettings::retry_budget_slack>,
       .help = "Routed traffic: attempts per 10 s that the retry budget allows in addition to "
               "retry_budget_ratio, for all gateways together."},
      {.table = "gateway",
       .name = "inventory_reads_per_second",
       .kind = SettingKind::kDecimal,
       .roles = SettingRoles::kGateway,
       .minimum = 0,
       .maximum = 1'000'000,
       .target = Target<&GatewaySettings::inventory_reads_per_second>,
       .help = "Reads of the inventory per second that all gateways together may make while no "
               "controller reads it."},
      {.table = "gateway",
       .name = "revision_deadline_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kGateway,
       .minimum = 100,
       .maximum = kDayMs,
       .target = Target<&GatewaySettings::revision_deadline>,
       .help = "Routed traffic: time after a model revision is set from which no request may start "
               "on an older one."},
      {.table = "gateway",
       .name = "drain_bound_ms",
       .kind = SettingKind::kMilliseconds,
       .roles = SettingRoles::kGateway,
       .minimum = 2000,
       .maximum = kDayMs,
       .target = Target<&GatewaySettings::drain_bound>,
       .help = "Routed traffic: time after the inventory shows a worker as draining from which the "
               "worker receives no more requests. A gateway reads the inventory itself 1500 ms "
               "before, if no controller has."},
  };
}

}  // namespace posthatch::server
