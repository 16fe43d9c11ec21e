#include "posthatch/routing/route_table.h"

#include <gtest/gtest.h>

#include <string>

namespace posthatch::routing {
namespace {

control::TrafficRoute* AddRoute(control::TrafficConfiguration* configuration,
                                const std::string& host, const std::string& prefix) {
  control::TrafficRoute* route = configuration->add_routes();
  route->set_name(host + prefix);
  route->set_host(host);
  route->set_path_prefix(prefix);
  return route;
}

TEST(RouteTableTest, LongestPrefixOfHostWins) {
  control::TrafficConfiguration configuration;
  AddRoute(&configuration, "a.example", "/");
  AddRoute(&configuration, "a.example", "/x/");
  AddRoute(&configuration, "a.example", "/x/y/");
  AddRoute(&configuration, "b.example", "/x/");
  RouteTable table;
  table.Rebuild(configuration);
  EXPECT_EQ(table.Find("a.example", "/x/y/z?q=/")->path_prefix(), "/x/y/");
  EXPECT_EQ(table.Find("A.Example:8080", "/x/z")->path_prefix(), "/x/");
  EXPECT_EQ(table.Find("a.example", "/x")->path_prefix(), "/");
  EXPECT_EQ(table.Find("b.example", "/y/"), nullptr);
  EXPECT_EQ(table.Find("c.example", "/x/"), nullptr);
  EXPECT_EQ(table.Find("b.example", "/?p=/x/"), nullptr);
}

}  // namespace
}  // namespace posthatch::routing
