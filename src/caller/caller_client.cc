#include "caller/caller_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mangohold {
namespace {

constexpr Millis kLeastPause{50};
// Entries gather answers of up to 4 MiB.
constexpr MaxBody kMaxAnswer{8U << 20U};
constexpr std::string_view kErrorEvent = "event: mangohold-error";
// Conditions that pass, so that coming back is worth while.
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kConflict = 409;
constexpr int kTicketRequired = 428;

}  // namespace

struct CallerClient::State : std::enable_shared_from_this<State> {
  State(EventLoop& event_loop, Options chosen)
      : loop(event_loop),
        http(event_loop.io()),
        options(std::move(chosen)),
        random(options.seed),
        addresses(options.entries) {}

  // The next address, in a random order that each call takes anew.
  Endpoint Next(std::vector<Endpoint>& failed) {
    std::vector<Endpoint> open;
    std::ranges::copy_if(addresses, std::back_inserter(open),
                         [&failed](const Endpoint& address) {
                           return std::ranges::find(failed, address) ==
                                  failed.end();
                         });
    if (open.empty()) {
      failed.clear();
      open = addresses;
    }
    return open[random.Below(open.size())];
  }

  // Asks an entry for the address list when the present one is too old.
  void Refresh(std::function<void()> then) {
    if (Clock::now() < addresses_expire) return then();
    const Endpoint entry =
        options.entries[random.Below(options.entries.size())];
    const Endpoint source =
        addresses.empty() ? entry : addresses[random.Below(addresses.size())];
    HttpCall call{.url = "http://" + source.value() + "/v1/entries",
                  .connect_timeout = options.connect_timeout,
                  .timeout = std::chrono::seconds(1)};
    Fetch(http, std::move(call), kMaxAnswer,
          [self = shared_from_this(),
           then = std::move(then)](const HttpResponse& response) {
            self->TakeList(response);
            then();
          });
  }

  void TakeList(const HttpResponse& response) {
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200 || !body.is_object() ||
        !body.contains("entries")) {
      // Fall back on the addresses to start with and ask again soon.
      addresses = options.entries;
      addresses_expire = Clock::now() + kLeastPause;
      return;
    }
    std::vector<Endpoint> list;
    for (const auto& entry : body["entries"]) {
      list.emplace_back(entry.value("address", ""));
    }
    if (!list.empty()) addresses = std::move(list);
    addresses_expire = Clock::now() + Millis(body.value("max_age_ms", 1000));
  }

  EventLoop& loop;
  HttpClient http;
  Options options;
  Random random;
  std::vector<Endpoint> addresses;
  TimePoint addresses_expire;
};

// One call on its way through as many submissions as it takes.
struct CallerClient::Exchange : std::enable_shared_from_this<Exchange> {
  std::shared_ptr<State> state;
  ClientCall call;
  std::function<void(std::string_view)> on_data;
  std::function<void(ClientResult)> on_result;
  TimePoint deadline;
  std::string ticket;
  std::vector<Endpoint> failed;
  ClientResult result;
  HttpFields head;
  HttpCallId http_call;  // of the submission in progress
  std::string tail;      // the end of a streamed answer, to see an error event

  void Begin() {
    state->Refresh([self = shared_from_this()] {
      if (self->call.is_repeatable || !self->ticket.empty()) {
        self->Submit();
      } else {
        self->TakeTicket();
      }
    });
  }

  Millis TimeLeft() const {
    return std::chrono::duration_cast<Millis>(deadline - Clock::now());
  }

  void End(Outcome outcome, std::string reason) {
    result.outcome = outcome;
    if (outcome == Outcome::kAnswered) result.retry_after = Millis(0);
    result.reason = std::move(reason);
    on_result(std::move(result));
  }

  // Comes back after a pause, unless that is past the deadline.
  void Again(Millis pause, Outcome otherwise, const std::string& reason) {
    result.retry_after = pause;
    if (pause >= TimeLeft()) return End(otherwise, reason);
    state->loop.After(pause, [self = shared_from_this()] { self->Begin(); });
  }

  HttpCall NewCall(std::string path, Endpoint& entry) {
    entry = state->Next(failed);
    HttpCall out{.method = call.method,
                 .url = "http://" + entry.value() + std::move(path)};
    out.connect_timeout = state->options.connect_timeout;
    out.timeout = std::max<Duration>(TimeLeft(), kLeastPause);
    out.fields = {{"Mangohold-Workspace", call.workspace.value()}};
    if (!call.request.empty()) {
      out.fields.push_back({"Mangohold-Request-Id", call.request.value()});
    }
    return out;
  }

  void TakeTicket() {
    Endpoint entry;
    HttpCall out = NewCall("/v1/tickets", entry);
    out.method = "POST";
    out.body = nlohmann::json{{"service", call.service.value()}}.dump();
    Fetch(state->http, std::move(out), kMaxAnswer,
          [self = shared_from_this(), entry](const HttpResponse& response) {
            self->OnTicket(entry, response);
          });
  }

