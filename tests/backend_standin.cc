#include "backend_standin.h"

#include <algorithm>
#include <limits>

namespace mangohold::testing {
namespace {

using std::chrono::milliseconds;

// Events of a whole stream, and the one at which a broken one ends.
constexpr int kEvents = 10;
constexpr int kBroken = 5;
constexpr std::size_t kHugeBytes = 7U << 20U;
constexpr std::size_t kSlightlyTooLargeBytes = 1'050'000;
constexpr char kId[] = "X-Mangohold-Request-Id";
constexpr char kExpectInstance[] = "X-Mangohold-Expect-Instance";

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece\n\n";
}

std::string Head(int status, const std::string& id, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) + " Standin\r\n" + kId + ": " +
         id + "\r\nX-Mangohold-Response-Signature: s." + id + "\r\n" + fields +
         "\r\n";
}

std::string Whole(int status, const std::string& id, const std::string& body,
                  const std::string& fields = "") {
  return Head(status, id,
              fields + "Content-Length: " + std::to_string(body.size()) +
                  "\r\n") +
         body;
}

// Until the peer closes.
asio::awaitable<void> SendWithoutEnd(std::string text,
                                     standin::Connection& connection) {
  bool is_closed = false;
  while (!is_closed) {
    co_await connection.Send(text);
    is_closed = co_await connection.IsClosedWithin(milliseconds(5));
  }
  connection.Drop();
}

}  // namespace

std::string AllEvents() {
  std::string text;
  for (int id = 1; id <= kEvents; ++id) text += Event(id);
  return text;
}

std::string LargeText() {
  constexpr std::size_t kSize = 2U << 20U;
  std::string text;
  for (int line = 0; text.size() < kSize; ++line) {
    text += "id: 7\n" + std::to_string(line) + " of a document\n\n";
  }
  return text;
}

BackendStandin::BackendStandin(const std::string& address, std::string id)
    : address_(address), id_(std::move(id)) {
  standin::Serve(io_, address,
                 [this](HttpRequest request, standin::Connection& connection) {
                   return Handle(std::move(request), connection);
                 });
  thread_ = std::thread([this] { io_.run(); });
}

BackendStandin::~BackendStandin() {
  io_.stop();
  thread_.join();
}

void BackendStandin::SetStatus(int status, std::size_t bytes, bool is_cut) {
  status_ = status;
  status_bytes_ = bytes;
  is_status_cut_ = is_cut;
  manner_ = Manner::kStatus;
}

void BackendStandin::SetStatusText(std::string status, bool is_signed) {
  const std::lock_guard lock(mutex_);
  status_text_ = std::move(status);
  is_status_signed_ = is_signed;
  manner_ = Manner::kStatusText;
}

void BackendStandin::SetLimit(const std::string& per_s) {
  const std::lock_guard lock(mutex_);
  limit_ = per_s.empty() ? "" : "Server-Limit: " + per_s + "\r\n";
}

std::map<std::string, int> BackendStandin::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

int BackendStandin::runs_in_all() const {
  const std::lock_guard lock(mutex_);
  int sum = 0;
  for (const auto& [id, count] : runs_) sum += count;
  return sum;
}

std::string BackendStandin::id() const {
  const std::lock_guard lock(mutex_);
  return id_;
}

void BackendStandin::BecomeAnother(std::string id) {
  const std::lock_guard lock(mutex_);
  id_ = std::move(id);
  arrivals_.clear();
}

HttpRequest BackendStandin::last_request() const {
  const std::lock_guard lock(mutex_);
  return last_request_;
}

