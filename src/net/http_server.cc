#include "net/http_server.h"

#include <algorithm>
#include <map>
#include <restinio/all.hpp>
#include <unordered_map>
#include <vector>

#include "core/log.h"
#include "net/body_guard.h"
#include "net/endpoint.h"
#include "net/guarded_socket.h"
#include "net/http1_text.h"
#include "net/http_status.h"

namespace mangohold {
namespace {

// Requests that may wait on one connection while one is being answered. With
// one more than the request in progress the server keeps reading, and so
// notices that the caller has gone.
constexpr std::size_t kPipelinedRequests = 2;

// Calls back the exchanges of a connection when it closes.
class CloseListener {
 public:
  void Register(restinio::connection_id_t id,
                const std::shared_ptr<HttpExchange>& exchange) {
    exchanges_[id] = exchange;
  }
  void SetNotify(std::function<void(HttpExchange&)> notify) {
    notify_ = std::move(notify);
  }
  // Called by the HTTP library.
  void state_changed(const restinio::connection_state::notice_t& notice) {
    if (!std::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause())) {
      return;
    }
    const auto it = exchanges_.find(notice.connection_id());
    if (it == exchanges_.end()) return;
    const auto exchange = it->second.lock();
    exchanges_.erase(it);
    if (exchange != nullptr) notify_(*exchange);
  }

 private:
  std::unordered_map<restinio::connection_id_t, std::weak_ptr<HttpExchange>>
      exchanges_;
  std::function<void(HttpExchange&)> notify_;
};

// Bounds what the requests of all connections of a server hold, and refuses
// those that go beyond before RESTinio keeps their bytes.
class BodyGuards : public ConnectionGuards {
 public:
  explicit BodyGuards(const HttpServer::Options& options)
      : max_body_bytes_(options.max_body_bytes),
        counters_(options.counters),
        budget_(options.memory) {}

  bool Admit(GuardedSocket& socket, std::string_view data) override {
    Connection& connection = Find(socket);
    const Reason reason = connection.guard->OnBytes(data, Clock::now());
    if (reason == Reason::kNone) return true;
    // An evicted connection has been told before.
    if (!connection.is_refused) Refuse(connection, reason);
    return false;
  }

  void Forget(const GuardedSocket& socket) noexcept override {
    const auto it = connections_.find(&socket);
    if (it == connections_.end()) return;
    const auto peer = by_peer_.find(it->second->peer);
    const bool is_own =
        peer != by_peer_.end() && peer->second == it->second.get();
    if (is_own) by_peer_.erase(peer);
    connections_.erase(it);
  }

  // What the request holds that has just been read from `peer`.
  BodyGuard::Lease TakeWhole(const asio::ip::tcp::endpoint& peer) {
    const auto it = by_peer_.find(peer);
    return it == by_peer_.end() ? nullptr : it->second->guard->TakeWhole();
  }

  MemoryBudget& budget() { return budget_; }

 private:
  struct Connection {
    GuardedSocket* socket = nullptr;
    asio::ip::tcp::endpoint peer;
    std::unique_ptr<BodyGuard> guard;
    bool is_refused = false;
  };

  Connection& Find(GuardedSocket& socket) {
    std::unique_ptr<Connection>& found = connections_[&socket];
    if (found != nullptr) return *found;
    found = std::make_unique<Connection>();
    Connection& connection = *found;
    std::error_code error;  // a peer that has gone has no address
    connection.socket = &socket;
    connection.peer = socket.remote_endpoint(error);
    connection.guard = std::make_unique<BodyGuard>(
        budget_, max_body_bytes_, [this, &connection](Eviction eviction) {
          connection.guard->Drop();
          Refuse(connection, eviction == Eviction::kStalled
                                 ? Reason::kBodyTooSlow
                                 : Reason::kMemoryLimit);
        });
    by_peer_.insert_or_assign(connection.peer, &connection);
    return connection;
  }

