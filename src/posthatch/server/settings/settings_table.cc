#include "posthatch/server/settings/settings_table.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "posthatch/util/string_view.h"

namespace posthatch::server {
namespace {

constexpr int64_t kKibibyte = 1024;
constexpr int64_t kMebibyte = 1024 * kKibibyte;
constexpr int64_t kGibibyte = 1024 * kMebibyte;
constexpr int64_t kMinuteMs = 60'000;

std::vector<SettingDescription> NodeTable() {
  return {
      {.table = "node",
       .name = "node_id",
       .kind = SettingKind::kName,
       .required = true,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.node_id; },
       .help = "Name of this process, unique in the fleet and kept over restarts."},
      {.table = "node",
       .name = "zone",
       .kind = SettingKind::kName,
       .required = true,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.zone; },
       .help = "Failure domain the machine stands in; evacuations and routing go by it."},
      {.table = "node",
       .name = "region",
       .kind = SettingKind::kText,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.region; },
       .help = "Group of zones that are close to each other."},
      {.table = "node",
       .name = "internal_endpoint",
       .kind = SettingKind::kEndpoint,
       .required = true,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->node.internal_endpoint;
       },
       .help = "Where the other processes reach this one, over TCP and UDP. Port 0: any free one."},
      {.table = "node",
       .name = "http_endpoint",
       .kind = SettingKind::kEndpoint,
       .required = true,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.http_endpoint; },
       .help = "Where callers and operators reach this process. Port 0: any free one."},
      {.table = "node",
       .name = "seeds",
       .kind = SettingKind::kEndpointList,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.seeds; },
       .help = "Internal endpoints of other processes, to find the fleet by."},
      {.table = "node",
       .name = "seeds_port",
       .kind = SettingKind::kCount,
       .minimum = 0,
       .maximum = 65535,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.seeds_port; },
       .help = "Port that replaces the seeds' own, where they are told by another address of the "
               "same machine. 0: none."},
      {.table = "node",
       .name = "readiness_endpoint",
       .kind = SettingKind::kText,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->node.readiness_endpoint;
       },
       .help = "Where readiness alone is asked, \"ip:port\". Empty: only at http_endpoint."},
      {.table = "node",
       .name = "inventory_endpoint",
       .kind = SettingKind::kEndpoint,
       .required = true,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->node.inventory_endpoint;
       },
       .help = "The platform's list of workers, stores and services."},
      {.table = "node",
       .name = "drain_deadline_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 100,
       .maximum = 10 * kMinuteMs,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.drain_deadline; },
       .help = "From SIGTERM to the exit at the latest; answers that still run are cut."},
      {.table = "node",
       .name = "drain_notice_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 0,
       .maximum = kMinuteMs,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.drain_notice; },
       .help = "From SIGTERM until new connections are refused: readiness says no meanwhile."},
      {.table = "node",
       .name = "admin_token_sha256",
       .kind = SettingKind::kSha256,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->node.admin_token_sha256;
       },
       .help = "SHA-256 of the operators' bearer token. Empty: none is asked for."},
      {.table = "node",
       .name = "data_folder",
       .kind = SettingKind::kText,
       .required = true,
       .gateway = false,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.data_folder; },
       .help = "Folder of the replicated log and snapshots; created if missing, locked while in "
               "use."},
      {.table = "node",
       .name = "log_file",
       .kind = SettingKind::kText,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.log_file; },
       .help = "File the JSON lines go to. Empty: standard error."},
      {.table = "node",
       .name = "log_level",
       .kind = SettingKind::kLogLevel,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->node.log_level; },
       .help = "Least severity that is logged; PUT /admin/v1/log-level changes it at run time."},
  };
}

std::vector<SettingDescription> LimitsTable() {
  return {
      {.table = "limits",
       .name = "max_header_bytes",
       .kind = SettingKind::kBytes,
       .minimum = kKibibyte,
       .maximum = kMebibyte,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->limits.max_header_bytes;
       },
       .help = "Request line and header fields; more is answered 431."},
      {.table = "limits",
       .name = "max_body_bytes",
       .kind = SettingKind::kBytes,
       .minimum = kKibibyte,
       .maximum = 256 * kMebibyte,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->limits.max_body_bytes;
       },
       .help = "Body of a request; more is answered 413."},
      {.table = "limits",
       .name = "max_connections",
       .kind = SettingKind::kCount,
       .minimum = 1,
       .maximum = 1'000'000,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->limits.max_connections;
       },
       .help = "Open connections of callers; further ones are closed at once."},
      {.table = "limits",
       .name = "max_buffered_bytes",
       .kind = SettingKind::kBytes,
       .minimum = 4 * kKibibyte,
       .maximum = 64 * kMebibyte,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->limits.max_buffered_bytes;
       },
       .help =
           "Of one streamed answer, waiting for its caller; beyond it reading from the back end "
           "pauses."},
      {.table = "limits",
       .name = "header_timeout_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 100,
       .maximum = 10 * kMinuteMs,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->limits.header_timeout;
       },
       .help = "From the first byte of a request to the end of its header; later is answered 408."},
      {.table = "limits",
       .name = "body_timeout_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 100,
       .maximum = 10 * kMinuteMs,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->limits.body_timeout; },
       .help =
           "From the header's end to the body's end; later is answered 408. A caller that takes "
           "nothing of its answer for so long is cut."},
      {.table = "limits",
       .name = "idle_timeout_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 100,
       .maximum = 60 * kMinuteMs,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->limits.idle_timeout; },
       .help = "Between requests on a kept connection; then it is closed."},
  };
}