asio::awaitable<void> BackendStandin::Handle(HttpRequest request,
                                             standin::Connection& connection) {
  const std::string id(request.Field(kId));
  const std::string_view expected = request.Field(kExpectInstance);
  const bool is_misdirected = !expected.empty() && expected != this->id();
  const Manner manner = is_misdirected ? Manner::kMisdirected : manner_.load();
  std::string limit;
  {
    const std::lock_guard lock(mutex_);
    limit = limit_;
    last_request_ = request;
    const bool repeats_refusal =
        manner == Manner::kRepeatRefusal || manner == Manner::kRefuseAndRun;
    const bool is_refused_first = repeats_refusal && !arrivals_.contains(id);
    const bool runs = manner != Manner::kReject && manner != Manner::kQuiet &&
                      manner != Manner::kMisdirected &&
                      manner != Manner::kLateReject && !is_refused_first;
    if (runs) ++runs_[id];
  }
  const std::string body = id + ":" + request.body;
  switch (manner) {
    case Manner::kAnswer:
      co_await connection.Send(Whole(200, id, body, limit));
      break;
    case Manner::kStream:
    case Manner::kBreakStream:
    case Manner::kStickStream:
      co_await Stream(std::move(request), connection, manner);
      break;
    case Manner::kReject:
      co_await connection.Send(
          Whole(503, id, "", "X-Mangohold-Not-Executed: 1\r\n"));
      break;
    case Manner::kRepeatRefusal:
    case Manner::kRefuseAndRun:
      co_await RefuseOnceMore(id, body, connection,
                              /*is_each=*/manner == Manner::kRefuseAndRun);
      break;
    case Manner::kQuiet:
      co_await connection.Send(Whole(
          503, id, "", "X-Mangohold-Not-Executed: 1\r\nRetry-After: 30\r\n"));
      break;
    case Manner::kLeave:
      co_await connection.Send(Whole(200, id, body, "Server-Leaving: 1\r\n"));
      break;
    case Manner::kMisdirected:
      co_await connection.Send(
          Whole(421, id, "", "X-Mangohold-Instance-Id: other\r\n"));
      break;
    case Manner::kError:
      co_await connection.Send(Whole(500, id, "error"));
      break;
    case Manner::kDropLate:
      connection.Drop();
      break;
    case Manner::kCutAnswer:
      co_await connection.Send(Head(200, id, "Content-Length: 100\r\n") + "ab");
      connection.Drop();
      break;
    case Manner::kExtraAnswer:
      co_await connection.Send(Whole(200, id, body));
      co_await connection.Send(Whole(200, "somebody", "foreign"));
      break;
    case Manner::kEndless:
      co_await connection.Send(Head(200, id, "Connection: close\r\n") + body);
      connection.Finish();
      break;
    case Manner::kEndlessStream:
    case Manner::kEndInsideEvent:
      co_await SendEndlessStream(std::move(request), connection,
                                 manner == Manner::kEndInsideEvent);
      break;
    case Manner::kJson:
      co_await connection.Send(Whole(200, id, "{\"error\":1}\n\n",
                                     "Content-Type: application/json\r\n"));
      break;
    case Manner::kPartialText:
      co_await connection.Send(
          Whole(206, id, "some text\n\n", "Content-Type: text/plain\r\n"));
      break;
    case Manner::kLarge:
      co_await connection.Send(Whole(200, id, LargeText()));
      break;
    case Manner::kBreakLarge: {
      const std::string whole = Whole(200, id, LargeText());
      co_await connection.Send(whole.substr(0, whole.size() / 4 * 3));
      co_await standin::Sleep(milliseconds(30));
      connection.Drop();
      break;
    }
    case Manner::kLateAnswer:
      co_await standin::Sleep(milliseconds(400));
      co_await connection.Send(Whole(200, id, body));
      break;
    case Manner::kLateReject:
      co_await standin::Sleep(milliseconds(400));
      co_await connection.Send(
          Whole(503, id, "", "X-Mangohold-Not-Executed: 1\r\n"));
      break;
    case Manner::kCloseUnasked:
      co_await connection.Send(Whole(200, id, body));
      co_await standin::Sleep(milliseconds(5));
      connection.Drop();
      break;
    case Manner::kHuge:
      co_await connection.Send(Whole(200, id, std::string(kHugeBytes, 'h')));
      break;
    case Manner::kEndlessInterim:
      co_await SendWithoutEnd("HTTP/1.1 102 Standin\r\n\r\n", connection);
      break;
    case Manner::kEndlessForeign:
      co_await SendWithoutEnd(Whole(200, "somebody", "foreign"), connection);
      break;
    case Manner::kSlightlyTooLarge:
      co_await connection.Send(
          Whole(200, id, std::string(kSlightlyTooLargeBytes, 'l')));
      break;
    case Manner::kWork:
      if (co_await connection.IsClosedWithin(work_)) {
        ++cancelled_;
      } else {
        co_await connection.Send(Whole(200, id, body));
      }
      break;
    case Manner::kInterim:
      for (int i = 0; i < 2; ++i) {
        co_await connection.Send(
            "HTTP/1.1 103 Standin\r\nX-Some: field\r\n\r\n");
      }
      co_await connection.Send(Whole(200, id, body));
      break;
    case Manner::kForeignFirst:
      co_await connection.Send(Whole(200, "somebody", "foreign"));
      co_await connection.Send(Whole(200, id, body));
      break;
    case Manner::kShortIdleTime:
      co_await connection.Send(
          Whole(200, id, body, "Keep-Alive: timeout=1\r\n"));
      if (!co_await connection.IsClosedWithin(milliseconds(1'000))) {
        connection.Drop();
      }
      break;
    case Manner::kStatus:
      co_await SendStatus(id, connection);
      break;
    case Manner::kStatusText:
      co_await connection.Send(AnswerWithStatusText(id));
      break;
    case Manner::kHang:
      if (co_await connection.IsClosedWithin(milliseconds(20'000))) {
        ++cancelled_;
      }
      break;
  }
}

int BackendStandin::CountArrival(const std::string& id) {
  const std::lock_guard lock(mutex_);
  return ++arrivals_[id];
}

std::string BackendStandin::AnswerWithStatusText(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  const std::string signature = "X-Mangohold-Request-Id: " + id +
                                "\r\nX-Mangohold-Response-Signature: s." + id +
                                "\r\n";
  return "HTTP/1.1 " + status_text_ + " Odd\r\n" +
         (is_status_signed_ ? signature : "") + "Content-Length: 4\r\n\r\nbody";
}

asio::awaitable<void> BackendStandin::SendStatus(
    const std::string& id, standin::Connection& connection) {
  // The body's beginning names its request.
  std::string body = id + ":";
  body.resize(std::max(body.size(), status_bytes_.load()), 's');
  const std::string whole = Whole(status_, id, body);
  if (!is_status_cut_) {
    co_await connection.Send(whole);
    co_return;
  }
  co_await connection.Send(whole.substr(0, whole.size() - body.size() / 2));
  co_await standin::Sleep(milliseconds(10));
  connection.Drop();
}

asio::awaitable<void> BackendStandin::RefuseOnceMore(
    const std::string& id, const std::string& body,
    standin::Connection& connection, bool is_each) {
  const int arrival = CountArrival(id);
  if (is_each || arrival <= 2) {
    co_await connection.Send(
        Whole(503, id, "", "X-Mangohold-Not-Executed: 1\r\n"));
  }
  if (arrival == 1) co_return;
  co_await standin::Sleep(milliseconds(5));
  co_await connection.Send(Whole(200, id, body));
}

asio::awaitable<void> BackendStandin::SendEndlessStream(
    HttpRequest request, standin::Connection& connection,
    bool ends_inside_event) {
  const std::string last(request.Field("Last-Event-Id"));
  std::string events;
  for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= kEvents;
       ++event) {
    const std::string text = Event(event);
    const bool is_end = ends_inside_event && event == kBroken;
    events += is_end ? text.substr(0, text.size() / 2) : text;
    if (is_end) break;
  }
  co_await connection.Send(Head(200, std::string(request.Field(kId)),
                                "Content-Type: text/event-stream\r\n"
                                "Connection: close\r\n") +
                           events);
  connection.Finish();
}

asio::awaitable<void> BackendStandin::Stream(HttpRequest request,
                                             standin::Connection& connection,
                                             Manner manner) {
  const std::string id(request.Field(kId));
  const std::string last(request.Field("Last-Event-Id"));
  co_await connection.Send(Head(200, id,
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n"));
  for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= kEvents;
       ++event) {
    const std::string text = Event(event);
    if (manner == Manner::kStickStream && event == kBroken) {
      if (co_await connection.IsClosedWithin(milliseconds(20'000))) {
        ++cancelled_;
      }
      co_return;
    }
    if (manner == Manner::kBreakStream && event == kBroken) {
      co_await connection.Chunk(text.substr(0, text.size() / 2));
      co_await standin::Sleep(milliseconds(30));
      connection.Drop();
      co_return;
    }
    co_await connection.Chunk(text);
    if (co_await connection.IsClosedWithin(milliseconds(20))) {
      ++cancelled_;
      connection.Drop();
      co_return;
    }
  }
  co_await connection.EndChunks();
}
}  // namespace mangohold::testing
