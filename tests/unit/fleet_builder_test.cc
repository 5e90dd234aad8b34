#include "store/fleet_builder.h"

#include <gtest/gtest.h>

#include "platform/schema.h"
#include "store/store_replica.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kDeployment[] = R"({"version":%d,"routes":[{"name":"r",
  "host":"h","prefix":"/p/","route_type":"streaming","timeout_ms":8000,
  "target_latency_ms":400,"priority":1,"max_attempts":2,"anonymous":false,
  "sticky":true,"stream_resume":true,"target_gap_ms":120,
  "traffic_split":[{"service":"s","weight":9},{"service":"t","weight":1}]}],
  "services":[{"name":"s","health_path":"/h","max_connections":40,
  "cold_start_s":3.0,"cold_per_s":38.0}],
  "limits":{"max_header_bytes":100,"max_body_bytes":200,
  "header_timeout_ms":300,"idle_timeout_ms":400},
  "tenants":[{"name":"w","api_keys":["k"],"priority":2}]})";

std::string DeploymentText(int version) {
  std::string text(sizeof(kDeployment) + 8, '\0');
  text.resize(static_cast<std::size_t>(
      std::snprintf(text.data(), text.size(), kDeployment, version)));
  return text;
}

std::string BackendText(const std::string& address, const char* state,
                        const char* zone = "north") {
  return R"({"service":"s","address":")" + address + R"(","zone":")" + zone +
         R"(","version":"v1","slots":12,"state":")" + state +
         R"(","cold_remaining_ms":0,"sequence":4})";
}

class FleetBuilderTest : public testing::Test {
 protected:
  // Writes a key to the store and passes the change to the builder.
  void Write(const std::string& key, const std::string& value) {
    revision_ = revision_.Next();
    const auto known = created_.try_emplace(key, revision_).first;
    Apply({{.item = {.key = key,
                     .value = value,
                     .revision = revision_,
                     .created = known->second}}});
  }
  void Remove(const std::string& key) {
    revision_ = revision_.Next();
    created_.erase(key);
    Apply({{.item = {.key = key, .revision = revision_}, .is_deleted = true}});
  }
  void Apply(std::vector<StoreEvent> events) {
    const auto keys =
        replica_.OnEvents({.events = std::move(events), .revision = revision_});
    builder_.OnChanged(keys, replica_, availability_, now_);
  }
  std::size_t Backends() const { return builder_.View()->backends.size(); }

