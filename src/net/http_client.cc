#include "net/http_client.h"

#include <curl/curl.h>

#include <asio.hpp>
#include <map>
#include <unordered_map>

#include "core/log.h"
#include "net/event_loop.h"
#include "net/http_status.h"

namespace mangohold {
namespace {

constexpr long kPooledConnections = 64;  // NOLINT(google-runtime-int)
// Of all heads of one call; servers of the field send a few KiB.
constexpr std::size_t kMaxHeadBytes = 64U << 10U;
constexpr int kTooManyRequests = 429;

// The server and the path of a URL, without the query.
std::string_view WithoutQuery(std::string_view url) {
  return url.substr(0, url.find('?'));
}

void InitCurlOnce() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(result);
}

}  // namespace

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  struct Transfer {
    State* owner = nullptr;
    HttpCallId id;
    CURL* easy = nullptr;
    curl_slist* request_fields = nullptr;
    HttpCall call;
    HttpHandlers handlers;
    HttpFields response_fields;
    int status = 0;
    std::size_t head_bytes = 0;
    bool is_too_large = false;
    bool head_ended = false;  // by its empty line
    bool head_done = false;   // handed on
    bool paused = false;
    bool cancelled = false;

    ~Transfer() {
      curl_easy_cleanup(easy);
      curl_slist_free_all(request_fields);
    }
  };
  struct Watch {
    explicit Watch(asio::io_context& io) : descriptor(io) {}
    asio::posix::stream_descriptor descriptor;
    int interest = 0;
    bool reading = false;
    bool writing = false;
  };

  State(asio::io_context& io_context, Counters* event_counters)
      : io(io_context), timer(io), counters(event_counters) {
    InitCurlOnce();
    multi = curl_multi_init();
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &State::OnSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &State::OnTimer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kPooledConnections);
  }
  ~State() {
    for (auto& [id, transfer] : transfers) {
      curl_multi_remove_handle(multi, transfer->easy);
    }
    transfers.clear();
    curl_multi_cleanup(multi);
    for (auto& [fd, watch] : watches) watch->descriptor.release();
  }

  // libcurl asks for a file descriptor to be watched.
  static int OnSocket(CURL*, curl_socket_t fd, int interest, void* self,
                      void*) {
    auto* state = static_cast<State*>(self);
    if (interest == CURL_POLL_REMOVE) {
      const auto it = state->watches.find(fd);
      if (it != state->watches.end()) {
        it->second->descriptor.release();
        state->watches.erase(it);
      }
      return 0;
    }
    auto& watch = state->watches[fd];
    if (watch == nullptr) {
      watch = std::make_shared<Watch>(state->io);
      watch->descriptor.assign(fd);
    }
    watch->interest = interest;
    state->Arm(fd, watch);
    return 0;
  }

  void Arm(curl_socket_t fd, const std::shared_ptr<Watch>& watch) {
    if ((watch->interest & CURL_POLL_IN) != 0 && !watch->reading) {
      watch->reading = true;
      Wait(fd, watch, asio::posix::stream_descriptor::wait_read,
           CURL_CSELECT_IN, &Watch::reading);
    }
    if ((watch->interest & CURL_POLL_OUT) != 0 && !watch->writing) {
      watch->writing = true;
      Wait(fd, watch, asio::posix::stream_descriptor::wait_write,
           CURL_CSELECT_OUT, &Watch::writing);
    }
  }

  void Wait(curl_socket_t fd, const std::shared_ptr<Watch>& watch,
            asio::posix::stream_descriptor::wait_type type, int event,
            bool Watch::*flag) {
    watch->descriptor.async_wait(
        type, [weak = weak_from_this(), fd, weak_watch = std::weak_ptr(watch),
               event, flag](const std::error_code& error) {
          const auto state = weak.lock();
          const auto alive = weak_watch.lock();
          if (error || state == nullptr || alive == nullptr) return;
          (*alive).*flag = false;
          state->Act(fd, event);
          const auto it = state->watches.find(fd);
          if (it != state->watches.end() && it->second == alive) {
            state->Arm(fd, alive);
          }
        });
  }

  // libcurl asks to be called after a delay; a negative one cancels.
  // NOLINTNEXTLINE(google-runtime-int): libcurl's own type
  static int OnTimer(CURLM*, long delay_ms, void* self) {
    auto* state = static_cast<State*>(self);
    state->timer.cancel();
    if (delay_ms < 0) return 0;
    state->timer.expires_after(Millis(delay_ms));
    state->timer.async_wait(
        [weak = state->weak_from_this()](const std::error_code& error) {
          const auto alive = weak.lock();
          if (error || alive == nullptr) return;
          alive->Act(CURL_SOCKET_TIMEOUT, 0);
        });
    return 0;
  }

  void Act(curl_socket_t fd, int event) {
    int running = 0;
    curl_multi_socket_action(multi, fd, event, &running);
    CollectFinished();
  }

  void CollectFinished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      Finish(*transfer, message->data.result);
    }
  }

  void Finish(Transfer& transfer, CURLcode code) {
    const auto node = transfers.extract(transfer.id);
    const auto& owned = node.mapped();
    curl_multi_remove_handle(multi, owned->easy);
    if (owned->cancelled) return;
    long sent_bytes = 0;  // NOLINT(google-runtime-int)
    curl_easy_getinfo(owned->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    HttpResult result = HttpResult::kBroken;
    // libcurl takes a head for whole that ends with its connection.
    if (owned->is_too_large) {
      result = HttpResult::kTooLarge;
    } else if (code == CURLE_OK && owned->head_ended) {
      DeliverHead(*owned);
      result = HttpResult::kComplete;
    } else if (sent_bytes == 0) {
      result = HttpResult::kNotSent;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
      result = HttpResult::kTimedOut;
    }
    if (!owned->cancelled) owned->handlers.on_done(result);
  }

  static void DeliverHead(Transfer& transfer) {
    if (transfer.head_done) return;
    transfer.head_done = true;
    if (transfer.handlers.on_head) {
      transfer.handlers.on_head(transfer.status, transfer.response_fields);
    }
  }

  void Reject(Transfer& transfer, std::string_view part, std::size_t limit) {
    transfer.is_too_large = true;
    if (counters != nullptr) counters->Count(Event::kAnswersTooLarge);
    Log(LogLevel::kWarning, "answer_too_large",
        {{"url", WithoutQuery(transfer.call.url)},
         {"part", part},
         {"limit_bytes", limit},
         {"status", transfer.status}});
  }

  // Ends the transfer as a broken one: libcurl would take some numbers that are
  // no status for one.
  std::size_t RejectStatus(const Transfer& transfer, std::string_view line) {
    constexpr std::size_t kMostLogged = 40;
    if (counters != nullptr) counters->Count(Event::kExchangesWithoutAnswer);
    Log(LogLevel::kWarning, "answer_without_status",
        {{"url", WithoutQuery(transfer.call.url)},
         {"line", line.substr(0, kMostLogged)}});
    return 0;
  }

  // A return value other than the size ends the transfer.
  static std::size_t OnField(char* data, std::size_t size, std::size_t count,
                             void* self) {
    auto& transfer = *static_cast<Transfer*>(self);
    transfer.head_bytes += size * count;
    if (transfer.head_bytes > kMaxHeadBytes) {
      transfer.owner->Reject(transfer, "head", kMaxHeadBytes);
      return 0;
    }
    std::string_view line(data, size * count);
    while (line.ends_with('\n') || line.ends_with('\r')) line.remove_suffix(1);
    if (line.empty()) transfer.head_ended = true;
    if (line.starts_with("HTTP/")) {
      transfer.head_ended = false;
      transfer.response_fields.clear();
      const auto status = StatusOfLine(line);
      if (!status) return transfer.owner->RejectStatus(transfer, line);
      transfer.status = *status;
      // A late copy of a refusal would be taken for the answer to the next
      // request, which may have run.
      if (transfer.status == kTooManyRequests) {
        curl_easy_setopt(transfer.easy, CURLOPT_FORBID_REUSE, 1L);
      }
    } else if (const std::size_t colon = line.find(':');
               colon != std::string_view::npos && !transfer.head_done) {
      std::string_view value = line.substr(colon + 1);
      while (value.starts_with(' ')) value.remove_prefix(1);
      transfer.response_fields.push_back(
          {std::string(line.substr(0, colon)), std::string(value)});
    }
    return size * count;
  }

  static std::size_t OnData(char* data, std::size_t size, std::size_t count,
                            void* self) {
    auto& transfer = *static_cast<Transfer*>(self);
    if (transfer.cancelled) return CURL_WRITEFUNC_ERROR;
    if (transfer.paused) return CURL_WRITEFUNC_PAUSE;
    DeliverHead(transfer);
    if (!transfer.cancelled && transfer.handlers.on_data) {
      transfer.handlers.on_data({data, size * count});
    }
    return transfer.is_too_large ? CURL_WRITEFUNC_ERROR : size * count;
  }

  void Add(std::unique_ptr<Transfer> owned) {
    Transfer& transfer = *owned;
    const HttpCall& call = transfer.call;
    CURL* easy = curl_easy_init();
    transfer.easy = easy;
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "HEAD") curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    }
    curl_slist* fields = curl_slist_append(nullptr, "Expect:");
    for (const HttpField& field : call.fields) {
      const std::string line = field.name + ": " + field.value;
      fields = curl_slist_append(fields, line.c_str());
    }
    transfer.request_fields = fields;
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, fields);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &State::OnField);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &State::OnData);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(ToMillis(call.connect_timeout)));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(ToMillis(call.timeout)));
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    if (call.fresh_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    transfers.emplace(transfer.id, std::move(owned));
    curl_multi_add_handle(multi, easy);
  }

  asio::io_context& io;
  asio::steady_timer timer;
  Counters* counters;
  CURLM* multi = nullptr;
  HttpCallId last_id;
  std::map<HttpCallId, std::unique_ptr<Transfer>> transfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> watches;
};

