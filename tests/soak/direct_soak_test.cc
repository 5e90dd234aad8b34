// A fault soak of the direct way: real entries, backend servers that count what
// they run, links that break, callers that keep their connections, and signals,
// restarts and changes in series that overlap. Callers send work that may run
// once only, and repeat a piece of work where they were promised that it hasn't
// run. MANGOHOLD_SOAK_SEEDS ("1", or "3-50") and MANGOHOLD_SOAK_S (of each)
// choose a longer run (a seed chooses the draws; threads and processes take
// their own time), MANGOHOLD_SOAK_ENTRIES more entries;
// MANGOHOLD_SOAK_REPORT_ONLY prints the counts and checks nothing, for programs
// of earlier days (MANGOHOLD_ENTRY_PROGRAM). MANGOHOLD_SOAK_MEMORY_MB states
// the entries' memory; 0 states none, as programs need that don't know the
// setting.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "core/random.h"
#include "direct_site.h"
#include "soak/kept_caller.h"
#include "soak/site_troubles.h"
#include "soak/work_ledger.h"

namespace mangohold::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 3;
constexpr int kCallers = 8;
constexpr seconds kDefaultLength{15};
constexpr int kMostAttempts = 3;  // at a piece of work
constexpr int kMaxBodyBytes = 64'000;
// Of the entries' machines: the least that users state, and next to nothing for
// bodies and answers, so that their room is full at times.
constexpr std::array kMemoryMb = {112, 4};

int NumberFrom(const char* variable, int otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::atoi(text);
}

std::pair<int, int> Seeds() {
  const char* text = std::getenv("MANGOHOLD_SOAK_SEEDS");
  const std::string seeds = text == nullptr ? "1" : text;
  const std::size_t dash = seeds.find('-');
  const int first = std::atoi(seeds.c_str());
  const int last =
      dash == std::string::npos ? first : std::atoi(seeds.c_str() + dash + 1);
  return {first, last};
}

class Soak {
 public:
  explicit Soak(int seed)
      : random_(static_cast<std::uint64_t>(seed)),
        entries_(NumberFrom("MANGOHOLD_SOAK_ENTRIES", kEntries)),
        memory_mb_(NumberFrom("MANGOHOLD_SOAK_MEMORY_MB",
                              kMemoryMb[static_cast<std::size_t>(seed) % 2])),
        site_({.entries = entries_,
               .backends = kSoakBackends,
               .memory_mb = memory_mb_,
               .max_body_bytes = kMaxBodyBytes}),
        troubles_(site_, static_cast<std::uint64_t>(seed)) {
    site_.Start();
    troubles_.PutRelays();
  }

  void Run(Duration length) {
    std::vector<std::thread> threads;
    threads.reserve(kCallers + 2);
    for (int caller = 0; caller < kCallers; ++caller) {
      threads.emplace_back([this, caller] { CallOnAndOn(caller); });
    }
    threads.emplace_back([this] { troubles_.Run(is_over_); });
    threads.emplace_back([this] { TroubleEntries(); });
    std::this_thread::sleep_for(length);
    is_over_ = true;
    for (std::thread& thread : threads) thread.join();
    troubles_.MendAll();
    // What was refused may still be on its way.
    std::this_thread::sleep_for(seconds(3));
    for (int i = 0; i < entries_; ++i) NoteEnd(i);
  }

  // Prints the counts; checks them unless `is_report_only`.
  void Check(bool is_report_only) {
    std::map<std::string, int> runs;
    for (int i = 0; i < kSoakBackends; ++i) {
      for (const auto& [id, count] : site_.backend(i).runs()) {
        runs[id] += count;
      }
    }
    const SoakVerdict verdict = ledger_.Judge(runs);
    Print(verdict);
    if (is_report_only) return;
    Expect(verdict.refused_and_run, "refused, and run");
    Expect(verdict.requests_run_twice, "request run twice");
    Expect(verdict.pieces_run_twice, "piece of work run twice");
    Expect(verdict.foreign_answers, "answer of another request");
    Expect(verdict.answers_without_run, "answered, but not run");
    Expect(verdict.unasked_runs, "run, but sent by nobody");
    EXPECT_GT(verdict.answered, 0);
    EXPECT_EQ(own_ends_, 0);
    // A machine has its memory for more than the entry.
    EXPECT_LT(peak_memory_mb_, kMemoryMb.front());
  }

 private:
  int Below(int bound) {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(random_.Below(static_cast<unsigned>(bound)));
  }
  void Pause(int min_ms, int spread_ms) {
    std::this_thread::sleep_for(milliseconds(min_ms + Below(spread_ms)));
  }

  static void Expect(const std::vector<std::string>& faults,
                     const std::string& fault) {
    for (const std::string& text : faults) {
      ADD_FAILURE() << fault << ": " << text;
    }
  }

  void Print(const SoakVerdict& verdict) const {
    std::ostringstream ends;
    for (const auto& [end, counts] : verdict.ends) {
      ends << ' ' << Name(end) << ' ' << counts.first << " (" << counts.second
           << " run)";
    }
    std::printf(
        "%d requests, %d answered, %d run; REFUSED %zu, TWICE by id %zu, by "
        "piece %zu, MIXED %zu, not run %zu; late %d; own ends %d; peak %.0f of "
        "%d MB; ends:%s; troubles: %s\n",
        verdict.requests, verdict.answered, verdict.runs,
        verdict.refused_and_run.size(), verdict.requests_run_twice.size(),
        verdict.pieces_run_twice.size(), verdict.foreign_answers.size(),
        verdict.answers_without_run.size(), late_.load(), own_ends_,
        peak_memory_mb_, memory_mb_, ends.str().c_str(),
        troubles_.Summary().c_str());
  }

