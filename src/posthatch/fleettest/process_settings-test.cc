#include "posthatch/fleettest/process_settings.h"

#include <gtest/gtest.h>

#include "posthatch/server/settings/settings_loader.h"

namespace posthatch::fleettest {
namespace {

// Guards against settings that are missing in the file: without routing_mode the round-robin
// baseline ran with prefix-aware routing.
TEST(ProcessSettings, GatewaySettingsRoundTrip) {
  server::GatewaySettings planned;
  planned.node.node_id = "gateway-1";
  planned.node.zone = "z1";
  planned.node.internal_endpoint = "127.0.0.1:7000";
  planned.node.http_endpoint = "127.0.0.1:8080";
  planned.node.seeds = {"127.0.0.1:7001"};
  planned.node.inventory_endpoint = "127.0.0.1:9000";
  planned.routing_mode = gateway::RoutingMode::kRoundRobin;
  server::GatewaySettings loaded;
  const auto errors =
      server::LoadGatewaySettings({"gateway.toml", GatewayToml(planned), {}}, &loaded);
  ASSERT_TRUE(errors.empty()) << errors.front().ToString();
  EXPECT_EQ(loaded.routing_mode, planned.routing_mode);
  EXPECT_EQ(loaded.node.node_id, planned.node.node_id);
  EXPECT_EQ(loaded.node.zone, planned.node.zone);
  EXPECT_EQ(loaded.node.seeds, planned.node.seeds);
  EXPECT_EQ(loaded.node.inventory_endpoint, planned.node.inventory_endpoint);
}

}  // namespace
}  // namespace posthatch::fleettest