  // Sends a last answer, unless another is being written, and ends the
  // connection, which RESTinio then notices.
  void Refuse(Connection& connection, Reason reason) {
    connection.is_refused = true;
    if (counters_ != nullptr) counters_->CountRefusal(reason);
    Log(LogLevel::kInfo, "body_refused",
        {{"reason", Name(reason)},
         {"held_bytes", budget_.bytes()},
         {"holders", budget_.holders()}});
    std::error_code ignored;  // the peer may have gone
    if (!connection.guard->is_answering()) {
      HttpFields fields = {{"Content-Length", "0"},
                           {"Connection", "close"},
                           {"Mangohold-Reason", std::string(Name(reason))}};
      const int status = HttpStatus(reason);
      if (status == kUnavailable) fields.push_back({"Retry-After", "1"});
      const std::string text = ResponseText(status, fields);
      connection.socket->non_blocking(true, ignored);
      connection.socket->write_some(asio::buffer(text), ignored);
    }
    connection.socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }

  static constexpr int kUnavailable = 503;

  std::size_t max_body_bytes_;
  Counters* counters_;
  MemoryBudget budget_;
  std::unordered_map<const GuardedSocket*, std::unique_ptr<Connection>>
      connections_;
  std::map<asio::ip::tcp::endpoint, Connection*> by_peer_;
};

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using stream_socket_t = GuardedSocket;
  using connection_state_listener_t = CloseListener;
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ServerTraits>;
using StreamedResponse =
    restinio::response_builder_t<restinio::chunked_output_t>;

HttpRequest ToRequest(const restinio::request_t& request) {
  HttpRequest out;
  out.method = request.header().method().c_str();
  out.path = std::string(request.header().path());
  out.query = std::string(request.header().query());
  request.header().for_each_field([&out](const auto& field) {
    out.fields.push_back({field.name(), field.value()});
  });
  out.body = request.body();
  out.remote_ip = request.remote_endpoint().address().to_string();
  return out;
}

restinio::http_status_line_t StatusLine(int status) {
  const int checked = CheckedStatus(status);
  return {restinio::http_status_code_t(static_cast<std::uint16_t>(checked)),
          checked < 400 ? "OK" : "Refused"};
}

}  // namespace

struct HttpExchange::Impl {
  // What is held is freed before the guards that count it.
  std::shared_ptr<BodyGuards> guards;
  BodyGuard::Lease held;
  // Not evicted: the request has run.
  std::shared_ptr<MemoryBudget::Holder> answer;
  restinio::request_handle_t request;
  std::shared_ptr<bool> close_after_reply;
  std::shared_ptr<int> unwritten;
  std::unique_ptr<StreamedResponse> stream;
  std::function<void()> on_closed;
  bool answered = false;

  template <typename Builder>
  void AddFields(Builder& builder, const HttpFields& fields) {
    for (const HttpField& field : fields) {
      builder.append_header(field.name, field.value);
    }
    if (*close_after_reply) builder.connection_close();
  }

  // Counts a complete response as unwritten until the operating system has
  // taken it, or its connection has closed.
  template <typename Response>
  void Complete(Response& response) {
    ++*unwritten;
    response.done([count = unwritten, keep = guards, held = held,
                   answer = answer](const auto& /*error*/) { --*count; });
  }
};

