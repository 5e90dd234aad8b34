// Bookings under kills, freezes and cut links: what callers were told against
// the bookings applications' own record of runs.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "core/random.h"
#include "harness.h"

namespace mangohold::testing {
namespace {

constexpr int kBookings = 1'000;
constexpr int kInFlight = 24;
constexpr int kServices = 3;
constexpr int kEntries = 3;

// Makes bookings, a bounded number at a time, until all have ended.
class Bookings {
 public:
  explicit Bookings(const Site& site)
      : client_(loop_, {.entries = site.CallerAddresses(), .seed = 7}) {}

  void Run() {
    for (int i = 0; i < kInFlight; ++i) Next();
    loop_.Run();
  }

  const std::map<std::string, ClientResult>& results() const {
    return results_;
  }
  int done() const { return done_; }

 private:
  void Next() {
    if (started_ == kBookings) return;
    const std::string id = "booking-" + std::to_string(started_++);
    client_.Call({.service = ServiceName("bookings"),
                  .workspace = WorkspaceName("sales"),
                  .path = "/viewings?delay_ms=60",
                  .body = "house of " + id,
                  .request = RequestId(id),
                  .deadline = Millis(6'000)},
                 nullptr, [this, id](ClientResult result) {
                   results_.emplace(id, std::move(result));
                   if (++done_ == kBookings) return loop_.Stop();
                   Next();
                 });
  }

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

// One blow, chosen by the seed. The record keepers themselves are spared.
void Strike(Site& site, Random& random) {
  using std::this_thread::sleep_for;
  const int agent = static_cast<int>(random.Below(kServices));
  const int entry = static_cast<int>(random.Below(kEntries));
  switch (random.Below(6)) {
    case 0:
      site.agent(agent).Kill();
      site.StartAgent(agent);
      break;
    case 1:
      site.entry(entry).Kill();
      site.StartEntry(entry);
      break;
    case 2:
      site.agent(agent).Signal(SIGSTOP);
      sleep_for(Millis(random.Below(400)));
      site.agent(agent).Signal(SIGCONT);
      break;
    case 3:
      site.entry(entry).Signal(SIGSTOP);
      sleep_for(Millis(random.Below(400)));
      site.entry(entry).Signal(SIGCONT);
      break;
    case 4:
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

TEST(AtMostOnce, HoldsUnderKillsFreezesAndCuts) {
  Site site({.entries = kEntries, .services = kServices, .has_relays = true});
  site.Start();
  Bookings bookings(site);
  std::thread caller([&] { bookings.Run(); });
  Random random(11);
  while (bookings.done() < kBookings) {
    Strike(site, random);
    std::this_thread::sleep_for(Millis(20 + random.Below(60)));
  }
  caller.join();
  // Whatever is still under way gets its chance to run.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  CheckAgainstRecord(bookings.results(), RecordedRuns(site));
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

// The entry dies while the booking runs. The client presents its ticket through
// the other entry until the agent has the answer, which is that of the one run.
TEST(AtMostOnce, AResubmissionGetsTheAnswerOfTheFirstRun) {
  Site site({.entries = 2, .services = 1});
  site.Start();
  EventLoop loop;
  CallerClient client(loop, {.entries = site.CallerAddresses()});
  ClientResult result;
  std::thread killer([&site] {
    WaitFor([&site] {
      return FetchAndWait({.url = site.BackendUrl(0) + "/standin/runs"})
                 .body.find("booking") != std::string::npos;
    });
    // The entry that has the request in progress.
    const bool is_first = Metric(site.Metrics(0), "mangohold_in_flight") == 1;
    site.entry(is_first ? 0 : 1).Kill();
  });
  client.Call({.service = ServiceName("bookings"),
               .workspace = WorkspaceName("sales"),
               .path = "/viewings?delay_ms=1500",
               .body = "house 17",
               .request = RequestId("booking")},
              nullptr, [&](ClientResult done) {
                result = std::move(done);
                loop.Stop();
              });
  loop.Run();
  killer.join();
  EXPECT_EQ(result.outcome, Outcome::kAnswered) << result.reason;
  EXPECT_GT(result.submissions, 1);
  EXPECT_EQ(nlohmann::json::parse(result.body)["run"], 1);
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
