#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/gateway/gateway_options.h"
#include "posthatch/http/http.h"
#include "posthatch/membership/membership.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/runtime/clock.h"
#include "posthatch/runtime/trace.h"

// Settings of one process, already validated (settings_loader.h). Each field is documented here and
// by a row of a settings table (setting_tables.h), which gives its key in the TOML file, its range
// and its line in docs/operations/settings.md.
namespace posthatch::server {

// A setting whose given value could not be used (see NodeSettings::adjust_unusable_values).
struct AdjustedSetting {
  std::string key;    // "node.drain_deadline_ms"
  std::string given;  // the text of the settings file
  std::string used;   // the nearest allowed value, or "default"
};

struct NodeSettings {
  std::string node_id;             // unique in the fleet
  std::string zone;                // failure domain, for example "eu-1a"
  std::string region;              // group of zones close to each other
  std::string internal_endpoint;   // "ip:port", TCP and UDP, between posthatch processes
  std::string http_endpoint;       // "ip:port", callers and operators
  std::vector<std::string> seeds;  // internal endpoints of up to three other processes
  uint32_t seeds_port = 0;         // replaces the seeds' ports; 0: unchanged
  std::string readiness_endpoint;  // "ip:port" of the readiness listener; empty: none
  std::string inventory_endpoint;  // "ip:port" of the platform's inventory
  runtime::Duration drain_deadline = std::chrono::seconds(20);  // SIGTERM to exit at the latest
  // From SIGTERM until new connections are refused; readiness fails at once.
  runtime::Duration drain_notice{0};
  std::string admin_token_sha256;  // operators' bearer token, hashed; empty: none required
  std::string data_folder;         // log and snapshots; controllers only
  std::string log_file;            // empty: stderr
  runtime::Severity log_level = runtime::Severity::kInfo;
  // Durations and decimal numbers of the settings file that can't be used are replaced rather than
  // rejected: for files that a platform fills in with values that no operator of posthatch chose.
  bool adjust_unusable_values = false;
  // The values that were replaced while the file was read. Filled by the loader; no setting itself.
  std::vector<AdjustedSetting> adjusted;
};

struct GatewaySettings {
  NodeSettings node;
  http::ServerLimits limits;
  runtime::Duration session_renew_interval = std::chrono::seconds(1);
  // Memory limit of index entries, in bytes.
  uint64_t index_budget_bytes = 64ull * 1024 * 1024;
  gateway::RoutingMode routing_mode = gateway::RoutingMode::kPrefixAware;
  // Limits of routed traffic; the retry budget and the inventory reads are those of all gateways
  // together. See docs/design-docs/platform.md.
  double retry_budget_ratio = 0.2;
  double retry_budget_slack = 20;
  double inventory_reads_per_second = 4;
  runtime::Duration revision_deadline = std::chrono::seconds(12);
  runtime::Duration drain_bound = std::chrono::seconds(3);
  routing::RoutingSwitches routing;
};

struct ControllerSettings {
  NodeSettings node;
  http::ServerLimits limits;
  // Number of fresh controllers that must find each other to form the first cluster.
  uint32_t bootstrap_expect = 3;
  // Only the controllers at the seed addresses form the first cluster, all of them together. For
  // fleets whose processes all have the same seeds and are not configured with the number of
  // controllers.
  bool founded_by_seeds = false;
  // Number of voters that automatic repair maintains.
  uint32_t target_voters = 3;
  runtime::Duration session_lease = std::chrono::seconds(4);
  runtime::Duration inventory_poll_interval = std::chrono::milliseconds(500);
  runtime::Duration order_handover = std::chrono::seconds(3);
  runtime::Duration rollout_deadline = std::chrono::seconds(12);
};

}  // namespace posthatch::server
