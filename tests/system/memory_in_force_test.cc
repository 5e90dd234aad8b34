// The memory that entries and agents count on, as their metrics state it.
#include <gtest/gtest.h>

#include "direct_site.h"
#include "harness.h"

namespace mangohold::testing {
namespace {

constexpr char kGauge[] = "mangohold_memory_in_force_mb";
constexpr int kStatedMb = 112;

// Guards against a stated figure that doesn't reach the process.
TEST(MemoryInForce, IsTheStatedFigureOnTheDirectWay) {
  DirectSite site({.memory_mb = kStatedMb});
  site.Start();
  EXPECT_EQ(Metric(site.Metrics(0), kGauge), kStatedMb);
  EXPECT_NE(site.Log(0).find(R"("event":"memory_in_force")"),
            std::string::npos);
}

TEST(MemoryInForce, IsTheStatedFigureOnTheWayThroughAgents) {
  Site site({.entries = 1, .services = 1, .memory_mb = kStatedMb});
  site.Start();
  EXPECT_EQ(Metric(site.Metrics(0), kGauge), kStatedMb);
  EXPECT_EQ(Metric(site.AgentMetrics(0), kGauge), kStatedMb);
}

// Guards against processes that take memory without a limit because nobody
// stated their machine's.
TEST(MemoryInForce, IsReportedWhereNoneIsStatedOnTheDirectWay) {
  DirectSite site({});
  site.Start();
  EXPECT_GT(Metric(site.Metrics(0), kGauge), 0);
}

TEST(MemoryInForce, IsReportedWhereNoneIsStatedOnTheWayThroughAgents) {
  Site site({.entries = 1, .services = 1});
  site.Start();
  EXPECT_GT(Metric(site.Metrics(0), kGauge), 0);
  EXPECT_GT(Metric(site.AgentMetrics(0), kGauge), 0);
}

}  // namespace
}  // namespace mangohold::testing
