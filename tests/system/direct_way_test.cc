// An entry of the direct way under rude callers, faulty backend servers and a
// store in trouble.
#include <gtest/gtest.h>
#include <signal.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "direct_site.h"
#include "raw_caller.h"

namespace mangohold::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string AllEvents() {
  std::string text;
  for (int id = 1; id <= 10; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: piece\n\n";
  }
  return text;
}

std::string_view SignatureOf(const HttpResponse& response) {
  return FieldValue(response.fields, "X-Mangohold-Response-Signature");
}

TEST(DirectWay, PassesARequestOnAndItsAnswerBack) {
  DirectSite site({});
  site.Start();
  const HttpResponse response =
      site.Call("POST", "/once/a?b=c", "id1", "payload");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "id1:payload");
  EXPECT_EQ(SignatureOf(response), "s.id1");
  const HttpRequest seen = site.backend(0).last_request();
  EXPECT_EQ(seen.path + "?" + seen.query, "/once/a?b=c");
  EXPECT_EQ(seen.Field("X-Mangohold-Expect-Instance"), "i-0");
  EXPECT_EQ(seen.Field("X-Mangohold-Tenant-Id"), "sales");
  EXPECT_EQ(seen.Field("Authorization"), "");
  const int left =
      std::stoi(std::string(seen.Field("X-Mangohold-Deadline-Ms")));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 3'000);
}

TEST(DirectWay, RefusesUnknownKeysAndRoutes) {
  DirectSite site({});
  site.Start();
  EXPECT_EQ(site.Call("GET", "/again/x", "id", "", "wrong").status, 401);
  EXPECT_EQ(site.Call("GET", "/again/x", "id", "", "").status, 401);
  EXPECT_EQ(site.Call("GET", "/nowhere/x", "id").status, 404);
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
}

TEST(DirectWay, WorkThatMayHaveRunIsNotSentAgain) {
  DirectSite site({.backends = 2});
  site.Start();
  for (int i = 0; i < 2; ++i) site.backend(i).SetManner(Manner::kDropLate);
  EXPECT_EQ(site.Call("POST", "/once/x", "id", "b").status, 502);
  EXPECT_EQ(site.backend(0).runs_in_all() + site.backend(1).runs_in_all(), 1);
}

TEST(DirectWay, IdempotentWorkIsSentAgainElsewhere) {
  DirectSite site({.backends = 2});
  site.Start();
  for (const Manner fault :
       {Manner::kDropLate, Manner::kError, Manner::kCutAnswer, Manner::kReject,
        Manner::kMisdirected}) {
    site.backend(0).SetManner(fault);
    for (int i = 0; i < 4; ++i) {
      const HttpResponse response = site.Call("GET", "/again/x", "id");
      EXPECT_EQ(response.status, 200) << static_cast<int>(fault);
      EXPECT_EQ(response.body, "id:");
    }
  }
}

TEST(DirectWay, ARejectionIsTruthfullySaidNotToHaveRun) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kReject);
  const HttpResponse response = site.Call("POST", "/once/x", "id", "b");
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(FieldValue(response.fields, "Retry-After"), "");
  EXPECT_EQ(SignatureOf(response), "");
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
}

TEST(DirectWay, ACutAnswerIsNeverPassedOnAsWhole) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kCutAnswer);
  const HttpResponse response = site.Call("POST", "/once/x", "id", "b");
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(SignatureOf(response), "");
}

TEST(DirectWay, AnAnswerThatEndsWithItsConnectionIsWhole) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kEndless);
  EXPECT_EQ(site.Call("POST", "/once/x", "id", "b").body, "id:b");
}

TEST(DirectWay, AnExtraAnswerReachesNobody) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kExtraAnswer);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "id" + std::to_string(i);
    const HttpResponse response = site.Call("POST", "/once/x", id, "b");
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, id + ":b");
  }
}

TEST(DirectWay, AStreamPassesWhole) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kStream);
  const HttpResponse response = site.Call("POST", "/stream/x", "id", "b");
  EXPECT_EQ(response.result, HttpResult::kComplete);
  EXPECT_EQ(response.body, AllEvents());
}