HttpClient::HttpClient(asio::io_context& io, Counters* counters)
    : state_(std::make_shared<State>(io, counters)) {}

HttpClient::~HttpClient() = default;

// libcurl refuses calls from inside its own callbacks, so additions, removals
// and unpausing are posted to the event loop.
HttpCallId HttpClient::Start(HttpCall call, HttpHandlers handlers) {
  auto transfer = std::make_shared<std::unique_ptr<State::Transfer>>(
      std::make_unique<State::Transfer>());
  (*transfer)->owner = state_.get();
  (*transfer)->id = state_->last_id = state_->last_id.Next();
  (*transfer)->call = std::move(call);
  (*transfer)->handlers = std::move(handlers);
  asio::post(state_->io, [weak = std::weak_ptr(state_), transfer] {
    if (const auto state = weak.lock()) state->Add(std::move(*transfer));
  });
  return state_->last_id;
}

void HttpClient::Cancel(HttpCallId id) {
  const auto it = state_->transfers.find(id);
  if (it != state_->transfers.end()) it->second->cancelled = true;
  asio::post(state_->io, [weak = std::weak_ptr(state_), id] {
    const auto state = weak.lock();
    if (state == nullptr) return;
    const auto transfer = state->transfers.find(id);
    if (transfer == state->transfers.end()) return;
    curl_multi_remove_handle(state->multi, transfer->second->easy);
    state->transfers.erase(transfer);
  });
}