  StoreReplica replica_;
  FleetBuilder builder_{platform::Schema(), {}};
  Revision revision_;
  std::map<std::string, Revision> created_;
  TimePoint now_ = TimePoint() + seconds(100);
  // The store has been available all the time.
  StoreAvailability availability_{
      {.outage_threshold = std::chrono::hours(10'000)}};
};

TEST_F(FleetBuilderTest, DecodesADeployment) {
  Write("op/config", DeploymentText(7));
  const Deployment& deployment = builder_.View()->routes->deployment();
  const Route& route = deployment.routes.at(0);
  EXPECT_EQ(deployment.version, DeploymentVersion(7));
  EXPECT_EQ(route.kind, RouteKind::kStream);
  EXPECT_TRUE(route.IsRepeatable());
  EXPECT_EQ(route.shares.at(1).service, ServiceName("t"));
  EXPECT_EQ(route.target_gap, Millis(120));
  EXPECT_EQ(deployment.services.at(0).cold_start, Millis(3'000));
  EXPECT_EQ(deployment.limits.idle_timeout, Millis(400));
  EXPECT_EQ(deployment.workspaces.at(0).priority, 2);
}

TEST_F(FleetBuilderTest, NeverGoesBackToAnOlderDeployment) {
  Write("op/config", DeploymentText(7));
  Write("op/config", DeploymentText(5));
  Write("op/config", "not json");
  Remove("op/config");
  EXPECT_EQ(builder_.View()->routes->deployment().version,
            DeploymentVersion(7));
}

TEST_F(FleetBuilderTest, MalformedRecordsAreIgnored) {
  Write("servers/good", BackendText("10.0.0.1:1", "ready"));
  for (const char* value : {"", "{}", "[1]", "\xff\xfe",
                            R"({"service":3,"address":"10.0.0.1:2"})"}) {
    Write("servers/bad", value);
    EXPECT_EQ(Backends(), 1U) << value;
  }
  Write("servers/odd", BackendText("10.0.0.1:3", "sleeping"));
  EXPECT_EQ(Backends(), 1U);
  // A record that becomes unreadable is removed as well.
  Write("servers/good", "{");
  EXPECT_EQ(Backends(), 0U);
}

TEST_F(FleetBuilderTest, DrainingServersAndEvacuatedZonesAreNotUsed) {
  Write("servers/a", BackendText("10.0.0.1:1", "ready"));
  Write("servers/b", BackendText("10.0.0.2:1", "ready", "south"));
  Write("servers/a", BackendText("10.0.0.1:1", "draining"));
  EXPECT_EQ(Backends(), 1U);
  Write("op/evacuate/south", "{}");
  EXPECT_EQ(Backends(), 0U);
  Remove("op/evacuate/south");
  EXPECT_EQ(Backends(), 1U);
}

TEST_F(FleetBuilderTest, ADeletedKeyRemovesAServerAtOnceWhileSettled) {
  Write("servers/a", BackendText("10.0.0.1:1", "ready"));
  Remove("servers/a");
  EXPECT_EQ(Backends(), 0U);
}

TEST_F(FleetBuilderTest, ServersWhoseKeysExpiredInAnOutageAreRetained) {
  Write("servers/a", BackendText("10.0.0.1:1", "ready"));
  Write("servers/b", BackendText("10.0.0.2:1", "ready"));
  availability_ = StoreAvailability();
  availability_.OnAnswered(now_);
  Remove("servers/a");
  Remove("servers/b");
  EXPECT_EQ(Backends(), 2U);
  now_ += milliseconds(1'500);
  availability_.OnAnswered(now_);
  Write("servers/a", BackendText("10.0.0.1:1", "ready"));
  EXPECT_FALSE(builder_.OnTimer(replica_.revision(), availability_, now_));
  now_ += seconds(1);
  availability_.OnAnswered(now_);
  EXPECT_TRUE(builder_.OnTimer(replica_.revision(), availability_, now_));
  ASSERT_EQ(Backends(), 1U);
  EXPECT_EQ(builder_.View()->backends[0].id, InstanceId("a"));
}

TEST_F(FleetBuilderTest, AnAgentReportsTheSlowdownOfItsBackendServer) {
  Write("servers/a", BackendText("10.0.0.1:1", "ready"));
  const Member agent = {.id = InstanceId("agent"),
                        .role = MemberRole::kAgent,
                        .backend = Endpoint("10.0.0.1:1"),
                        .group = GroupName("g"),
                        .slowdown = 2.5};
  Write("members/agent", EncodeMember(agent));
  EXPECT_DOUBLE_EQ(builder_.View()->backends.at(0).slowdown, 2.5);
  Remove("members/agent");
  EXPECT_DOUBLE_EQ(builder_.View()->backends.at(0).slowdown, 1);
  EXPECT_EQ(builder_.View()->backends.at(0).group, GroupName("g"));
}

TEST_F(FleetBuilderTest, TheNewestRecordOfAnAddressIsUsed) {
  Write("servers/old", BackendText("10.0.0.1:1", "ready"));
  Write("servers/new", BackendText("10.0.0.1:1", "ready"));
  // A late heartbeat of the old server doesn't make its record the newest.
  Write("servers/old", BackendText("10.0.0.1:1", "ready"));
  ASSERT_EQ(Backends(), 1U);
  EXPECT_EQ(builder_.View()->backends[0].id, InstanceId("new"));
}

std::string HeartbeatText(const char* state, int started_ms, int heartbeat) {
  return R"({"service":"s","address":"10.0.0.1:1","zone":"north","version":"v1",)"
         R"("slots":12,"state":")" +
         std::string(state) + R"(","cold_remaining_ms":0,"sequence":)" +
         std::to_string(heartbeat) + R"(,"born":)" +
         std::to_string(started_ms) + "}";
}

// Guards against a heartbeat that was sent before the departure and written
// after it, and lists the backend server as ready again.
TEST_F(FleetBuilderTest, ALateHeartbeatDoesNotUndoADeparture) {
  Write("servers/a", HeartbeatText("ready", 1'000, 7));
  Write("servers/a", HeartbeatText("draining", 1'000, 9));
  Write("servers/a", HeartbeatText("ready", 1'000, 8));
  EXPECT_EQ(Backends(), 0U);
  Remove("servers/a");
  Write("servers/a", HeartbeatText("ready", 1'000, 8));
  EXPECT_EQ(Backends(), 0U) << "its key had been deleted";
  Write("servers/a", HeartbeatText("ready", 1'000, 10));
  EXPECT_EQ(Backends(), 1U) << "a newer heartbeat";
}

// Guards against a late heartbeat of an earlier start that replaces the state
// of a later start under the same id.
TEST_F(FleetBuilderTest, HeartbeatsOfAnEarlierStartAreIgnored) {
  Write("servers/a", HeartbeatText("ready", 1'000, 50));
  Write("servers/a", HeartbeatText("ready", 2'000, 1));
  Write("servers/a", HeartbeatText("draining", 2'000, 2));
  Write("servers/a", HeartbeatText("ready", 1'000, 51));
  EXPECT_EQ(Backends(), 0U);
  Write("servers/a", HeartbeatText("ready", 3'000, 1));
  Write("servers/a", HeartbeatText("draining", 2'000, 3));
  EXPECT_EQ(Backends(), 1U);
}

TEST_F(FleetBuilderTest, ADeploymentFromAPeerIsAppliedIfItIsNewer) {
  Write("op/config", DeploymentText(7));
  EXPECT_TRUE(builder_.ApplyDeployment(
      {.key = "op/config", .value = DeploymentText(9)}));
  EXPECT_FALSE(builder_.ApplyDeployment(
      {.key = "op/config", .value = DeploymentText(8)}));
  EXPECT_EQ(builder_.View()->version(), DeploymentVersion(9));
}

TEST(StoreReplica, ChangesMadeWhilePagesAreReadAreNotLost) {
  StoreReplica replica;
  const auto item = [](const char* key, std::uint64_t revision) {
    return StoreItem{.key = key, .value = "v", .revision = Revision(revision)};
  };
  replica.BeginListing();
  replica.OnPage({.items = {item("a", 1), item("b", 2)},
                  .has_more = true,
                  .revision = Revision(5)});
  // Between the pages, a is deleted at revision 6 and c is written at revision
  // 7.
  replica.OnPage({.items = {item("c", 7)}, .revision = Revision(7)});
  EXPECT_EQ(replica.revision(), Revision(5));
  replica.OnEvents({.events = {{.item = {.key = "a", .revision = Revision(6)},
                                .is_deleted = true},
                               {.item = item("c", 7)}},
                    .revision = Revision(7)});
  EXPECT_EQ(replica.Find("a"), nullptr);
  EXPECT_NE(replica.Find("c"), nullptr);
  EXPECT_EQ(replica.revision(), Revision(7));
}

TEST(StoreReplica, AnOlderEventChangesNothing) {
  StoreReplica replica;
  replica.OnEvents({.events = {{.item = {.key = "a",
                                         .value = "new",
                                         .revision = Revision(9)}}},
                    .revision = Revision(9)});
  const auto changed =
      replica.OnEvents({.events = {{.item = {.key = "a",
                                             .value = "old",
                                             .revision = Revision(4)}}},
                        .revision = Revision(9)});
  EXPECT_TRUE(changed.empty());
  EXPECT_EQ(replica.Find("a")->value, "new");
}

TEST(StoreReplica, AListingReportsDeletedKeys) {
  StoreReplica replica;
  replica.OnEvents({.events = {{.item = {.key = "a", .revision = Revision(1)}}},
                    .revision = Revision(1)});
  replica.BeginListing();
  EXPECT_NE(replica.Find("a"), nullptr);
  const auto changed = replica.OnPage({.items = {}, .revision = Revision(3)});
  EXPECT_EQ(changed, std::vector<std::string>{"a"});
  EXPECT_EQ(replica.Find("a"), nullptr);
}

}  // namespace
}  // namespace mangohold
