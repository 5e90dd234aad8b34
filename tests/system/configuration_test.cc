// Changes of the settings under store outages, lost answers, races, cuts and
// frozen processes.
#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "harness.h"

namespace mangohold::testing {
namespace {

const HttpFields kSales = {{"Mangohold-Workspace", "sales"}};
const HttpFields kLead = {{"Authorization", "Bearer lead"}};
constexpr char kOut[] = R"({"state": "out"})";
// The stated bound: a few seconds after an availability zone was taken out it
// receives no new work.
constexpr std::chrono::seconds kFewSeconds{3};

HttpResponse Book(const Site& site, int entry) {
  return Send(site.CallerAddress(entry), "POST",
              "/v1/services/bookings/viewings", "", kSales);
}

// Books through each entry in turn. The entry of the zone that has been out for
// longer than the address list's max-age refuses; all others serve.
void BookWithZoneOut(const Site& site, int entries, int entry_out) {
  for (int i = 0; i < 30; ++i) {
    const HttpResponse response = Book(site, i % entries);
    if (i % entries == entry_out) {
      EXPECT_EQ(FieldValue(response.fields, "Mangohold-Reason"), "zone_out");
    } else {
      EXPECT_EQ(response.status, 200);
    }
  }
}

nlohmann::json Status(const Site& site, int entry) {
  return nlohmann::json::parse(
      Send(site.OperatorAddress(entry), "GET", "/v1/status", "").body);
}

TEST(Configuration, AnOutageRefusesChangesAndStopsNoWork) {
  Site site({.entries = 3, .services = 3});
  site.Start();
  site.SetFaults(R"({"down": true})");
  // Longer than an agent works without any confirmation.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  for (int i = 0; i < 9; ++i) EXPECT_EQ(Book(site, i % 3).status, 200);
  EXPECT_EQ(site.PutDocument("/zones/suva", kOut), 503);
  site.SetFaults(R"({"down": false})");
  EXPECT_TRUE(
      WaitFor([&] { return site.PutDocument("/zones/suva", kOut) == 200; }));
}

TEST(Configuration, ALostAnswerIsSettledByReadingBack) {
  Site site({.entries = 1, .services = 1});
  site.Start();
  site.SetFaults(R"({"lose_answers": 1})");
  EXPECT_EQ(site.PutDocument("/zones/suva", kOut), 200);
  const auto document = nlohmann::json::parse(
      Send(site.OperatorAddress(0), "GET", "/v1/tree/zones/suva", "").body);
  EXPECT_NE(document["text"].get<std::string>().find("out"), std::string::npos);
}

TEST(Configuration, ARaceHasOneWinnerAndTellsTheLoser) {
  Site site({.entries = 2, .services = 1});
  site.Start();
  const std::string path = "/v1/tree/workspaces/new?if_revision=0";
  std::vector<HttpResponse> responses(2);
  std::vector<std::thread> operators(2);
  for (int i = 0; i < 2; ++i) {
    operators[i] = std::thread([&, i] {
      responses[i] = Send(site.OperatorAddress(i), "PUT", path,
                          "{\"weight\": " + std::to_string(i + 1) + "}", kLead);
    });
  }
  for (std::thread& thread : operators) thread.join();
  const int winner = responses[0].status == 200 ? 0 : 1;
  EXPECT_EQ(responses[winner].status, 200);
  EXPECT_EQ(responses[1 - winner].status, 409);
  const auto won = nlohmann::json::parse(responses[winner].body);
  const auto lost = nlohmann::json::parse(responses[1 - winner].body);
  EXPECT_EQ(won["revision"], lost["revision"]);
}

TEST(Configuration, ATokenOpensItsSubtreeOnly) {
  Site site({.entries = 1, .services = 1});
  site.Start();
  const HttpFields zones = {{"Authorization", "Bearer zones"}};
  EXPECT_EQ(Send(site.OperatorAddress(0), "PUT",
                 "/v1/tree/zones/new?if_revision=0", "{}", zones)
                .status,
            200);
  EXPECT_EQ(Send(site.OperatorAddress(0), "PUT",
                 "/v1/tree/workspaces/new?if_revision=0", "{}", zones)
                .status,
            403);
  const HttpResponse invalid =
      Send(site.OperatorAddress(0), "PUT", "/v1/tree/zones/other?if_revision=0",
           "{\n\"state\": 1,\n\"x\": 2}", kLead);
  EXPECT_EQ(invalid.status, 422);
  const std::string detail = nlohmann::json::parse(invalid.body)["detail"];
  EXPECT_NE(detail.find("/zones/other:2: /state"), std::string::npos);
  EXPECT_NE(detail.find("/zones/other:3: /x"), std::string::npos);
}

// Two of three entries can't reach the store; the third changes it.
TEST(Configuration, AZoneGoesOutWhileTheStoreIsDownForSome) {
  Site site({.entries = 3, .services = 3});
  site.Start();
  site.SetFaults(R"({"cut": ["entry-1", "entry-2"]})");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  EXPECT_EQ(site.PutDocument("/zones/nadi", kOut), 200);
  std::this_thread::sleep_for(kFewSeconds);
  const std::size_t runs = site.RunsAt(1);
  BookWithZoneOut(site, /*entries=*/3, /*entry_out=*/1);
  EXPECT_EQ(site.RunsAt(1), runs);
}

// The frozen entry wakes with its old view and sends to the zone at once.
TEST(Configuration, AnEntryFrozenAcrossAChangeBringsNoWorkToTheZone) {
  Site site({.entries = 3, .services = 3});
  site.Start();
  site.entry(1).Signal(SIGSTOP);
  EXPECT_EQ(site.PutDocument("/zones/nadi", kOut), 200);
  std::this_thread::sleep_for(kFewSeconds);
  const std::size_t runs = site.RunsAt(1);
  std::vector<std::thread> callers(10);
  for (std::thread& thread : callers) {
    thread = std::thread([&site] { Book(site, 1); });
  }
  site.entry(1).Signal(SIGCONT);
  for (std::thread& thread : callers) thread.join();
  EXPECT_EQ(site.RunsAt(1), runs);
}

// The platform's list still shows the dead entry; the others notice by
// themselves and no longer send callers there.
TEST(Membership, ADeadEntryLeavesTheAddressListBeforeThePlatformNotices) {
  Site site({.entries = 3, .services = 1});
  site.Start();
  const auto listed = [&site] {
    return nlohmann::json::parse(
               Send(site.CallerAddress(0), "GET", "/v1/entries", "")
                   .body)["entries"]
        .size();
  };
  EXPECT_EQ(listed(), 3U);
  site.entry(2).Kill();
  EXPECT_TRUE(WaitFor([&] { return listed() == 2; }));
  site.StartEntry(2);
  EXPECT_TRUE(WaitFor([&] { return listed() == 3; }));
}

TEST(Configuration, AKilledWatcherIsReplaced) {
  Site site({.zones = {"suva"}, .entries = 4, .services = 1});
  site.Start();
  int killed = -1;
  for (int i = 1; i < 4 && killed < 0; ++i) {
    if (Status(site, i)["watches_store"]) killed = i;
  }
  ASSERT_GE(killed, 0);
  site.entry(killed).Kill();
  EXPECT_EQ(site.PutDocument("/workspaces/new", "{}"), 200);
  for (int i = 0; i < 4; ++i) {
    if (i == killed) continue;
    EXPECT_TRUE(WaitFor([&] {
      return Send(site.OperatorAddress(i), "GET", "/v1/tree/workspaces/new", "")
                 .status == 200;
    }));
  }
}

// It learns the settings and the list from the entries that its settings name.
TEST(Configuration, AProcessThatStartsDuringAnOutageLearnsFromItsPeers) {
  Site site({.entries = 3, .services = 1});
  site.Start();
  site.SetFaults(R"({"down": true})");
  site.entry(2).Kill();
  site.agent(0).Kill();
  site.StartEntry(2);
  site.StartAgent(0);
  EXPECT_TRUE(WaitFor([&] { return Book(site, 2).status == 200; }));
  // After the quarantine it counts towards a majority like any other.
  EXPECT_TRUE(WaitFor([&] {
    const auto status = Status(site, 2);
    return status["qualified"] && status["hears_majority"];
  }));
}

TEST(Configuration, AStoreThatGoesBackTakesNothingBack) {
  Site site({.entries = 2, .services = 3});
  site.Start();
  EXPECT_EQ(site.PutDocument("/zones/nadi", kOut), 200);
  const auto revision = Status(site, 0)["revision"];
  site.SetFaults(R"({"restore_old": true})");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(Status(site, i)["revision"], revision);
    const auto list = nlohmann::json::parse(
        Send(site.CallerAddress(i), "GET", "/v1/entries", "").body);
    EXPECT_EQ(list["entries"].size(), 1U);
  }
  BookWithZoneOut(site, /*entries=*/2, /*entry_out=*/1);
  EXPECT_EQ(site.RunsAt(1), 0U);
}

// The operators' command line, by its exit codes.
TEST(Ctl, TellsAcceptedRefusedAndInvalidApart) {
  Site site({.entries = 3, .services = 3});
  site.Start();
  std::string addresses;
  for (int i = 0; i < 3; ++i) {
    addresses += (i == 0 ? "" : ",") + site.OperatorAddress(i).value();
  }
  const auto run = [&](std::vector<std::string> words,
                       const std::string& token) {
    std::vector<std::string> command = {
        std::string(MANGOHOLD_BINARY_DIR) + "/mangoholdctl", "--operator",
        addresses, "--token", token};
    command.insert(command.end(), words.begin(), words.end());
    Process process(command, site.log_directory() + "/ctl.log");
    return process.WaitForExit(std::chrono::seconds(20));
  };
  const std::string file = site.log_directory() + "/document.json";
  std::ofstream(file) << "{\"weight\": \"heavy\"}";
  EXPECT_EQ(run({"zone", "out", "nadi", "--wait"}, "lead"), 0);
  EXPECT_EQ(run({"zone", "in", "nadi", "--wait"}, "zones"), 0);
  EXPECT_EQ(run({"zone", "in", "nadi"}, "wrong"), 1);
  EXPECT_EQ(run({"set", "/workspaces/sales", "-f", file}, "lead"), 1);
  EXPECT_EQ(run({"validate", "/workspaces/sales", "-f", file}, "lead"), 65);
  EXPECT_EQ(run({"set", "/workspaces/sales", "-f", file, "--if-revision", "1"},
                "zones"),
            1);
  EXPECT_EQ(run({"diff", "/workspaces/sales", "-f", file}, "lead"), 0);
  EXPECT_EQ(run({"history", "/zones/nadi"}, "lead"), 0);
  EXPECT_EQ(run({"status"}, "lead"), 0);
  EXPECT_EQ(run({"dance"}, "lead"), 64);
}

// An entry of a zone that is out serves on for the list's max-age, then refuses
// and names where others are to be had.
TEST(Configuration, AnEntryOfAZoneThatIsOutRefusesAfterTheListsMaxAge) {
  Site site({.entries = 3, .services = 3});
  site.Start();
  EXPECT_EQ(site.PutDocument("/zones/suva", kOut), 200);
  EXPECT_TRUE(WaitFor([&] {
    return FieldValue(Book(site, 0).fields, "Mangohold-Reason") == "zone_out";
  }));
  EXPECT_EQ(Book(site, 1).status, 200);
  EXPECT_EQ(site.PutDocument("/zones/suva", R"({"state": "in"})"), 200);
  EXPECT_TRUE(WaitFor([&] { return Book(site, 0).status == 200; }));
}

}  // namespace
}  // namespace mangohold::testing