TEST(DirectWay, ABrokenStreamGoesOnElsewhereWithinTheSameAnswer) {
  DirectSite site({.backends = 2});
  site.Start();
  site.backend(0).SetManner(Manner::kBreakStream);
  site.backend(1).SetManner(Manner::kStream);
  for (int i = 0; i < 4; ++i) {
    const HttpResponse response = site.Call("POST", "/stream/x", "id", "b");
    EXPECT_EQ(response.result, HttpResult::kComplete);
    EXPECT_EQ(response.body, AllEvents());
  }
}

// Guards against a second copy of a refusal that is taken for the answer to
// the same request's next attempt: the request runs, while its caller hears
// that it hasn't (REFUSED), or runs elsewhere as well (TWICE).
TEST(DirectWay, ARefusalWrittenOnceMoreIsNoAnswerToTheNextAttempt) {
  constexpr int kRequests = 40;
  DirectSite site({.backends = 2});
  site.Start();
  for (int i = 0; i < 2; ++i) site.backend(i).SetManner(Manner::kRepeatRefusal);
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "once" + std::to_string(i);
    const int status = site.Call("POST", "/once/x", id, "b").status;
    const auto first = site.backend(0).runs();
    const auto second = site.backend(1).runs();
    const int runs = (first.contains(id) ? first.at(id) : 0) +
                     (second.contains(id) ? second.at(id) : 0);
    EXPECT_LE(runs, 1) << id;
    EXPECT_TRUE(status != 503 || runs == 0) << id;
  }
  for (int i = 0; i < kRequests / 8; ++i) {
    const std::string id = "again" + std::to_string(i);
    EXPECT_EQ(site.Call("GET", "/again/x", id).status, 200) << id;
  }
}

TEST(DirectWay, AStreamThatEndsWithItsConnectionIsWhole) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kEndlessStream);
  const HttpResponse response = site.Call("POST", "/stream/x", "id", "b");
  EXPECT_EQ(response.result, HttpResult::kComplete);
  EXPECT_EQ(response.body, AllEvents());
}

// Guards against half an event that is passed on as the end of a whole stream,
// where the connection ended in good order.
TEST(DirectWay, AStreamThatEndsInsideAnEventGoesOnElsewhere) {
  DirectSite site({.backends = 2});
  site.Start();
  site.backend(0).SetManner(Manner::kEndInsideEvent);
  site.backend(1).SetManner(Manner::kStream);
  for (int i = 0; i < 6; ++i) {
    const HttpResponse response = site.Call("POST", "/stream/x", "id", "b");
    EXPECT_EQ(response.result, HttpResult::kComplete);
    EXPECT_EQ(response.body, AllEvents());
  }
  EXPECT_GT(site.backend(0).runs_in_all(), 0);
}

// Guards against a prompt that crashes one backend server after the other: the
// request isn't sent again, those with the same part are refused by all
// entries, and those with its other parts go on.
TEST(DirectWay, APromptThatCrashesABackendServerReachesNoOther) {
  DirectSite site({.entries = 2, .backends = 2});
  site.Start();
  std::array<std::unique_ptr<Relay>, 2> links = {site.PutRelayBefore(0),
                                                 site.PutRelayBefore(1)};
  for (int i = 0; i < 2; ++i) site.backend(i).SetManner(Manner::kHang);
  const auto call = [&site](const std::string& id, const std::string& parts,
                            int entry) {
    return Send(site.CallerAddress(entry), "POST", "/stream/x", "b",
                {{"Host", "h.example"},
                 {"X-Mangohold-Request-Id", id},
                 {"X-Mangohold-Deadline-Ms", "3000"},
                 {"X-Mangohold-Prefix-Hash", parts},
                 {"Authorization", "Bearer k"}});
  };
  HttpResponse crashed;
  std::thread caller([&] { crashed = call("p", "aa:9,bad:9,p:1", 0); });
  const auto runs = [&site](int i) { return site.backend(i).runs_in_all(); };
  WaitFor([&] { return runs(0) + runs(1) == 1; });
  const int first = runs(0) == 1 ? 0 : 1;
  site.backend(1 - first).SetManner(Manner::kStream);
  links[first].reset();  // refuses connections from now on
  caller.join();
  EXPECT_EQ(crashed.status, 502);
  for (int entry = 0; entry < 2; ++entry) {
    const std::string id = "q" + std::to_string(entry);
    HttpResponse refused;
    WaitFor([&] {
      refused = call(id, "bb:9,bad:9," + id + ":1", entry);
      return refused.status == 503;
    });
    EXPECT_NE(FieldValue(refused.fields, "Retry-After"), "");
    EXPECT_EQ(call("s" + id, "bb:9," + id + ":1", entry).body, AllEvents());
  }
  EXPECT_FALSE(site.backend(1 - first).runs().contains("p"));
  EXPECT_FALSE(site.backend(1 - first).runs().contains("q0"));
  EXPECT_FALSE(site.backend(1 - first).runs().contains("q1"));
}

