// Case 12: a backend server hands out wrong bytes: some of its answers lack the
// lines that tell whose they are. The entry passes them on as successes.
//
// unsigned_answer --entry PROGRAM --record FILE --trouble 0|1
// Exit: 1 a caller got a success that isn't its server's, 0 none did, 2 it
// couldn't run.
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "review/standins-3/tests/plain_client.h"
#include "review/standins-3/tests/recorder.h"
#include "review/standins-3/tests/standin_site.h"
#include "standins/raw_http.h"

namespace mangohold::review {
namespace {

constexpr int kServers = 3;
// The one in trouble, which spoils each 20th of its answers (0.05).
constexpr int kFaulty = 1;
constexpr int kSoundAnswers = 19;
constexpr int kRequests = 360;
constexpr int kDeadlineMs = 3'000;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;
constexpr char kId[] = "X-Mangohold-Request-Id";
constexpr char kSignature[] = "X-Mangohold-Response-Signature";

// Backend servers that answer each request with a body that names it.
class Servers {
 public:
  Servers(const DirectEntries& site, bool has_trouble, Recorder& recorder)
      : has_trouble_(has_trouble), recorder_(recorder) {
    for (int index = 0; index < kServers; ++index) {
      standin::Serve(
          io_, Address(site, index),
          [this, index](HttpRequest request, standin::Connection& connection) {
            return Handle(index, std::move(request), connection);
          });
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Servers() {
    io_.stop();
    thread_.join();
  }
  Servers(const Servers&) = delete;
  Servers& operator=(const Servers&) = delete;

  static std::string Address(const DirectEntries& site, int index) {
    return site.Ip(100 + index) + ":9000";
  }
  int spoiled() const { return spoiled_; }

 private:
  asio::awaitable<void> Handle(int index, HttpRequest request,
                               standin::Connection& connection) {
    const std::string id(request.Field(kId));
    const bool is_stream = request.path.starts_with("/draft/");
    std::string body = "booked " + id;
    if (is_stream) {
      body = "id: 1\ndata: " + id + "\n\nid: 2\ndata: end\n\n";
    }
    std::string whose = std::string(kId) + ": " + id + "\r\n" + kSignature +
                        ": s." + id + "\r\n";
    const bool is_spoiled =
        has_trouble_ && index == kFaulty && ++answers_ > kSoundAnswers;
    if (is_spoiled) {
      answers_ = 0;
      ++spoiled_;
      whose.clear();
      body = is_stream ? "data: nobody's bytes\n\n" : "nobody's bytes";
      recorder_.Note("i-" + std::to_string(index) + " spoils its answer to " +
                     id);
    }
    co_await connection.Send(
        "HTTP/1.1 200 OK\r\n" + whose +
        (is_stream ? "Content-Type: text/event-stream\r\n" : "") +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  const bool has_trouble_;
  Recorder& recorder_;
  asio::io_context io_;
  std::thread thread_;
  int answers_ = 0;  // of the one in trouble, since the last spoiled one
  std::atomic<int> spoiled_ = 0;
};

struct Counts {
  int successes = 0;
  int failures = 0;
  int wrong = 0;  // successes that aren't their server's
};

void Ask(PlainClient& client, int number, Recorder& recorder, Counts& counts) {
  constexpr int kKinds = 3;
  const std::string id = "r" + std::to_string(number);
  const bool is_lookup = number % kKinds == 0;
  const std::string path = is_lookup              ? "/lookup/1"
                           : number % kKinds == 1 ? "/book/1"
                                                  : "/draft/1";
  client.Send(PlainClient::RequestText(is_lookup ? "GET" : "POST", path, id,
                                       kDeadlineMs));
  const PlainClient::Answer answer = client.ReadAnswer();
  const bool is_success = answer.status >= 200 && answer.status < 300;
  ++(is_success ? counts.successes : counts.failures);
  const std::string signature(FieldValue(answer.fields, kSignature));
  const bool is_own =
      signature == "s." + id && answer.body.find(id) != std::string::npos;
  if (is_success && is_own) return;
  recorder.Note(id + " " + path + " gets " + std::to_string(answer.status) +
                ", signature \"" + signature + "\", body \"" + answer.body +
                "\"");
  if (!is_success) return;
  ++counts.wrong;
  recorder.Note("MIXED: a success without the server's signature");
}

int Run(const std::string& program, bool has_trouble,
        const std::string& record) {
  Recorder recorder(record);
  DirectEntries site(program);
  Servers servers(site, has_trouble, recorder);
  site.PutDeployment(1,
                     {{.name = "book", .kind = "non_idempotent"},
                      {.name = "lookup", .kind = "idempotent"},
                      {.name = "draft", .kind = "streaming", .resumes = true}});
  for (int index = 0; index < kServers; ++index) {
    site.List({.id = "i-" + std::to_string(index),
               .address = Servers::Address(site, index)});
  }
  site.StartEntry(0);
  if (!site.WaitUntilReady(0)) return kCannotRun;
  // The retry budget fills up.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  Counts counts;
  auto client = std::make_unique<PlainClient>(site.CallerAddress(0));
  for (int number = 1; number <= kRequests; ++number) {
    const int before = counts.successes + counts.failures;
    Ask(*client, number, recorder, counts);
    if (counts.successes + counts.failures == before) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  recorder.Note("requests " + std::to_string(kRequests) + ", successes " +
                std::to_string(counts.successes) + ", failures " +
                std::to_string(counts.failures) + ", answers spoiled " +
                std::to_string(servers.spoiled()) + ", wrong successes " +
                std::to_string(counts.wrong));
  if (counts.successes == 0) return kCannotRun;
  return counts.wrong > 0 ? kBroken : 0;
}

}  // namespace
}  // namespace mangohold::review

int main(int argc, char** argv) {
  using mangohold::standin::Option;
  try {
    return mangohold::review::Run(
        Option(argc, argv, "--entry", "target/mangohold-direct-entry"),
        Option(argc, argv, "--trouble", "1") != "0",
        Option(argc, argv, "--record", "record.txt"));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return mangohold::review::kCannotRun;
  }
}
