// An entry gets SIGTERM while all slots of a service are taken: do the requests
// that it has read, and that wait for a slot, get an answer before it ends?
#include <sys/wait.h>

#include <atomic>
#include <csignal>
#include <iostream>

#include "../standins/site.h"

namespace review {
namespace {

constexpr int kEngines = 3;
constexpr int kSlots = 6;
constexpr int kWaiting = 6;
constexpr int kDeadlineMs = 8'000;
// What the long requests take, less than their deadline.
constexpr milliseconds kLongWork{7'800};
constexpr milliseconds kShortWork{30};
constexpr milliseconds kGrace{8'000};
// From the bounds: a connection that ends sooner after the last byte of a
// request isn't counted.
constexpr double kLossSlackS = 0.2;

struct Totals {
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::atomic<int> long_answered = 0;
};

// Returns false: the connection has closed.
bool DropRequest(const std::string& engine, const std::string& request,
                 Record& record) {
  record.Write(engine + " drops " + request + ": its connection has closed");
  return false;
}

Engine::Handler Work(const std::string& id, Record& record) {
  return [id, &record](const mangohold::HttpRequest& request, Stream& stream) {
    const std::string name(request.Field("X-Mangohold-Request-Id"));
    record.Write(id + " runs " + name);
    const auto end =
        SteadyClock::now() +
        (request.path.starts_with("/long/") ? kLongWork : kShortWork);
    while (SteadyClock::now() < end) {
      if (stream.IsClosedByPeer()) return DropRequest(id, name, record);
      std::this_thread::sleep_for(milliseconds(10));
    }
    record.Write(id + " has run " + name);
    return stream.Send(EngineAnswer(id, name, 200, name + "\n"));
  };
}

void SendLong(int number, const std::string& entry, Record& record,
              Totals& totals) {
  const std::string id = "long-" + std::to_string(number);
  const Answer answer = Call(
      entry, RequestText("POST", "/long/x", ClientFields(id, kDeadlineMs), "x"),
      milliseconds(kDeadlineMs + 500));
  record.Write(id + " got " + std::to_string(answer.status));
  if (answer.status == 200) ++totals.long_answered;
}

// Sends on a connection that is open already, as clients do that have an older
// answer of the directory.
void SendShort(int number, Stream& stream, Record& record, Totals& totals) {
  const std::string id = "short-" + std::to_string(number);
  record.Write(id + " is sent");
  stream.Send(
      RequestText("POST", "/short/x", ClientFields(id, kDeadlineMs), "x"));
  const double sent = record.Seconds();
  const Answer answer = ReadAnswer(stream, milliseconds(kDeadlineMs));
  const double took = record.Seconds() - sent;
  record.Write(id +
               (answer.is_whole ? " got " + std::to_string(answer.status)
                : stream.has_ended()
                    ? " got no answer: its connection has ended"
                    : " got no answer in time") +
               " after " + std::to_string(took) + " s");
  if (answer.is_whole) ++totals.answered;
  if (!answer.is_whole && stream.has_ended() && took > kLossSlackS) {
    ++totals.lost;
    record.Write("BROKEN: " + id + " was read and never answered");
  }
}

int Run(const std::string& folder, const std::string& record_file) {
  Record record(record_file);
  Totals totals;
  Site site(folder, record);
  site.PutConfig({{.name = "long",
                   .kind = "non_idempotent",
                   .service = "order-desk",
                   .timeout_ms = kDeadlineMs},
                  {.name = "short",
                   .kind = "non_idempotent",
                   .service = "order-desk",
                   .timeout_ms = kDeadlineMs}},
                 {"order-desk"});
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    const std::string id = "i-" + std::to_string(i);
    engines.push_back(std::make_unique<Engine>(id, Work(id, record)));
    site.PutEngine(*engines.back(), "order-desk", kSlots);
  }
  if (!site.StartEntry("edge-1") || !site.StartEntry("edge-2")) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(2'000));
  std::vector<std::unique_ptr<Stream>> kept;
  for (int i = 0; i < kWaiting; ++i) {
    kept.push_back(Stream::Connect(site.caller_address("edge-1")));
    if (kept.back() == nullptr) return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(200));
  if (HasTrouble()) {
    record.Write("SIGTERM to edge-1");
    site.program("edge-1").Signal(SIGTERM);
  }
  const auto began = SteadyClock::now();
  std::vector<std::thread> clients;
  clients.reserve(kEngines * kSlots + kWaiting);
  for (int i = 0; i < kEngines * kSlots; ++i) {
    clients.emplace_back(
        [&, i] { SendLong(i, site.caller_address("edge-2"), record, totals); });
  }
  std::this_thread::sleep_for(milliseconds(600));
  for (int i = 0; i < kWaiting; ++i) {
    clients.emplace_back([&, i] { SendShort(i, *kept[i], record, totals); });
    std::this_thread::sleep_for(milliseconds(100));
  }
  while (HasTrouble() && SteadyClock::now() - began < kGrace) {
    if (!site.program("edge-1").IsRunning()) {
      record.Write("edge-1 has ended by itself, status " +
                   std::to_string(site.program("edge-1").status()));
      break;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  if (HasTrouble() && site.program("edge-1").IsRunning()) {
    record.Write("SIGKILL to edge-1");
    site.program("edge-1").Signal(SIGKILL);
  }
  for (std::thread& client : clients) client.join();
  const std::string summary =
      std::to_string(totals.long_answered) + " long requests answered; of " +
      std::to_string(kWaiting) + " that waited " +
      std::to_string(totals.answered) + " were answered and " +
      std::to_string(totals.lost) + " lost";
  record.Write(summary);
  std::cout << summary << '\n';
  if (totals.lost > 0) return kBroken;
  return totals.answered == kWaiting ? kHeld : kCouldNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return review::kCouldNotRun;
  return review::Run(argv[1], argv[2]);
}
