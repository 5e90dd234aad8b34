#include "net/http_server.h"

#include <algorithm>
#include <restinio/all.hpp>
#include <unordered_map>
#include <vector>

#include "net/endpoint.h"

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

struct ServerTraits : public restinio::default_single_thread_traits_t {
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
  return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
          status < 400 ? "OK" : "Refused"};
}

}  // namespace

struct HttpExchange::Impl {
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
    response.done([count = unwritten](const auto& /*error*/) { --*count; });
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
  std::shared_ptr<CloseListener> listener = std::make_shared<CloseListener>();
  std::shared_ptr<bool> close_after_reply = std::make_shared<bool>(false);
  std::shared_ptr<int> unwritten = std::make_shared<int>(0);
  std::unique_ptr<Server> server;
};

HttpServer::HttpServer(asio::io_context& io, const Options& options,
                       Handler handler)
    : state_(std::make_unique<State>()) {
  state_->listener->SetNotify([](HttpExchange& exchange) {
    exchange.impl_->answered = true;
    const auto on_closed = std::move(exchange.impl_->on_closed);
    if (on_closed) on_closed();
  });
  const auto on_request =
      [listener = state_->listener, close = state_->close_after_reply,
       unwritten = state_->unwritten, handler = std::move(handler)](
          const restinio::request_handle_t& request) {
        auto impl = std::make_unique<HttpExchange::Impl>();
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