std::vector<SettingDescription> GatewayTable() {
  return {
      {.table = "gateway",
       .name = "session_renew_interval_ms",
       .kind = SettingKind::kMilliseconds,
       .controller = false,
       .minimum = 50,
       .maximum = 5000,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->gateway.session_renew_interval;
       },
       .help = "Between renewals of the session lease; a quarter of the controllers' "
               "session_lease_ms or less."},
      {.table = "gateway",
       .name = "index_budget_bytes",
       .kind = SettingKind::kBytes,
       .controller = false,
       .minimum = kMebibyte,
       .maximum = 64 * kGibibyte,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->gateway.index_budget_bytes;
       },
       .help = "Memory for index entries; the least used are dropped beyond it."},
      {.table = "gateway",
       .name = "routing_mode",
       .kind = SettingKind::kRoutingMode,
       .controller = false,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->gateway.routing_mode; },
       .help = "How workers are chosen; round_robin ignores prefixes and load and is the baseline "
               "that rehearsals compare with."},
      {.table = "gateway",
       .name = "retry_budget_ratio",
       .kind = SettingKind::kDecimal,
       .controller = false,
       .minimum = 0,
       .maximum = 10,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->gateway.retry_budget_ratio;
       },
       .help =
           "Routed traffic: arrivals at workers beyond the first of each request, as a share of "
           "the requests, for all gateways together."},
      {.table = "gateway",
       .name = "retry_budget_slack",
       .kind = SettingKind::kDecimal,
       .controller = false,
       .minimum = 0,
       .maximum = 1'000'000,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->gateway.retry_budget_slack;
       },
       .help = "Routed traffic: such arrivals in 10 s that are allowed beside the share, for all "
               "gateways together."},
      {.table = "gateway",
       .name = "inventory_reads_per_second",
       .kind = SettingKind::kDecimal,
       .controller = false,
       .minimum = 0,
       .maximum = 1'000'000,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->gateway.inventory_reads_per_second;
       },
       .help = "Readings of the inventory that all gateways together may make while no controller "
               "reads it."},
      {.table = "gateway",
       .name = "revision_deadline_ms",
       .kind = SettingKind::kMilliseconds,
       .controller = false,
       .minimum = 100,
       .maximum = 10 * kMinuteMs,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->gateway.revision_deadline;
       },
       .help = "Routed traffic: from the order of a model revision until no request may start on "
               "an older one."},
      {.table = "gateway",
       .name = "drain_bound_ms",
       .kind = SettingKind::kMilliseconds,
       .controller = false,
       .minimum = 2000,
       .maximum = 10 * kMinuteMs,
       .target = [](SettingsDraft* draft) -> SettingTarget { return &draft->gateway.drain_bound; },
       .help = "Routed traffic: from when the inventory shows a worker as draining until it gets "
               "nothing more. A gateway reads the inventory itself 1500 ms before, if no "
               "controller has."},
  };
}

template <bool routing::RoutingSwitches::*kSwitch>
SettingTarget RoutingTarget(SettingsDraft* draft) {
  return &(draft->gateway.routing.*kSwitch);
}

SettingDescription RoutingSwitch(std::string_view name, SettingTarget (*target)(SettingsDraft*),
                                 std::string_view help) {
  return {.table = "routing",
          .name = name,
          .kind = SettingKind::kSwitch,
          .controller = false,
          .target = target,
          .help = help};
}