HttpExchange::HttpExchange(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

HttpExchange::~HttpExchange() {
  if (impl_->answered) return;
  if (impl_->stream) {
    Finish();
  } else {
    Reply(500, {}, "no answer was produced\n");
  }
}

bool HttpExchange::HoldAnswer(std::size_t bytes) {
  const TimePoint now = Clock::now();
  if (impl_->answer == nullptr) {
    impl_->answer = std::make_shared<MemoryBudget::Holder>(
        impl_->guards->budget(), nullptr, now);
  }
  return impl_->answer->Resize(bytes, now);
}

void HttpExchange::Reply(int status, const HttpFields& fields,
                         std::string body) {
  if (impl_->answered) return;
  impl_->answered = true;
  impl_->on_closed = nullptr;
  auto response = impl_->request->create_response(StatusLine(status));
  impl_->AddFields(response, fields);
  response.set_body(std::move(body));
  impl_->Complete(response);
}

void HttpExchange::StartStream(int status, const HttpFields& fields) {
  impl_->stream = std::make_unique<StreamedResponse>(
      impl_->request->create_response<restinio::chunked_output_t>(
          StatusLine(status)));
  impl_->AddFields(*impl_->stream, fields);
  impl_->stream->flush();
}

void HttpExchange::Write(std::string data, std::function<void()> on_written) {
  if (impl_->answered || data.empty()) return;
  impl_->stream->append_chunk(std::move(data));
  impl_->stream->flush([on_written = std::move(on_written)](const auto& error) {
    if (!error && on_written) on_written();
  });
}

void HttpExchange::Finish() {
  if (impl_->answered) return;
  impl_->answered = true;
  impl_->on_closed = nullptr;
  impl_->Complete(*impl_->stream);
  impl_->stream.reset();
}

void HttpExchange::SetOnClosed(std::function<void()> on_closed) {
  impl_->on_closed = std::move(on_closed);
}

struct HttpServer::State {
  std::shared_ptr<BodyGuards> guards;
  std::shared_ptr<CloseListener> listener = std::make_shared<CloseListener>();
  std::shared_ptr<bool> close_after_reply = std::make_shared<bool>(false);
  std::shared_ptr<int> unwritten = std::make_shared<int>(0);
  std::unique_ptr<Server> server;
};

HttpServer::Options HttpServer::SmallRequests(Endpoint address,
                                              int max_connections,
                                              Counters& counters) {
  // A directory question is the largest of them, with less than 1 KiB.
  constexpr std::size_t kMostBodyBytes = 64U << 10U;
  constexpr std::size_t kMostHeldBytes = 4U << 20U;
  return {.address = std::move(address),
          .max_connections = max_connections,
          .max_body_bytes = kMostBodyBytes,
          .memory = {.limit = kMostHeldBytes, .reserve = kMostHeldBytes / 4},
          .counters = &counters};
}

HttpServer::HttpServer(asio::io_context& io, const Options& options,
                       Handler handler)
    : state_(std::make_unique<State>()) {
  state_->guards = std::make_shared<BodyGuards>(options);
  state_->listener->SetNotify([](HttpExchange& exchange) {
    exchange.impl_->answered = true;
    const auto on_closed = std::move(exchange.impl_->on_closed);
    if (on_closed) on_closed();
  });
  const auto on_request =
      [listener = state_->listener, close = state_->close_after_reply,
       unwritten = state_->unwritten, guards = state_->guards,
       handler =
           std::move(handler)](const restinio::request_handle_t& request) {
        auto impl = std::make_unique<HttpExchange::Impl>();
        impl->guards = guards;
        impl->held = guards->TakeWhole(request->remote_endpoint());
        impl->request = request;
        impl->close_after_reply = close;
        impl->unwritten = unwritten;
        auto exchange = std::make_shared<HttpExchange>(std::move(impl));
        listener->Register(request->connection_id(), exchange);
        handler(ToRequest(*request), std::move(exchange));
        return restinio::request_accepted();
      };
  const HostPort address = ParseEndpoint(options.address);
  restinio::server_settings_t<ServerTraits> settings;
  settings.set_guards(state_->guards);
  settings.address(address.host)
      .port(address.port)
      .connection_state_listener(state_->listener)
      .max_parallel_connections(
          static_cast<std::size_t>(options.max_connections))
      .max_pipelined_requests(kPipelinedRequests)
      .read_next_http_message_timelimit(options.idle_timeout)
      .write_http_response_timelimit(options.write_timeout)
      .handle_request_timeout(options.handler_timeout)
      .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t{}
              .max_url_size(options.max_field_bytes)
              .max_field_name_size(options.max_field_bytes)
              .max_field_value_size(options.max_field_bytes)
              .max_field_count(100)
              .max_body_size(options.max_body_bytes))
      .socket_options_setter([](auto& socket_options) {
        socket_options.set_option(asio::ip::tcp::no_delay(true));
      })
      .request_handler(on_request);
  state_->server = std::make_unique<Server>(restinio::external_io_context(io),
                                            std::move(settings));
}

HttpServer::~HttpServer() = default;

absl::Status HttpServer::Listen() {
  try {
    state_->server->open_sync();
  } catch (const std::exception& error) {
    return absl::UnavailableError(error.what());
  }
  return absl::OkStatus();
}

void HttpServer::StopListening() { state_->server->close_sync(); }

void HttpServer::CloseAfterReply() { *state_->close_after_reply = true; }

int HttpServer::unwritten() const { return *state_->unwritten; }

}  // namespace mangohold