  // Some bodies are as large as they may be.
  std::size_t NewBodySize() {
    const bool is_large = Below(8) == 0;
    const int most = is_large ? kMaxBodyBytes : 4'000;
    return 1 + static_cast<std::size_t>(Below(most));
  }

  // The parts in which a request is sent. Some bodies come in chunks.
  std::vector<std::string> NewRequest(const std::string& id, std::size_t size) {
    const bool is_chunked = Below(4) == 0;
    const std::string body(size, 'b');
    std::string head =
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
        "Authorization: Bearer k\r\nX-Mangohold-Deadline-Ms: 1500\r\n"
        "X-Mangohold-Request-Id: " +
        id + "\r\n";
    if (!is_chunked) {
      head += "Content-Length: " + std::to_string(size) + "\r\n\r\n";
      return {head, body.substr(0, size / 2), body.substr(size / 2)};
    }
    head += "Transfer-Encoding: chunked\r\n\r\n";
    std::ostringstream chunk;
    chunk << std::hex << size << "\r\n" << body << "\r\n";
    return {head, chunk.str(), "0\r\n\r\n"};
  }

  // One piece of work after the other, each repeated as callers may: after a
  // promise, or where nothing can have been read; on a new connection.
  void CallOnAndOn(int caller) {
    KeptCaller connection(seconds(2));
    int entry = caller % entries_;
    for (int i = 0; !is_over_; ++i) {
      const std::string piece =
          std::to_string(caller) + "-" + std::to_string(i);
      bool may_repeat = true;
      for (int attempt = 0; attempt < kMostAttempts && may_repeat; ++attempt) {
        const CallResult result =
            CallOnce(connection, piece, attempt, site_.CallerAddress(entry));
        may_repeat = IsPromise(result.status) ||
                     result.end == CallEnd::kNotConnected ||
                     result.end == CallEnd::kNotSent;
        if (result.status == 200) continue;
        if (may_repeat) connection.Close();
        entry = Below(entries_);
        Pause(5, 40);
      }
    }
  }

  CallResult CallOnce(KeptCaller& connection, const std::string& piece,
                      int attempt, const Endpoint& address) {
    const std::string id = piece + "-" + std::to_string(attempt);
    const std::size_t size = NewBodySize();
    CallResult result = connection.Call(address, NewRequest(id, size));
    if (result.status == 504) ++late_;
    ledger_.Add({.id = id,
                 .piece = piece,
                 .end = result.end,
                 .status = result.status,
                 .is_own_answer = IsOwnAnswer(result, id, size)});
    return result;
  }

  // Backend servers answer with the request's id, and its body or another of a
  // few sizes.
  static bool IsOwnAnswer(const CallResult& result, const std::string& id,
                          std::size_t request_size) {
    if (result.has_more) return false;
    if (result.status != 200 || result.end != CallEnd::kAnswered) return true;
    const std::string name = id + ":";
    if (!result.body.starts_with(name)) return false;
    const std::string rest = result.body.substr(name.size());
    if (rest == std::string(request_size, 'b')) return true;
    const bool is_own_size =
        std::ranges::any_of(kOwnBodyBytes, [&](std::size_t bytes) {
          return result.body.size() == std::max(name.size(), bytes);
        });
    return is_own_size && rest == std::string(rest.size(), 's');
  }

  // An entry that has ended, although nobody ended it.
  void NoteEnd(int entry) {
    Process& process = site_.entry(entry);
    peak_memory_mb_ = std::max(peak_memory_mb_, process.peak_memory_mb());
    if (!process.is_running()) ++own_ends_;
  }

  // Stops, ends, kills and starts entries, one after the other.
  void TroubleEntries() {
    while (!is_over_) {
      const int entry = Below(entries_);
      NoteEnd(entry);
      switch (Below(4)) {
        case 0:
          site_.entry(entry).Signal(SIGSTOP);
          Pause(100, 3'400);
          site_.entry(entry).Signal(SIGCONT);
          break;
        case 1:
          site_.entry(entry).Signal(SIGTERM);
          site_.entry(entry).WaitForExit(seconds(12));
          site_.StartEntry(entry);
          break;
        case 2:
          site_.entry(entry).Signal(SIGKILL);
          site_.entry(entry).WaitForExit(seconds(5));
          site_.StartEntry(entry);
          break;
        default:
          site_.entry(entry).Signal(SIGHUP);
      }
      Pause(200, 1'000);
    }
  }

  std::mutex mutex_;
  Random random_;
  int entries_;
  int memory_mb_;
  DirectSite site_;
  SiteTroubles troubles_;
  WorkLedger ledger_;
  std::atomic<bool> is_over_ = false;
  std::atomic<int> late_ = 0;
  // Written by the thread that troubles entries, and after its end.
  int own_ends_ = 0;
  double peak_memory_mb_ = 0;
};

// Guards against work that runs twice, by its request or after a caller's
// repeat, and against work that runs although its caller was told that it never
// will (TWICE, REFUSED); and against answers of others (MIXED) and entries that
// end by themselves.
TEST(DirectSoak, WorkThatMayRunOnceNeverRunsTwiceNorAfterARefusal) {
  const auto [first, last] = Seeds();
  const seconds length(
      NumberFrom("MANGOHOLD_SOAK_S", static_cast<int>(kDefaultLength.count())));
  const bool is_report_only = NumberFrom("MANGOHOLD_SOAK_REPORT_ONLY", 0) != 0;
  for (int seed = first; seed <= last; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::printf("seed %d: ", seed);
    Soak soak(seed);
    soak.Run(length);
    soak.Check(is_report_only);
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace mangohold::testing