void HttpClient::Pause(HttpCallId id) {
  const auto it = state_->transfers.find(id);
  if (it != state_->transfers.end()) it->second->paused = true;
}

void HttpClient::Resume(HttpCallId id) {
  asio::post(state_->io, [weak = std::weak_ptr(state_), id] {
    const auto state = weak.lock();
    if (state == nullptr) return;
    const auto transfer = state->transfers.find(id);
    if (transfer == state->transfers.end()) return;
    transfer->second->paused = false;
    curl_easy_pause(transfer->second->easy, CURLPAUSE_CONT);
    state->CollectFinished();
  });
}

void HttpClient::RejectAsTooLarge(HttpCallId id, std::size_t limit) {
  const auto it = state_->transfers.find(id);
  if (it != state_->transfers.end()) state_->Reject(*it->second, "body", limit);
}

HttpCallId Fetch(HttpClient& client, HttpCall call, MaxBody max_body,
                 std::function<void(HttpResponse)> on_response) {
  auto response = std::make_shared<HttpResponse>();
  const auto id = std::make_shared<HttpCallId>();
  return *id = client.Start(
             std::move(call),
             {.on_head =
                  [response](int status, const HttpFields& fields) {
                    response->status = status;
                    response->fields = fields;
                  },
              .on_data =
                  [&client, response, id, max_body](std::string_view data) {
                    if (response->body.size() + data.size() > max_body.bytes) {
                      return client.RejectAsTooLarge(*id, max_body.bytes);
                    }
                    response->body.append(data);
                  },
              .on_done =
                  [response,
                   on_response = std::move(on_response)](HttpResult result) {
                    response->result = result;
                    if (result == HttpResult::kTooLarge) response->body.clear();
                    on_response(std::move(*response));
                  }});
}

HttpResponse FetchAndWait(HttpCall call, MaxBody max_body) {
  EventLoop loop;
  HttpClient http(loop.io());
  HttpResponse out;
  Fetch(http, std::move(call), max_body, [&](HttpResponse response) {
    out = std::move(response);
    loop.Stop();
  });
  loop.Run();
  return out;
}

}  // namespace mangohold
