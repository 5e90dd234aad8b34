#include "store/member.h"

#include <gtest/gtest.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "core/process_settings.h"

namespace mangohold {
namespace {

// As the previous release writes it.
constexpr char kPreviousRecord[] =
    R"({"admin":"10.0.0.1:90","backend":"","caller":"10.0.0.1:80",)"
    R"("group":"","id":"a","pace":1.0,"peer":"10.0.0.1:70","role":0,)"
    R"("zone":"north"})";

Member Entry(double cpu_share) {
  return {.id = InstanceId("a"),
          .role = MemberRole::kEntry,
          .zone = ZoneName("north"),
          .caller = Endpoint("10.0.0.1:80"),
          .peer = Endpoint("10.0.0.1:70"),
          .admin = Endpoint("10.0.0.1:90"),
          .cpu_share = cpu_share};
}

std::string RecordWith(const std::string& cpu_share) {
  std::string record = kPreviousRecord;
  record.insert(1, "\"cpu_share\":" + cpu_share + ",");
  return record;
}

// Guards against a capacity that is lost between two entries.
TEST(Member, CpuShareSurvivesItsEncoding) {
  const auto member = DecodeMember(EncodeMember(Entry(0.17)));
  ASSERT_TRUE(member);
  EXPECT_EQ(member.value_or(Member()).cpu_share, 0.17);
}

// Guards against entries of the previous release that are taken for gone.
TEST(Member, RecordOfThePreviousReleaseIsRead) {
  const auto member = DecodeMember(kPreviousRecord);
  ASSERT_TRUE(member);
  const Member read = member.value_or(Member());
  EXPECT_EQ(read.caller, Endpoint("10.0.0.1:80"));
  EXPECT_EQ(read.cpu_share, 0);
}

// Guards against records that the previous release can't read: it needs all its
// members with their types, and ignores others.
TEST(Member, PreviousReleaseReadsTheRecord) {
  EXPECT_EQ(EncodeMember(Entry(0)), kPreviousRecord);
  auto json = nlohmann::json::parse(EncodeMember(Entry(0.17)));
  EXPECT_EQ(json.erase("cpu_share"), 1);
  EXPECT_EQ(json.dump(), kPreviousRecord);
}

// Guards against an entry that vanishes from the directory, or takes all
// requests, because of an absurd share in its record.
TEST(Member, AbsurdCpuShareIsUnknown) {
  for (const std::string share :
       {"-1", "-0.17", "0", "1e300", "1001", "1e-300", "18446744073709551615",
        "null", "true", "\"0.17\"", "[0.17]", "{}"}) {
    const auto member = DecodeMember(RecordWith(share));
    ASSERT_TRUE(member) << share;
    EXPECT_EQ(member.value_or(Member()).cpu_share, 0) << share;
  }
  using Limits = std::numeric_limits<double>;
  for (const double share : {Limits::quiet_NaN(), Limits::infinity(), -1.0}) {
    EXPECT_EQ(EncodeMember(Entry(share)), kPreviousRecord) << share;
  }
}

// Guards against a number that no double holds, which ends the parsing of the
// whole record: it must be invalid, not end the process.
TEST(Member, RecordWithANumberBeyondADoubleIsInvalid) {
  EXPECT_FALSE(DecodeMember(RecordWith("1e999")));
}

// Guards against a settings file of the previous release that doesn't start,
// and against a share that is silently misread.
TEST(Member, CpuShareIsAnOptionalSetting) {
  const std::string common =
      R"("instance":"a","zone":"z","platform_url":"http://p",)"
      R"("peer_address":"10.0.0.1:1","metrics_address":"10.0.0.1:2",)"
      R"("caller_address":"10.0.0.1:3","ready_address":"10.0.0.1:4",)"
      R"("directory_address":"10.0.0.1:5")";
  const auto parse = [&common](const std::string& more, Findings& findings) {
    return ParseDirectEntrySettings("f", "{" + common + more + "}", findings);
  };
  Findings findings;
  EXPECT_EQ(parse("", findings).cpu_share, 0);
  EXPECT_EQ(parse(R"(,"cpu_share":0)", findings).cpu_share, 0);
  EXPECT_EQ(parse(R"(,"cpu_share":0.17)", findings).cpu_share, 0.17);
  EXPECT_TRUE(findings.empty());
  parse(R"(,"cpu_share":-1)", findings);
  EXPECT_FALSE(findings.empty());
}

}  // namespace
}  // namespace mangohold
