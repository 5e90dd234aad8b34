#include "config/route_table.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

Route MakeRoute(const std::string& name, const std::string& prefix) {
  return {.name = RouteName(name), .host = "shop.example", .prefix = prefix};
}

RouteTable MakeTable() {
  return RouteTable(
      {.routes = {MakeRoute("all", "/"), MakeRoute("orders", "/orders/"),
                  MakeRoute("old", "/orders/old/")},
       .services = {{.name = ServiceName("desk")}},
       .workspaces = {{.name = WorkspaceName("north"), .keys = {"k1", "k2"}}}});
}

TEST(RouteTable, TakesTheLongestPrefixThatBeginsThePath) {
  const RouteTable table = MakeTable();
  EXPECT_EQ(table.Find("shop.example", "/orders/old/7")->name.value(), "old");
  EXPECT_EQ(table.Find("shop.example", "/orders/7")->name.value(), "orders");
  EXPECT_EQ(table.Find("shop.example", "/orders")->name.value(), "all");
  EXPECT_EQ(table.Find("shop.example", "/ordersold/")->name.value(), "all");
}

TEST(RouteTable, PassesOverPortCaseAndQuery) {
  const RouteTable table = MakeTable();
  EXPECT_EQ(table.Find("Shop.Example:8080", "/orders/?a=/old/")->name.value(),
            "orders");
}

TEST(RouteTable, KnowsNoOtherHost) {
  EXPECT_EQ(MakeTable().Find("other.example", "/orders/"), nullptr);
  EXPECT_EQ(MakeTable().Find("", "/"), nullptr);
}

TEST(RouteTable, FindsTheWorkspaceOfEachKey) {
  const RouteTable table = MakeTable();
  EXPECT_TRUE(table.needs_keys());
  EXPECT_EQ(table.FindWorkspace("k2")->name.value(), "north");
  EXPECT_EQ(table.FindWorkspace("k"), nullptr);
  EXPECT_EQ(table.FindWorkspace(""), nullptr);
}

}  // namespace
}  // namespace mangohold
