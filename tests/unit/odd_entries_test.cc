// Entries of other writers among those of the backend servers.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "platform/schema.h"
#include "store/backend_record.h"
#include "store/fleet_builder.h"
#include "store/store_replica.h"

namespace mangohold {
namespace {

constexpr int kDepth = 100'000;

std::string Entry(const std::map<std::string, std::string>& changed) {
  std::map<std::string, std::string> members = {{"service", R"("s")"},
                                                {"address", R"("10.0.0.1:80")"},
                                                {"zone", R"("north")"},
                                                {"version", R"("v1")"},
                                                {"slots", "12"},
                                                {"state", R"("ready")"},
                                                {"cold_remaining_ms", "0"},
                                                {"sequence", "4"}};
  for (const auto& [name, value] : changed) members[name] = value;
  std::string text;
  for (const auto& [name, value] : members) {
    text.append(text.empty() ? "{\"" : ",\"");
    text.append(name).append("\":").append(value);
  }
  return text + "}";
}

std::string Nested(int depth) {
  return std::string(static_cast<std::size_t>(depth), '[') +
         std::string(static_cast<std::size_t>(depth), ']');
}

// A record that the adapter reads and the product takes for usable.
absl::StatusOr<BackendRecord> Decode(const std::string& text) {
  auto record = platform::Schema().decode_backend(InstanceId("i"), text);
  if (!record.ok()) return record;
  const absl::Status check = CheckBackendRecord(*record);
  if (!check.ok()) return check;
  return record;
}

TEST(OddEntries, ASoundEntryIsRead) {
  const auto record = Decode(Entry({}));
  ASSERT_TRUE(record.ok());
  EXPECT_EQ(record->slots, 12);
}

// Guards against one odd entry that is used, or ends the process.
TEST(OddEntries, AnOddEntryNamesNoBackendServer) {
  const std::string long_text = '"' + std::string(1'000'000, 'x') + '"';
  const std::vector<std::pair<std::string, std::vector<std::string>>> odd = {
      {"slots",
       {"1e300", "-1", "0", "1e999", "4294967297", "99999999999999999999",
        "\"12\"", "null", "[]", Nested(kDepth)}},
      {"cold_remaining_ms",
       {"1e300", "-1", "-1e300", "9e18", "\"0\"", Nested(kDepth)}},
      {"address",
       {R"("10.0.0.1:0")", R"("10.0.0.1:65536")", R"("10.0.0.1:99999999999")",
        R"("10.0.0.1:-1")", R"("10.0.0.1")", R"(":80")", R"("host:80")",
        R"("10.0.0.1:80\r\nX: y")", R"("10.0.0.1\r\n:80")", R"("")", "80",
        long_text, Nested(kDepth)}},
      {"zone", {"7", R"("a\r\nb")", long_text, Nested(kDepth)}},
      {"service", {"7", R"("a\r\nb")", long_text, Nested(kDepth)}},
      {"state", {R"("sleeping")", "1", long_text, Nested(kDepth)}}};
  for (const auto& [name, values] : odd) {
    for (const std::string& value : values) {
      EXPECT_FALSE(Decode(Entry({{name, value}})).ok())
          << name << " " << value.substr(0, 40);
    }
  }
  for (const std::string& text :
       {std::string(), std::string("nothing"), std::string("\xff\xfe{}"),
        std::string("[]"), Nested(kDepth), Entry({}).substr(0, 20),
        std::string(kDepth, '['), std::string("{\"zone\":\"\xc3\x28\"}")}) {
    EXPECT_FALSE(Decode(text).ok()) << text.substr(0, 40);
  }
}

// Members that this version doesn't know may hold anything.
TEST(OddEntries, UnknownMembersAreSkipped) {
  EXPECT_TRUE(Decode(Entry({{"new", Nested(kDepth)}})).ok());
  EXPECT_TRUE(Decode(Entry({{"born", "1e300"}})).ok());
}

class OddEntriesBuilder : public testing::Test {
 protected:
  void Write(const std::string& key, const std::string& value) {
    revision_ = revision_.Next();
    const auto keys =
        replica_.OnEvents({.events = {{.item = {.key = key,
                                                .value = value,
                                                .revision = revision_,
                                                .created = revision_}}},
                           .revision = revision_});
    builder_.OnChanged(keys, replica_, availability_,
                       TimePoint() + std::chrono::seconds(100));
  }

  int ignored_ = 0;
  StoreReplica replica_;
  FleetBuilder builder_{platform::Schema(),
                        {.on_ignored = [this] { ++ignored_; }}};
  Revision revision_;
  StoreAvailability availability_{
      {.outage_threshold = std::chrono::hours(10'000)}};
};

TEST_F(OddEntriesBuilder, TheOtherEntriesHold) {
  Write("servers/good", Entry({}));
  Write("servers/bad", Entry({{"slots", "1e300"}}));
  Write("servers/bad", Entry({{"slots", "-5"}}));
  Write("servers/a\r\nX-Evil: 1", Entry({{"address", R"("10.0.0.2:80")"}}));
  Write("servers/later", Entry({{"address", R"("10.0.0.3:80")"}}));
  EXPECT_EQ(builder_.View()->backends.size(), 2U);
  EXPECT_EQ(ignored_, 3);
}

// Guards against an entry of an unknown service that takes the address of a
// sound backend server, since it is newer.
TEST_F(OddEntriesBuilder, AnUnknownServiceTakesNoAddress) {
  Write("op/config", R"({"version":1,"routes":[],"services":[{"name":"s"}]})");
  Write("servers/good", Entry({}));
  Write("servers/odd", Entry({{"service", R"("nonsense")"}}));
  const FleetViewPtr view = builder_.View();
  ASSERT_EQ(view->backends.size(), 1U);
  EXPECT_EQ(view->backends[0].id, InstanceId("good"));
}

}  // namespace
}  // namespace mangohold