  void OnTicket(const Endpoint& entry, const HttpResponse& response) {
    ticket = std::string(FieldValue(response.fields, "Mangohold-Ticket"));
    if (response.status == 200 && !ticket.empty()) return Submit();
    if (response.result != HttpResult::kComplete) {
      failed.push_back(entry);
      return Again(kLeastPause, Outcome::kNotRun, "entry_unreachable");
    }
    const std::string reason(FieldValue(response.fields, "Mangohold-Reason"));
    if (response.status == kServiceUnavailable) {
      return Again(RetryAfter(response.body), Outcome::kNotRun, reason);
    }
    End(Outcome::kNotRun, reason);
  }

  static Millis RetryAfter(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) return kLeastPause;
    return std::max(kLeastPause, Millis(json.value("retry_after_ms", 0)));
  }

  void Submit() {
    Endpoint entry;
    HttpCall out =
        NewCall("/v1/services/" + call.service.value() + call.path, entry);
    out.body = call.body;
    out.fields.push_back({"Content-Type", call.content_type});
    out.fields.push_back(
        {"Mangohold-Deadline-Ms",
         std::to_string(std::max<std::int64_t>(TimeLeft().count(), 1))});
    if (!call.priority.empty()) {
      out.fields.push_back({"Mangohold-Priority", call.priority});
    }
    if (!ticket.empty()) out.fields.push_back({"Mangohold-Ticket", ticket});
    // A connection of its own: see HttpCall::fresh_connection.
    out.fresh_connection = !call.is_repeatable;
    ++result.submissions;
    result.body.clear();
    result.http_status = 0;
    head.clear();
    http_call = state->http.Start(
        std::move(out),
        {.on_head =
             [self = shared_from_this()](int status, const HttpFields& fields) {
               self->result.http_status = status;
               self->head = fields;
             },
         .on_data = [self = shared_from_this()](
                        std::string_view data) { self->OnData(data); },
         .on_done = [self = shared_from_this(),
                     entry](HttpResult done) { self->OnDone(entry, done); }});
  }

  bool IsAnswer() const {
    return FieldValue(head, "Mangohold-Outcome") == Name(Outcome::kAnswered);
  }

  void OnData(std::string_view data) {
    if (!IsAnswer() || !on_data) {
      if (result.body.size() + data.size() > kMaxAnswer.bytes) {
        return state->http.RejectAsTooLarge(http_call, kMaxAnswer.bytes);
      }
      result.body.append(data);
      return;
    }
    constexpr std::size_t kTailBytes = 1024;
    tail.append(data);
    if (tail.size() > kTailBytes) tail.erase(0, tail.size() - kTailBytes);
    on_data(data);
  }

  void OnDone(const Endpoint& entry, HttpResult done) {
    result.request =
        RequestId(std::string(FieldValue(head, "Mangohold-Request-Id")));
    if (done != HttpResult::kComplete) return OnBroken(entry, done);
    const std::string& end = on_data ? tail : result.body;
    if (IsAnswer()) {
      const bool is_whole = end.find(kErrorEvent) == std::string::npos;
      return End(is_whole ? Outcome::kAnswered : Outcome::kUnknown,
                 is_whole ? "" : "answer_broken_off");
    }
    OnRefused();
  }

  // The connection broke, so that the entry's word is missing. Under a ticket
  // the same submission can be made again, because the agent runs it once.
  void OnBroken(const Endpoint& entry, HttpResult done) {
    failed.push_back(entry);
    const bool was_sent = done != HttpResult::kNotSent;
    const bool has_relayed = on_data && !tail.empty();
    const Outcome otherwise = was_sent || result.submissions > 1
                                  ? Outcome::kUnknown
                                  : Outcome::kNotRun;
    if (has_relayed) return End(Outcome::kUnknown, "entry_connection_broken");
    Again(kLeastPause, otherwise, "entry_connection_broken");
  }

  void OnRefused() {
    const std::string reason(FieldValue(head, "Mangohold-Reason"));
    const bool was_not_run =
        FieldValue(head, "Mangohold-Outcome") == Name(Outcome::kNotRun);
    const Outcome outcome = was_not_run ? Outcome::kNotRun : Outcome::kUnknown;
    const Millis pause = RetryAfter(result.body);
    const int status = result.http_status;
    const bool passes = status == kServiceUnavailable ||
                        status == kTooManyRequests || status == kConflict ||
                        status == kTicketRequired;
    if (!was_not_run) {
      // The ticket's agent runs it once, however often it is presented.
      const bool may_ask_again = call.is_repeatable || passes;
      if (may_ask_again) return Again(pause, outcome, reason);
      return End(outcome, reason);
    }
    if (!passes) return End(outcome, reason);
    // The ticket was voided with the refusal; only the caller may move on.
    ticket.clear();
    Again(pause, outcome, reason);
  }
};

CallerClient::CallerClient(EventLoop& loop, Options options)
    : state_(std::make_shared<State>(loop, std::move(options))) {}

CallerClient::~CallerClient() = default;

void CallerClient::Call(ClientCall call,
                        std::function<void(std::string_view)> on_data,
                        std::function<void(ClientResult)> on_result) {
  auto exchange = std::make_shared<Exchange>();
  exchange->state = state_;
  exchange->deadline = Clock::now() + call.deadline;
  exchange->call = std::move(call);
  exchange->on_data = std::move(on_data);
  exchange->on_result = std::move(on_result);
  exchange->Begin();
}

}  // namespace mangohold