// The machine of one backend server stands still in mid-stream, while streams
// of the other one go on. There are more callers than it has slots.
// One of two backend servers stands still, as `manner` says, while streams of
// the other one go on: each of its streams goes on there, whole.
void ExpectStuckStreamsToGoOn(Manner manner) {
  constexpr int kCallers = 12;
  DirectSite site({.backends = 2});
  site.Start();
  site.backend(0).SetManner(manner);
  site.backend(1).SetManner(Manner::kStream);
  std::atomic<bool> is_over = false;
  std::mutex mutex;
  std::map<std::string, std::string> answers;  // by id
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; !is_over; ++i) {
        const std::string id = std::to_string(caller) + "-" + std::to_string(i);
        const HttpResponse response = site.Call("POST", "/stream/x", id, "b");
        const std::lock_guard lock(mutex);
        answers[id] = response.body;
      }
    });
  }
  const auto went_on = [&] {
    std::vector<std::string> ids;
    const auto elsewhere = site.backend(1).runs();
    for (const auto& [id, runs] : site.backend(0).runs()) {
      const std::lock_guard lock(mutex);
      if (elsewhere.contains(id) && answers.contains(id)) ids.push_back(id);
    }
    return ids;
  };
  EXPECT_TRUE(WaitFor([&] { return went_on().size() >= 3; }));
  is_over = true;
  for (std::thread& caller : callers) caller.join();
  for (const std::string& id : went_on()) {
    EXPECT_EQ(answers[id], AllEvents()) << id;
  }
  EXPECT_NE(site.Metrics(0).find("reason=\"backend_stuck\""),
            std::string::npos);
}

TEST(DirectWay, AStuckStreamGoesOnElsewhereWithinTheSameAnswer) {
  ExpectStuckStreamsToGoOn(Manner::kStickStream);
}

// Its machine stops before the first answer has begun.
TEST(DirectWay, AStuckStreamThatHasNotBegunGoesElsewhere) {
  ExpectStuckStreamsToGoOn(Manner::kHang);
}

TEST(DirectWay, AStreamThatCannotGoOnNeverLooksComplete) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kBreakStream);
  const HttpResponse response = site.Call("POST", "/stream/x", "id", "b");
  EXPECT_EQ(response.result, HttpResult::kBroken);
}

TEST(DirectWay, ACallerThatLeavesCancelsItsWork) {
  DirectSite site({});
  site.Start();
  site.backend(0).SetManner(Manner::kHang);
  RawCaller caller(site.CallerAddress(0));
  caller.Send(
      "GET /again/x HTTP/1.1\r\nHost: h.example\r\n"
      "Authorization: Bearer k\r\nX-Mangohold-Request-Id: gone\r\n\r\n");
  ASSERT_TRUE(WaitFor([&] { return site.backend(0).runs_in_all() == 1; }));
  caller.Close();
  EXPECT_TRUE(WaitFor([&] { return site.backend(0).cancelled() == 1; }));
}