// Mechanisms of routed traffic; off only to measure what they are worth.
std::vector<SettingDescription> RoutingTable() {
  using Switches = routing::RoutingSwitches;
  return {
      RoutingSwitch("index", RoutingTarget<&Switches::index>,
                    "Place prompts by what the index knows of kept segments."),
      RoutingSwitch("older_revisions", RoutingTarget<&Switches::older_revisions>,
                    "Use kept segments of workers that a roll-out has not reached yet."),
      RoutingSwitch(
          "announcements", RoutingTarget<&Switches::announcements>,
          "Tell the other gateways which prompts are being read, and use what they tell."),
      RoutingSwitch("rank", RoutingTarget<&Switches::rank>,
                    "Send prompts that nobody is known to keep to the workers that all gateways "
                    "rank first for them."),
      RoutingSwitch("guessed_source", RoutingTarget<&Switches::guessed_source>,
                    "Name the worker ranked first as the source where nothing is known."),
      RoutingSwitch("peer_moves", RoutingTarget<&Switches::peer_moves>,
                    "Let workers fetch kept segments from another worker that keeps them."),
      RoutingSwitch("stores", RoutingTarget<&Switches::stores>,
                    "Save shared segments to the stores and fetch them from there."),
      RoutingSwitch("loads", RoutingTarget<&Switches::loads>,
                    "Count what the other gateways have under way at a worker."),
      RoutingSwitch("urgent_loads", RoutingTarget<&Switches::urgent_loads>,
                    "Tell waiting prompts and announcements within milliseconds."),
      RoutingSwitch("interference", RoutingTarget<&Switches::interference>,
                    "Weigh what reading a long prompt does to the streams that run there."),
      RoutingSwitch("gathering", RoutingTarget<&Switches::gathering>,
                    "Gather short prompts where streams run already."),
      RoutingSwitch("kept_connections", RoutingTarget<&Switches::kept_connections>,
                    "Prefer workers that a connection is kept to."),
      RoutingSwitch("near_candidates", RoutingTarget<&Switches::near_candidates>,
                    "In a large fleet, look for free workers in the own zone, whose loads are "
                    "known sooner."),
      RoutingSwitch("measured_waits", RoutingTarget<&Switches::measured_waits>,
                    "Weigh how much later than expected first events came from a worker lately."),
      RoutingSwitch("ejection", RoutingTarget<&Switches::ejection>,
                    "Keep away for a while from workers that fail."),
      RoutingSwitch("resumption", RoutingTarget<&Switches::resumption>,
                    "Take resumable streams up at another worker."),
      RoutingSwitch("retries", RoutingTarget<&Switches::retries>,
                    "Try a second worker after a failure, within the retry budget."),
      RoutingSwitch("priorities", RoutingTarget<&Switches::priorities>,
                    "Tell workers how urgent a prompt is."),
  };
}

std::vector<SettingDescription> ControllerTable() {
  return {
      {.table = "controller",
       .name = "bootstrap_expect",
       .kind = SettingKind::kCount,
       .gateway = false,
       .minimum = 0,
       .maximum = 9,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->controller.bootstrap_expect;
       },
       .help = "Fresh controllers that must see each other before they form the first cluster; the "
               "same on all. 0: this one only joins a cluster that exists."},
      {.table = "controller",
       .name = "founded_by_seeds",
       .kind = SettingKind::kSwitch,
       .gateway = false,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->controller.founded_by_seeds;
       },
       .help = "The first cluster is formed by the controllers at the seed addresses, all of them "
               "together, whatever bootstrap_expect above 0 says; the seeds must be the same on "
               "all. For fleets that aren't told how many controllers there are."},
      {.table = "controller",
       .name = "target_voters",
       .kind = SettingKind::kCount,
       .gateway = false,
       .minimum = 1,
       .maximum = 9,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->controller.target_voters;
       },
       .help = "Voters that automatic repair keeps up."},
      {.table = "controller",
       .name = "session_lease_ms",
       .kind = SettingKind::kMilliseconds,
       .gateway = false,
       .minimum = 500,
       .maximum = kMinuteMs,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->controller.session_lease;
       },
       .help = "Length of a gateway's session lease; a cut-off gateway delays acknowledgements by "
               "so long."},
      {.table = "controller",
       .name = "inventory_poll_interval_ms",
       .kind = SettingKind::kMilliseconds,
       .gateway = false,
       .minimum = 50,
       .maximum = 10'000,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->controller.inventory_poll_interval;
       },
       .help = "Between readings of the inventory by the leading controller."},
      {.table = "controller",
       .name = "order_handover_ms",
       .kind = SettingKind::kMilliseconds,
       .gateway = false,
       .minimum = 0,
       .maximum = kMinuteMs,
       .target = [](SettingsDraft* draft) -> SettingTarget {
         return &draft->controller.order_handover;
       },
       .help =
           "How long a new leading controller waits before it orders workers, so that two never "
           "order one by turns."},
  };
}

