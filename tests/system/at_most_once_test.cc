// Bookings under kills, freezes and cut links: what callers were told against
// the bookings applications' own record of runs.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "core/random.h"
#include "harness.h"

namespace mangohold::testing {
namespace {

constexpr int kInFlight = 24;
constexpr int kServices = 3;
constexpr int kEntries = 3;

// Makes bookings, a bounded number at a time, until all have ended.
class Bookings {
 public:
  Bookings(const Site& site, int count)
      : count_(count),
        client_(loop_, {.entries = site.CallerAddresses(), .seed = 7}) {}

  void Run() {
    for (int i = 0; i < kInFlight; ++i) Next();
    loop_.Run();
  }

  const std::map<std::string, ClientResult>& results() const {
    return results_;
  }
  bool is_done() const { return done_ == count_; }

 private:
  void Next() {
    if (started_ == count_) return;
    const std::string id = "booking-" + std::to_string(started_++);
    client_.Call({.service = ServiceName("bookings"),
                  .workspace = WorkspaceName("sales"),
                  .path = "/viewings?delay_ms=60",
                  .body = "house of " + id,
                  .request = RequestId(id),
                  .deadline = Millis(6'000)},
                 nullptr, [this, id](ClientResult result) {
                   results_.emplace(id, std::move(result));
                   if (++done_ == count_) return loop_.Stop();
                   Next();
                 });
  }

  int count_;
  EventLoop loop_;
  CallerClient client_;
  std::map<std::string, ClientResult> results_;
  int started_ = 0;
  std::atomic<int> done_ = 0;
};

// The runs of each request, summed over the applications.
std::map<std::string, int> RecordedRuns(const Site& site) {
  std::map<std::string, int> runs;
  for (int i = 0; i < kServices; ++i) {
    const auto record = nlohmann::json::parse(
        FetchAndWait({.url = site.BackendUrl(i) + "/standin/runs"}).body);
    for (const auto& [id, count] : record.items()) {
      runs[id] += count.get<int>();
    }
  }
  return runs;
}

enum class Blow {
  kKillAgent,
  kKillEntry,
  kFreezeAgent,
  kFreezeEntry,
  kCutRelay,
  kStallRelay,
  kCount
};

// One blow at a process or link that the seed chooses. The record keepers
// themselves are spared.
void Strike(Site& site, Blow blow, Random& random) {
  using std::this_thread::sleep_for;
  const int agent = static_cast<int>(random.Below(kServices));
  const int entry = static_cast<int>(random.Below(kEntries));
  switch (blow) {
    case Blow::kKillAgent:
      site.agent(agent).Kill();
      site.StartAgent(agent);
      break;
    case Blow::kKillEntry:
      site.entry(entry).Kill();
      site.StartEntry(entry);
      break;
    case Blow::kFreezeAgent:
      site.agent(agent).Signal(SIGSTOP);
      sleep_for(Millis(random.Below(400)));
      site.agent(agent).Signal(SIGCONT);
      break;
    case Blow::kFreezeEntry:
      site.entry(entry).Signal(SIGSTOP);
      sleep_for(Millis(random.Below(400)));
      site.entry(entry).Signal(SIGCONT);
      break;
    case Blow::kCutRelay:
      site.relay(agent).Cut();
      sleep_for(Millis(random.Below(100)));
      site.relay(agent).Mend();
      break;
    default:
      site.relay(agent).Stall();
      sleep_for(Millis(random.Below(8) == 0 ? 4'000 : random.Below(300)));
      site.relay(agent).Mend();
  }
}

void CheckAgainstRecord(const std::map<std::string, ClientResult>& results,
                        const std::map<std::string, int>& runs) {
  std::map<Outcome, int> outcomes;
  for (const auto& [id, result] : results) {
    const auto it = runs.find(id);
    const int count = it == runs.end() ? 0 : it->second;
    ++outcomes[result.outcome];
    EXPECT_LE(count, 1) << id << " ran twice";
    if (result.outcome == Outcome::kNotRun) {
      EXPECT_EQ(count, 0) << id
                          << " was reported as not run: " << result.reason;
    }
    if (result.outcome == Outcome::kAnswered) {
      EXPECT_EQ(count, 1) << id;
      const auto body = nlohmann::json::parse(result.body, nullptr, false);
      EXPECT_EQ(body.value("request", ""), id);
      EXPECT_EQ(body.value("body", ""), "house of " + id);
    }
  }
  std::printf("answered %d, not run %d, unknown %d\n",
              outcomes[Outcome::kAnswered], outcomes[Outcome::kNotRun],
              outcomes[Outcome::kUnknown]);
}

// Makes `count` bookings while `next_blow` strikes, and checks what callers
// were told.
void BookUnderBlows(int count, const std::function<Blow(Random&)>& next_blow) {
  Site site({.entries = kEntries, .services = kServices, .has_relays = true});
  site.Start();
  Bookings bookings(site, count);
  std::thread caller([&] { bookings.Run(); });
  Random random(11);
  while (!bookings.is_done()) {
    Strike(site, next_blow(random), random);
    std::this_thread::sleep_for(Millis(20 + random.Below(60)));
  }
  caller.join();
  // Whatever is still under way gets its chance to run.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  CheckAgainstRecord(bookings.results(), RecordedRuns(site));
}

TEST(AtMostOnce, HoldsUnderKillsFreezesAndCuts) {
  constexpr int kBookings = 1'000;
  BookUnderBlows(kBookings, [](Random& random) {
    return static_cast<Blow>(random.Below(static_cast<int>(Blow::kCount)));
  });
}

// Entries that have just started refuse at their door what may be running
// through another one.
TEST(AtMostOnce, HoldsWhileEntriesRestart) {
  constexpr int kBookings = 300;
  BookUnderBlows(kBookings, [](Random&) { return Blow::kKillEntry; });
}

// The application takes the request and closes the connection unanswered. A
// client library that sends again on a fresh connection would run it twice.
TEST(AtMostOnce, HoldsWhenTheApplicationDropsConnections) {
  Site site({.services = 1});
  site.Start();
  for (int i = 0; i < 20; ++i) {
    const HttpFields fields = {
        {"Mangohold-Workspace", "sales"},
        {"Mangohold-Request-Id", "booking-" + std::to_string(i)}};
    // A whole answer first, so that a connection could be reused.
    EXPECT_EQ(Send(site.CallerAddress(0), "POST",
                   "/v1/services/bookings/viewings", "", fields)
                  .status,
              200);
    const HttpResponse dropped =
        Send(site.CallerAddress(0), "POST",
             "/v1/services/bookings/viewings?drop=1", "",
             {{"Mangohold-Workspace", "sales"},
              {"Mangohold-Request-Id", "dropped-" + std::to_string(i)}});
    EXPECT_EQ(FieldValue(dropped.fields, "Mangohold-Outcome"), "unknown");
    EXPECT_EQ(FieldValue(dropped.fields, "Mangohold-Reason"), "backend_failed");
  }
  const auto record = nlohmann::json::parse(
      FetchAndWait({.url = site.BackendUrl(0) + "/standin/runs"}).body);
  for (const auto& [id, count] : record.items()) EXPECT_EQ(count, 1) << id;
  EXPECT_EQ(record.size(), 40U);
}

// Makes one booking that takes `delay_ms`, to its end.
ClientResult Book(const Site& site, int delay_ms) {
  EventLoop loop;
  CallerClient client(loop, {.entries = site.CallerAddresses(), .seed = 3});
  ClientResult result;
  client.Call({.service = ServiceName("bookings"),
               .workspace = WorkspaceName("sales"),
               .path = "/viewings?delay_ms=" + std::to_string(delay_ms),
               .body = "house 17",
               .request = RequestId("booking")},
              nullptr, [&](ClientResult done) {
                result = std::move(done);
                loop.Stop();
              });
  loop.Run();
  return result;
}

// The entry dies while the booking runs. The client presents its ticket through
// the other entry until the agent has the answer, which is that of the one run.
TEST(AtMostOnce, AResubmissionGetsTheAnswerOfTheFirstRun) {
  Site site({.entries = 2, .services = 1});
  site.Start();
  std::thread killer([&site] {
    WaitFor([&site] {
      return FetchAndWait({.url = site.BackendUrl(0) + "/standin/runs"})
                 .body.find("booking") != std::string::npos;
    });
    // The entry that has the request in progress.
    const bool is_first = Metric(site.Metrics(0), "mangohold_in_flight") == 1;
    site.entry(is_first ? 0 : 1).Kill();
  });
  const ClientResult result = Book(site, 1500);
  killer.join();
  EXPECT_EQ(result.outcome, Outcome::kAnswered) << result.reason;
  EXPECT_GT(result.submissions, 1);
  EXPECT_EQ(nlohmann::json::parse(result.body)["run"], 1);
}

// An entry that refuses a submission at its door can't know what became of the
// ticket through another entry. Entry 1 is at its share of the workspace's
// limit while the booking runs through entry 0.
TEST(AtMostOnce, ARefusalAtTheDoorPromisesNothingUnderATicket) {
  Site site({.entries = 2,
             .services = 1,
             .workspace_document = R"({"max_in_flight": 2})"});
  site.Start();
  const HttpFields caller = {{"Mangohold-Workspace", "sales"}};
  const HttpResponse granted =
      Send(site.CallerAddress(0), "POST", "/v1/tickets",
           R"({"service": "bookings"})", caller);
  ASSERT_EQ(granted.status, 200);
  const std::string ticket(FieldValue(granted.fields, "Mangohold-Ticket"));
  const auto book = [&](int entry, const std::string& id,
                        const std::string& delay, const std::string& under) {
    HttpFields fields = caller;
    fields.push_back({"Mangohold-Request-Id", id});
    if (!under.empty()) fields.push_back({"Mangohold-Ticket", under});
    return Send(site.CallerAddress(entry), "POST",
                "/v1/services/bookings/viewings?delay_ms=" + delay, "house",
                fields);
  };
  std::thread occupant([&] { book(1, "other", "1500", ""); });
  std::thread first([&] { book(0, "booking", "1500", ticket); });
  ASSERT_TRUE(WaitFor([&] {
    const std::string runs =
        FetchAndWait({.url = site.BackendUrl(0) + "/standin/runs"}).body;
    return runs.find("booking") != std::string::npos &&
           runs.find("other") != std::string::npos;
  }));
  const HttpResponse refused = book(1, "booking", "1500", ticket);
  EXPECT_EQ(FieldValue(refused.fields, "Mangohold-Reason"), "workspace_limit");
  EXPECT_EQ(FieldValue(refused.fields, "Mangohold-Outcome"), "unknown");
  // Without a ticket nothing of the request is anywhere.
  const HttpResponse plain = book(1, "plain", "0", "");
  EXPECT_EQ(FieldValue(plain.fields, "Mangohold-Outcome"), "not_run");
  first.join();
  occupant.join();
}

// The booking runs through entry 0, which dies; entry 1 refuses at its door at
// first. The client presents the same ticket until it has the one run's answer.
TEST(AtMostOnce, AClientKeepsItsTicketAfterARefusalAtTheDoor) {
  Site site({.entries = 2,
             .services = 1,
             .workspace_document = R"({"max_in_flight": 2})"});
  site.Start();
  const auto runs = [&site](const std::string& id) {
    return FetchAndWait({.url = site.BackendUrl(0) + "/standin/runs"})
               .body.find(id) != std::string::npos;
  };
  std::thread occupant([&] {
    Send(site.CallerAddress(1), "POST",
         "/v1/services/bookings/viewings?delay_ms=1500", "",
         {{"Mangohold-Workspace", "sales"}, {"Mangohold-Request-Id", "other"}});
  });
  ASSERT_TRUE(WaitFor([&] { return runs("other"); }));
  std::thread killer([&] {
    WaitFor([&] { return runs("booking"); });
    site.entry(0).Kill();
  });
  const ClientResult result = Book(site, 700);
  killer.join();
  occupant.join();
  EXPECT_EQ(result.outcome, Outcome::kAnswered) << result.reason;
  const auto record = nlohmann::json::parse(
      FetchAndWait({.url = site.BackendUrl(0) + "/standin/runs"}).body);
  EXPECT_EQ(record.value("booking", 0), 1);
}

TEST(AtMostOnce, ARefusalByTheApplicationIsNotRun) {
  Site site({.services = 1});
  site.Start();
  const HttpResponse refused = Send(site.CallerAddress(0), "POST",
                                    "/v1/services/bookings/viewings?refuse=1",
                                    "", {{"Mangohold-Workspace", "sales"}});
  EXPECT_EQ(FieldValue(refused.fields, "Mangohold-Outcome"), "not_run");
}

}  // namespace
}  // namespace mangohold::testing