TEST(DirectWay, MalformedAndOversizedRequestsAreRefused) {
  DirectSite site({});
  site.Start();
  const auto answer = [&](const std::string& text) {
    RawCaller caller(site.CallerAddress(0));
    caller.Send(text);
    return caller.ReadUntil("\r\n\r\n").substr(0, 12);
  };
  EXPECT_EQ(answer("POST /once/ HTTP/1.1\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            "HTTP/1.1 400");
  EXPECT_EQ(
      answer("GET / HTTP/1.1\r\nX: " + std::string(4'000, 'a') + "\r\n\r\n"),
      "HTTP/1.1 431");
  EXPECT_EQ(answer("POST /once/ HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" +
                   std::string(9'000, 'a')),
            "HTTP/1.1 413");
  EXPECT_EQ(answer("GET /slow HTTP/1.1\r\nX: "), "HTTP/1.1 408");
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
}

TEST(DirectWay, AKeyThatWasTakenAwayOpensNothing) {
  DirectSite site({});
  site.Start();
  site.PutDeployment(2, {"other"});
  EXPECT_TRUE(WaitFor(
      [&] { return site.Call("GET", "/again/x", "id").status == 401; }));
  EXPECT_EQ(site.Call("GET", "/again/x", "id", "", "other").status, 200);
}

// The store may have taken a key away meanwhile, so that nothing with a key
// runs; the refusal says so and is true.
TEST(DirectWay, WithoutConfirmationNothingWithAKeyRuns) {
  DirectSite site({.revocation_ms = 1'000});
  site.Start();
  site.store().SetFaults({.is_silent = true});
  EXPECT_TRUE(WaitFor(
      [&] { return site.Call("GET", "/again/x", "id").status == 503; }));
  EXPECT_FALSE(site.IsReady(0));
  const int runs = site.backend(0).runs_in_all();
  EXPECT_EQ(site.Call("GET", "/again/x", "id2").status, 503);
  EXPECT_EQ(site.backend(0).runs_in_all(), runs);
  site.store().SetFaults({});
  EXPECT_TRUE(WaitFor(
      [&] { return site.Call("GET", "/again/x", "id3").status == 200; }));
}

TEST(DirectWay, APeerConfirmsAnEntryThatTheStoreTurnsAway) {
  DirectSite site({.entries = 2, .revocation_ms = 1'500});
  site.Start();
  ASSERT_TRUE(WaitFor([&] {
    return site.Log(0).find("peers_alive\",\"count\":1") != std::string::npos;
  }));
  // A stopped process reads nothing from the store; woken, it is told by its
  // peer before it hears from the store again.
  site.entry(1).Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(2));
  site.entry(1).Signal(SIGCONT);
  EXPECT_TRUE(WaitFor([&] {
    return site.Call("GET", "/again/x", "id", "", "k", 1).status == 200;
  }));
}

TEST(DirectWay, LostHistoryAndLapsedLeasesAreMended) {
  DirectSite site({.entries = 2});
  site.Start();
  ASSERT_TRUE(WaitFor([&] { return site.store().Has("members/entry-1"); }));
  site.store().SetFaults({.forgets_history = true});
  site.store().LapseLeases();
  EXPECT_TRUE(WaitFor([&] {
    return site.store().Has("members/entry-0") &&
           site.store().Has("members/entry-1");
  }));
  site.PutDeployment(3, {"k3"});
  EXPECT_TRUE(WaitFor([&] {
    return site.Call("GET", "/again/x", "id", "", "k3").status == 200;
  }));
}

// The store comes back from an older copy, twice, while one entry can't reach
// it and three follow it through their zone's watcher.
TEST(DirectWay, AStoreThatComesBackFromAnOlderCopyTakesNothingBack) {
  DirectSite site({.entries = 4, .backends = 3, .most_direct_followers = 2});
  site.Start();
  const auto works = [&](const std::string& id, const std::string& key) {
    for (int entry = 0; entry < 4; ++entry) {
      const std::string name = id + std::to_string(entry);
      if (site.Call("GET", "/again/x", name, "", key, entry).status != 200) {
        return false;
      }
    }
    return true;
  };
  ASSERT_TRUE(WaitFor([&] { return works("a", "k"); }));
  for (int era = 0; era < 2; ++era) {
    const std::string mark = std::to_string(era);
    const int version = 10 * (era + 1);
    site.PutDeployment(version, {"k", "old" + mark});
    site.ListBackend(0, "ready");
    ASSERT_TRUE(WaitFor([&] { return works("b" + mark, "old" + mark); }));
    site.store().Snapshot();
    // The key is taken away, one backend server leaves and a zone is emptied.
    site.PutDeployment(version + 1, {"k"});
    site.ListBackend(0, "draining");
    ASSERT_TRUE(WaitFor([&] {
      return site.Call("GET", "/again/x", "c" + mark, "", "old" + mark, 3)
                 .status == 401;
    }));
    std::this_thread::sleep_for(milliseconds(600));
    site.store().SetFaults({.is_silent = true});
    std::this_thread::sleep_for(milliseconds(300));
    site.store().Restore();
    site.store().SetFaults({});
    // For as long as nothing is written again, and after.
    const int before = site.backend(0).runs_in_all();
    for (int round = 0; round < 12; ++round) {
      for (int entry = 0; entry < 4; ++entry) {
        const std::string id =
            "d" + mark + std::to_string(round) + std::to_string(entry);
        EXPECT_EQ(
            site.Call("GET", "/again/x", id, "", "old" + mark, entry).status,
            401);
        EXPECT_EQ(site.Call("GET", "/again/x", id + "k", "", "k", entry).status,
                  200);
      }
      if (round == 8) {
        site.PutDeployment(version + 1, {"k"});
        site.ListBackend(0, "draining");
      }
      std::this_thread::sleep_for(milliseconds(150));
    }
    EXPECT_EQ(site.backend(0).runs_in_all(), before);
    site.PutDeployment(version + 2, {"k", "new" + mark});
    ASSERT_TRUE(WaitFor([&] { return works("e" + mark, "new" + mark); }));
    for (int entry = 0; entry < 4; ++entry) {
      EXPECT_TRUE(WaitFor([&] {
        return site.store().Has("members/entry-" + std::to_string(entry));
      }));
    }
  }
}

// Through whom an entry follows the store; empty: by itself.
std::string SourceOf(const DirectSite& site, int entry) {
  const std::string log = site.Log(entry);
  const std::string mark = "store_followed\",\"through\":\"";
  const std::size_t at = log.rfind(mark);
  if (at == std::string::npos) return {};
  const std::size_t begin = at + mark.size();
  return log.substr(begin, log.find('"', begin) - begin);
}

// Waits until all entries but one follow that one, and tells which it is; -1 if
// it doesn't come to that.
int WatcherOf(const DirectSite& site, int entries) {
  int watcher = -1;
  WaitFor([&] {
    std::map<std::string, int> followers;
    for (int i = 0; i < entries; ++i) ++followers[SourceOf(site, i)];
    for (const auto& [source, count] : followers) {
      if (!source.empty() && count == entries - 1) {
        watcher = source.back() - '0';
      }
    }
    return watcher >= 0;
  });
  return watcher;
}

// One of four entries follows the store for the others. When it stands still
// the others go on.
TEST(DirectWay, EntriesFollowTheStoreThroughTheirZonesWatchers) {
  constexpr int kEntries = 4;
  DirectSite site({.entries = kEntries, .most_direct_followers = 1});
  site.Start();
  const int watching = WatcherOf(site, kEntries);
  ASSERT_GE(watching, 0);
  std::vector<int> others;
  for (int i = 0; i < kEntries; ++i) {
    if (i != watching) others.push_back(i);
  }
  site.PutDeployment(3, {"k3"});
  for (int i = 0; i < kEntries; ++i) {
    EXPECT_TRUE(WaitFor([&] {
      return site.Call("GET", "/again/x", "id", "", "k3", i).status == 200;
    })) << "entry "
        << i;
  }
  site.entry(watching).Signal(SIGSTOP);
  site.PutDeployment(4, {"k4"});
  for (const int i : others) {
    EXPECT_TRUE(WaitFor([&] {
      return site.Call("GET", "/again/x", "id", "", "k4", i).status == 200;
    })) << "entry "
        << i;
  }
  site.entry(watching).Signal(SIGCONT);
  EXPECT_TRUE(WaitFor([&] {
    return site.Call("GET", "/again/x", "id", "", "k4", watching).status == 200;
  }));
}

// Guards against a removal that was held back at entries which the store
// served, since the one that they followed it through was refused.
TEST(DirectWay, ARemovalIsNotHeldBackWhenTheWatcherIsCutOff) {
  constexpr int kEntries = 4;
  DirectSite site({.entries = kEntries,
                   .backends = 2,
                   .most_direct_followers = 1,
                   .has_store_links = true});
  site.Start();
  const int watching = WatcherOf(site, kEntries);
  ASSERT_GE(watching, 0);
  // Right after their start entries can't tell whether the store was away.
  std::this_thread::sleep_for(milliseconds(2'500));
  site.store_link(watching).Cut();
  site.store().Remove("servers/" + site.backend(0).id());
  for (int i = 0; i < kEntries; ++i) {
    if (i == watching) continue;
    EXPECT_TRUE(WaitFor([&] {
      return site.Log(i).find("backend_departed") != std::string::npos;
    })) << "entry "
        << i;
    EXPECT_EQ(site.Log(i).find("backend_kept"), std::string::npos);
    const int before = site.backend(0).runs_in_all();
    for (int call = 0; call < 10; ++call) {
      const std::string id = std::to_string(i) + "-" + std::to_string(call);
      EXPECT_EQ(site.Call("GET", "/again/x", id, "", "k", i).status, 200);
    }
    EXPECT_EQ(site.backend(0).runs_in_all(), before);
  }
}

TEST(DirectWay, ADrainingBackendServerGetsNothingNew) {
  DirectSite site({.backends = 2});
  site.Start();
  site.ListBackend(0, "draining");
  ASSERT_TRUE(WaitFor(
      [&] { return site.Log(0).find("\"draining\":1") != std::string::npos; }));
  const int before = site.backend(0).runs_in_all();
  for (int i = 0; i < 20; ++i) site.Call("GET", "/again/x", "id");
  EXPECT_EQ(site.backend(0).runs_in_all(), before);
}

// The store still lists it as ready.
TEST(DirectWay, ABackendServerWhoseAnswersSayThatItLeavesGetsNothingNew) {
  DirectSite site({.backends = 2});
  site.Start();
  site.backend(0).SetManner(Manner::kLeave);
  ASSERT_TRUE(WaitFor([&] {
    site.Call("GET", "/again/x", "a-" + std::to_string(std::rand()));
    return site.backend(0).runs_in_all() > 0;
  }));
  const int runs = site.backend(0).runs_in_all();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(site.Call("GET", "/again/x", "b-" + std::to_string(i)).status,
              200);
  }
  EXPECT_EQ(site.backend(0).runs_in_all(), runs);
}

// Only one backend server is there, and asks for quiet.
TEST(DirectWay, ABackendServerThatAsksForQuietIsLeftAlone) {
  DirectSite site({.backends = 1});
  site.Start();
  site.backend(0).SetManner(Manner::kQuiet);
  const auto first = site.Call("GET", "/again/x", "first");
  EXPECT_EQ(first.status, 503);
  EXPECT_FALSE(FieldValue(first.fields, "Retry-After").empty());
  site.backend(0).SetManner(Manner::kAnswer);
  const auto refused = site.Call("GET", "/again/x", "second");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(site.backend(0).runs_in_all(), 0);
}

TEST(DirectWay, AGracefulEndFinishesWhatIsInProgress) {
  DirectSite site({.entries = 2});
  site.Start();
  ASSERT_TRUE(WaitFor([&] {
    return site.Directory(1).find("8080\",\"") != std::string::npos;
  }));
  site.backend(0).SetManner(Manner::kStream);
  HttpResponse response;
  std::thread caller(
      [&] { response = site.Call("POST", "/stream/x", "id", "b"); });
  ASSERT_TRUE(WaitFor([&] { return site.backend(0).runs_in_all() == 1; }));
  site.entry(0).Signal(SIGTERM);
  EXPECT_TRUE(WaitFor([&] { return !site.IsReady(0); }));
  caller.join();
  EXPECT_EQ(response.body, AllEvents());
  EXPECT_EQ(site.entry(0).WaitForExit(seconds(10)), 0);
  // The other one no longer names it.
  EXPECT_EQ(site.Directory(1).find("8080\",\""), std::string::npos);
}

TEST(DirectWay, AHangUpReadsTheSettingsAgain) {
  DirectSite site({});
  site.Start();
  site.entry(0).Signal(SIGHUP);
  EXPECT_TRUE(WaitFor(
      [&] { return site.Log(0).find("\"reloaded\"") != std::string::npos; }));
  EXPECT_EQ(site.Call("GET", "/again/x", "id").status, 200);
}

TEST(DirectWay, RefusalsAndRetriesAreCounted) {
  DirectSite site({.backends = 2});
  site.Start();
  site.Call("GET", "/nowhere/x", "id");
  site.backend(0).SetManner(Manner::kError);
  // Any of them may go to the other backend server.
  for (int i = 0; i < 100 && site.backend(0).runs_in_all() == 0; ++i) {
    site.Call("GET", "/again/x", "id");
  }
  ASSERT_GT(site.backend(0).runs_in_all(), 0);
  const std::string metrics = site.Metrics(0);
  EXPECT_NE(metrics.find("refusals_total{reason=\"unknown_route\"} 1"),
            std::string::npos);
  EXPECT_NE(metrics.find("retries_total{reason=\"backend_failed\"}"),
            std::string::npos);
}

}  // namespace
}  // namespace mangohold::testing