std::string_view UnitOf(SettingKind kind) {
  switch (kind) {
    case SettingKind::kBytes:
      return "bytes";
    case SettingKind::kMilliseconds:
      return "ms";
    default:
      return "";
  }
}

std::string_view RolesOf(const SettingDescription& setting) {
  if (setting.gateway && setting.controller) return "both";
  return setting.gateway ? "gateway" : "controller";
}

struct DefaultFormatter {
  std::string operator()(const std::string* text) const {
    return text->empty() ? "" : absl::StrCat("\"", *text, "\"");
  }
  std::string operator()(const std::vector<std::string>*) const { return "[]"; }
  std::string operator()(const uint32_t* number) const { return absl::StrCat(*number); }
  std::string operator()(const uint64_t* number) const { return absl::StrCat(*number); }
  std::string operator()(const bool* flag) const { return *flag ? "\"on\"" : "\"off\""; }
  std::string operator()(const double* number) const { return absl::StrCat("\"", *number, "\""); }
  std::string operator()(const runtime::Duration* duration) const {
    return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(*duration).count());
  }
  // The default level is the only one that is ever formatted.
  std::string operator()(const runtime::Severity*) const { return "\"info\""; }
};

}  // namespace

std::string SettingDescription::Key() const {
  return absl::StrCat(util::ToAbsl(table), ".", util::ToAbsl(name));
}

std::string SettingDescription::Flag() const {
  return absl::StrCat("--", absl::StrReplaceAll(util::ToAbsl(name), {{"_", "-"}}));
}

const std::vector<SettingDescription>& SettingsTable() {
  static const auto* const settings = [] {
    auto* table = new std::vector<SettingDescription>();
    for (const auto& part :
         {NodeTable(), LimitsTable(), GatewayTable(), RoutingTable(), ControllerTable()}) {
      table->insert(table->end(), part.begin(), part.end());
    }
    return table;
  }();
  return *settings;
}

std::string AllowedRange(const SettingDescription& setting) {
  switch (setting.kind) {
    case SettingKind::kText:
      return "text without control characters";
    case SettingKind::kName:
      return "1 to 64 of a-z A-Z 0-9 . _ -";
    case SettingKind::kEndpoint:
      return "\"ip:port\" with a definite address";
    case SettingKind::kEndpointList:
      return "up to 3 different \"ip:port\"";
    case SettingKind::kSha256:
      return "empty or 64 hexadecimal digits";
    case SettingKind::kLogLevel:
      return "debug, info, warning or error";
    case SettingKind::kRoutingMode:
      return "prefix_aware or round_robin";
    case SettingKind::kSwitch:
      return "on or off";
    case SettingKind::kDecimal:
      return absl::StrCat("a decimal number in quotes, ", setting.minimum, " to ", setting.maximum);
    case SettingKind::kCount:
    case SettingKind::kBytes:
    case SettingKind::kMilliseconds:
      break;
  }
  const std::string range = absl::StrCat(setting.minimum, " to ", setting.maximum);
  const std::string_view unit = UnitOf(setting.kind);
  return unit.empty() ? range : absl::StrCat(range, " ", util::ToAbsl(unit));
}

std::string DefaultText(const SettingDescription& setting) {
  if (setting.required) return "";
  SettingsDraft defaults;
  return std::visit(DefaultFormatter(), setting.target(&defaults));
}

std::string SettingsMarkdown() {
  std::string page =
      "# Settings\n\n"
      "<!-- Made by `posthatchd settings-table`; do not edit. -->\n\n"
      "`posthatchd gateway|controller --config FILE` reads a TOML file; every setting is also a\n"
      "flag, which overrides the file (`[node] zone` is `--zone`; lists are separated by commas).\n"
      "Unknown keys are errors. All errors are told at once, with file, line, key and allowed\n"
      "range; the exit code is then 2 and nothing was started. `--check-config` only checks.\n";
  std::string_view table;
  for (const SettingDescription& setting : SettingsTable()) {
    if (setting.table != table) {
      table = setting.table;
      absl::StrAppend(&page, "\n## [", util::ToAbsl(table), "]\n\n",
                      "| key | role | allowed | default | meaning |\n|---|---|---|---|---|\n");
    }
    const std::string standard = DefaultText(setting);
    absl::StrAppend(&page, "| `", util::ToAbsl(setting.name), "` | ",
                    util::ToAbsl(RolesOf(setting)), " | ", AllowedRange(setting), " | ");
    if (setting.required) {
      absl::StrAppend(&page, "required");
    } else {
      absl::StrAppend(&page, standard.empty() ? "empty" : absl::StrCat("`", standard, "`"));
    }
    absl::StrAppend(&page, " | ", util::ToAbsl(setting.help), " |\n");
  }
  return page;
}

}  // namespace posthatch::server
