#include "core/machine_memory.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>

#include "core/findings.h"
#include "core/process_settings.h"

namespace mangohold {
namespace {

namespace fs = std::filesystem;

constexpr std::int64_t kMegabyte = 1 << 20;
constexpr std::int64_t kGigabyte = 1 << 30;

// What a system reports, in a folder of the test's own.
class MachineMemory : public ::testing::Test {
 protected:
  MachineMemory() {
    const auto* test = ::testing::UnitTest::GetInstance()->current_test_info();
    root_ = fs::path(::testing::TempDir()) /
            (std::string("machine_memory_") + test->name());
    fs::remove_all(root_);
    files_ = {.machine = root_ / "meminfo",
              .groups = root_ / "cgroup",
              .version1 = root_ / "v1",
              .version2 = {root_ / "v2", root_ / "v2" / "unified"}};
  }
  ~MachineMemory() override { fs::remove_all(root_); }

  void Write(const std::string& file, const std::string& text) const {
    const fs::path path = root_ / file;
    fs::create_directories(path.parent_path());
    std::ofstream(path) << text;
  }
  ReportedMemory Read() const { return ReadReportedMemory(files_); }

 private:
  fs::path root_;
  MemoryFiles files_;
};

TEST_F(MachineMemory, ReadsTheTotalOfTheMachine) {
  Write("meminfo",
        "MemFree:         1024 kB\nMemTotal:        4194304 kB\n"
        "SwapTotal:       8 kB\n");
  EXPECT_EQ(Read().machine_bytes, 4 * kGigabyte);
  EXPECT_EQ(Read().group_bytes, std::nullopt);
}

// Guards against a limit above the own group that is passed over.
TEST_F(MachineMemory, TakesTheLeastOfTheGroupsAboveInVersion2) {
  Write("cgroup", "0::/site/node/entry\n");
  Write("v2/site/node/entry/memory.max", "max\n");
  Write("v2/site/node/memory.max", "268435456\n");
  Write("v2/site/memory.max", "1073741824\n");
  EXPECT_EQ(Read().group_bytes, 256 * kMegabyte);
  Write("v2/site/node/entry/memory.max", "134217728\n");
  EXPECT_EQ(Read().group_bytes, 128 * kMegabyte);
}

TEST_F(MachineMemory, FindsVersion2BesideVersion1) {
  Write("cgroup", "4:cpu,memory:/\n0::/entry\n");
  Write("v2/unified/entry/memory.max", "134217728\n");
  EXPECT_EQ(Read().group_bytes, 128 * kMegabyte);
}

TEST_F(MachineMemory, ReadsTheLimitOfVersion1) {
  Write("cgroup", "9:name=systemd:/\n4:cpu,memory:/site/entry\n0::/\n");
  Write("v1/memory.limit_in_bytes", "9223372036854771712\n");
  Write("v1/site/entry/memory.limit_in_bytes", "536870912\n");
  EXPECT_EQ(Read().group_bytes, 512 * kMegabyte);
}

// Guards against a container whose group is mounted as the root, while the path
// is the host's.
TEST_F(MachineMemory, ReadsTheMountedRootForAPathOfTheHost) {
  Write("cgroup", "4:memory:/host/container\n0::/../elsewhere\n");
  Write("v1/memory.limit_in_bytes", "536870912\n");
  Write("v2/memory.max", "268435456\n");
  EXPECT_EQ(Read().group_bytes, 256 * kMegabyte);
}

// Guards against another controller's group that is taken for memory's.
TEST_F(MachineMemory, IgnoresGroupsOfOtherControllers) {
  Write("cgroup", "5:memory_like:/a\n9:name=systemd:/a\nno colons\n4:memory\n");
  Write("v1/a/memory.limit_in_bytes", "1048576\n");
  Write("v2/a/memory.max", "1048576\n");
  EXPECT_EQ(Read().group_bytes, std::nullopt);
}

// Guards against "no limit" that is read as a number, of either version.
TEST_F(MachineMemory, NoLimitIsNoFigure) {
  Write("cgroup", "4:memory:/\n0::/\n");
  Write("v1/memory.limit_in_bytes", "9223372036854771712\n");
  Write("v2/memory.max", "max\n");
  EXPECT_EQ(Read().group_bytes, std::nullopt);
}

TEST_F(MachineMemory, UnreadableFilesAreNoFigures) {
  EXPECT_EQ(Read().machine_bytes, std::nullopt);
  EXPECT_EQ(Read().group_bytes, std::nullopt);
  Write("meminfo", "MemTotal: much kB\n");
  Write("cgroup", "4:memory:/\n0::/\n");
  Write("v1/memory.limit_in_bytes", "99999999999999999999999\n");
  Write("v2/memory.max", "-1\n");
  EXPECT_EQ(Read().machine_bytes, std::nullopt);
  EXPECT_EQ(Read().group_bytes, std::nullopt);
}

// Guards against processes that take memory without a limit because nobody
// stated their machine's.
TEST(MemoryInForce, IsTheLeastReportWhereNoneIsStated) {
  const ReportedMemory both = {.machine_bytes = 4 * kGigabyte,
                               .group_bytes = 256 * kMegabyte};
  EXPECT_EQ(MemoryInForceMb({}, both), 256);
  EXPECT_EQ(MemoryInForceMb({}, {.machine_bytes = 200 * kMegabyte,
                                 .group_bytes = 256 * kMegabyte}),
            200);
  EXPECT_EQ(MemoryInForceMb({}, {.machine_bytes = 4 * kGigabyte}), 4'096);
  EXPECT_EQ(MemoryInForceMb({}, {.group_bytes = 256 * kMegabyte}), 256);
}

TEST(MemoryInForce, IsTheStatedFigureWhateverIsReported) {
  const ReportedMemory reported = {.machine_bytes = 256 * kMegabyte,
                                   .group_bytes = 128 * kMegabyte};
  EXPECT_EQ(MemoryInForceMb({.mb = 112}, reported), 112);
  EXPECT_EQ(MemoryInForceMb({.mb = 512}, reported), 512);
}

// Guards against a system without readable reports, where the process would
// have no limit.
TEST(MemoryInForce, IsTheSmallestMachineWhereNothingIsReported) {
  EXPECT_EQ(MemoryInForceMb({}, {}), 112);
}

// Guards against a group's limit under 1 MB that is rounded to "no limit".
TEST(MemoryInForce, IsNeverRoundedToNoLimit) {
  EXPECT_EQ(MemoryInForceMb({}, {.group_bytes = 4'096}), 1);
  EXPECT_EQ(MemoryInForceMb({}, {.group_bytes = 0}), 1);
}

TEST(MemoryInForce, HasNoLimitOnlyWhereAnOperatorSaysSo) {
  EXPECT_EQ(
      MemoryInForceMb({.is_unlimited = true}, {.machine_bytes = 4 * kGigabyte}),
      0);
}

constexpr char kAgent[] =
    R"("instance": "a", "zone": "z", "platform_url": "http://127.0.0.1:1",
       "service": "s", "peer_address": "127.0.0.1:2",
       "admin_address": "127.0.0.1:3", "backend_url": "http://127.0.0.1:4")";

AgentSettings Parse(const std::string& memory, Findings& findings) {
  return ParseAgentSettings("agent.json", "{" + memory + kAgent + "}",
                            findings);
}

TEST(MemoryInForce, UnlimitedIsASettingOfItsOwn) {
  Findings findings;
  EXPECT_FALSE(Parse(R"("memory_mb": 0, )", findings).memory.is_unlimited);
  EXPECT_TRUE(
      Parse(R"("unlimited_memory": true, )", findings).memory.is_unlimited);
  EXPECT_TRUE(findings.empty()) << findings.ToString();
}

// Guards against a stated figure that is silently given up.
TEST(MemoryInForce, UnlimitedBesideAFigureIsRejected) {
  Findings findings;
  Parse(R"("unlimited_memory": true, "memory_mb": 112, )", findings);
  EXPECT_FALSE(findings.empty());
}

}  // namespace
}  // namespace mangohold
