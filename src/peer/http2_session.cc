#include "peer/http2_session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <ranges>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "peer/http2_socket.h"

namespace mangohold {
namespace {

constexpr std::size_t kReadBytes = 64U << 10U;
constexpr std::size_t kWriteBatchBytes = 64U << 10U;
// The window of a stream bounds the bytes buffered for a slow reader.
constexpr std::int32_t kStreamWindowBytes = 64 << 10;
// The connection window is large enough that a slow stream can't block the
// others.
constexpr std::int32_t kConnectionWindowBytes = 1 << 30;
constexpr std::uint32_t kMaxStreams = 10'000;
// A ping is sent after this long without data from the peer.
constexpr Duration kPingInterval = std::chrono::milliseconds(500);
// A connection is closed after this long without data from the peer.
constexpr Duration kReceiveTimeout = std::chrono::seconds(3);

nghttp2_nv ToNv(const HttpField& field) {
  // The const_cast is safe: without NO_COPY flags, nghttp2 copies both texts.
  return {
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.name.data())),
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.value.data())),
      field.name.size(), field.value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> ToNvs(const HttpFields& fields) {
  std::vector<nghttp2_nv> out(fields.size());
  std::ranges::transform(fields, out.begin(), ToNv);
  return out;
}

}  // namespace

struct Http2Stream::Impl {
  std::weak_ptr<Http2Session::Impl> session;
  std::int32_t id = 0;
  // Shared, because a handler may replace the handlers while it runs; the
  // caller keeps the old ones alive until it returns.
  std::shared_ptr<const Http2Handlers> handlers =
      std::make_shared<const Http2Handlers>();
  HttpFields incoming;
  bool has_head = false;
  std::string queue;
  bool local_end = false;
  HttpFields trailers;
  bool deferred = false;
  bool closed = false;        // the stream no longer exists in nghttp2
  bool remote_ended = false;  // the peer's END_STREAM has arrived
  bool local_sent = false;    // all queued bytes and the end were framed

  // Makes nghttp2 read from the queue again after it has found it empty.
  void ResumeSending();
};

struct Http2Session::Impl : std::enable_shared_from_this<Http2Session::Impl> {
  Impl(asio::ip::tcp::socket connected, OnStream accept)
      : socket(std::move(connected)),
        ping_timer(socket.get_executor()),
        on_stream(std::move(accept)),
        last_read(Clock::now()) {}
  ~Impl() { nghttp2_session_del(session); }

  void Start(bool is_server) {
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    CreateSession(is_server);
    const std::array<nghttp2_settings_entry, 2> settings = {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes}}};
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                          kConnectionWindowBytes);
    ScheduleWrite();
    Read();
    SchedulePing();
  }

  void CreateSession(bool is_server) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            &OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              &OnData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           &OnStreamClose);
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_peer_max_concurrent_streams(option, kMaxStreams);
    if (is_server) {
      nghttp2_session_server_new2(&session, callbacks, this, option);
    } else {
      nghttp2_session_client_new2(&session, callbacks, this, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
  }

  static Impl& Self(void* user_data) { return *static_cast<Impl*>(user_data); }

  Http2StreamPtr Find(std::int32_t id) const {
    const auto it = streams.find(id);
    return it == streams.end() ? nullptr : it->second;
  }

  Http2StreamPtr AddStream(std::int32_t id) {
    auto impl = std::make_unique<Http2Stream::Impl>();
    impl->session = weak_from_this();
    impl->id = id;
    auto stream = std::make_shared<Http2Stream>(std::move(impl));
    streams.emplace(id, stream);
    return stream;
  }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                            void* user_data) {
    Impl& self = Self(user_data);
    const std::int32_t id = frame->hd.stream_id;
    if (self.on_stream && self.Find(id) == nullptr) {
      self.on_stream(self.AddStream(id));
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t, void* user_data) {
    const auto stream = Self(user_data).Find(frame->hd.stream_id);
    if (stream == nullptr) return 0;
    stream->impl_->incoming.push_back(
        {std::string(reinterpret_cast<const char*>(name), name_size),
         std::string(reinterpret_cast<const char*>(value), value_size)});
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame,
                     void* user_data) {
    const auto stream = Self(user_data).Find(frame->hd.stream_id);
    if (stream == nullptr) return 0;
    Http2Stream::Impl& impl = *stream->impl_;
    HttpFields trailers;
    if (frame->hd.type == NGHTTP2_HEADERS) {
      HttpFields fields = std::move(impl.incoming);
      impl.incoming.clear();
      if (impl.has_head) {
        trailers = std::move(fields);
      } else {
        impl.has_head = true;
        const auto handlers = impl.handlers;
        if (handlers->on_head) handlers->on_head(std::move(fields));
      }
    }
    const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (ends && !impl.remote_ended && !impl.closed) {
      impl.remote_ended = true;
      const auto handlers = impl.handlers;
      if (handlers->on_end) handlers->on_end(std::move(trailers));
    }
    return 0;
  }

  static int OnData(nghttp2_session* session, std::uint8_t, std::int32_t id,
                    const std::uint8_t* data, std::size_t size,
                    void* user_data) {
    const auto stream = Self(user_data).Find(id);
    const auto handlers = stream == nullptr ? nullptr : stream->impl_->handlers;
    if (handlers == nullptr || !handlers->on_data) {
      nghttp2_session_consume(session, id, size);
      return 0;
    }
    handlers->on_data({reinterpret_cast<const char*>(data), size});
    return 0;
  }

  static int OnStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t,
                           void* user_data) {
    Self(user_data).RemoveStream(id);
    return 0;
  }

  // Removes a closed stream and calls `on_broken` if either direction was
  // incomplete.
  void RemoveStream(std::int32_t id) {
    const auto node = streams.extract(id);
    if (node.empty()) return;
    Http2Stream::Impl& impl = *node.mapped()->impl_;
    impl.closed = true;
    const auto handlers = std::move(impl.handlers);
    impl.handlers = std::make_shared<const Http2Handlers>();
    const bool is_complete = impl.remote_ended && impl.local_sent;
    if (!is_complete && handlers->on_broken) handlers->on_broken();
  }

  static ssize_t OnDataSourceRead(nghttp2_session* session, std::int32_t id,
                                  std::uint8_t* buffer, std::size_t capacity,
                                  std::uint32_t* flags, nghttp2_data_source*,
                                  void* user_data) {
    Impl& self = Self(user_data);
    const auto stream = self.Find(id);
    if (stream == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    Http2Stream::Impl& impl = *stream->impl_;
    const std::size_t size = std::min(capacity, impl.queue.size());
    if (size == 0 && !impl.local_end) {
      impl.deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    const bool was_above = impl.queue.size() > kLowWater;
    std::copy_n(impl.queue.data(), size, buffer);
    impl.queue.erase(0, size);
    if (impl.queue.empty() && impl.local_end) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      impl.local_sent = true;
      if (!impl.trailers.empty()) {
        *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
        const auto nvs = ToNvs(impl.trailers);
        nghttp2_submit_trailer(session, id, nvs.data(), nvs.size());
      }
    }
    if (was_above && impl.queue.size() <= kLowWater) self.PostWritable(stream);
    return static_cast<ssize_t>(size);
  }

  void PostWritable(const Http2StreamPtr& stream) {
    asio::post(socket.get_executor(), [stream] {
      const Http2Stream::Impl& impl = *stream->impl_;
      const auto handlers = impl.handlers;
      if (!impl.closed && handlers->on_writable) handlers->on_writable();
    });
  }

  // Schedules the sending of pending frames. Write is posted instead of called,
  // because nghttp2 must not be entered from its own callbacks, and so that
  // frames of several streams share one write.
  void ScheduleWrite() {
    if (write_scheduled || writing || closed) return;
    write_scheduled = true;
    asio::post(socket.get_executor(), [self = shared_from_this()] {
      self->write_scheduled = false;
      self->Write();
    });
  }

  void Write() {
    if (writing || closed) return;
    outgoing.clear();
    while (outgoing.size() < kWriteBatchBytes) {
      const std::uint8_t* data = nullptr;
      const ssize_t size = nghttp2_session_mem_send(session, &data);
      if (size <= 0) break;
      outgoing.append(reinterpret_cast<const char*>(data),
                      static_cast<std::size_t>(size));
    }
    if (outgoing.empty()) {
      if (nghttp2_session_want_read(session) == 0 &&
          nghttp2_session_want_write(session) == 0) {
        Close();
      }
      return;
    }
    writing = true;
    asio::async_write(
        socket, asio::buffer(outgoing),
        [self = shared_from_this()](const std::error_code& error, std::size_t) {
          self->writing = false;
          if (error) {
            self->Close();
          } else {
            self->Write();
          }
        });
  }

  void Read() {
    socket.async_read_some(
        asio::buffer(incoming),
        [self = shared_from_this()](const std::error_code& error,
                                    std::size_t size) {
          if (error || self->closed) {
            self->Close();
            return;
          }
          self->last_read = Clock::now();
          const ssize_t taken = nghttp2_session_mem_recv(
              self->session,
              reinterpret_cast<const std::uint8_t*>(self->incoming.data()),
              size);
          if (taken < 0) {
            self->Close();
            return;
          }
          self->ScheduleWrite();
          self->Read();
        });
  }

  void SchedulePing() {
    ping_timer.expires_after(kPingInterval);
    ping_timer.async_wait(
        [weak = weak_from_this()](const std::error_code& error) {
          const auto self = weak.lock();
          if (error || self == nullptr || self->closed) return;
          self->CheckReceiveTimeout();
        });
  }

  // Closes the connection if nothing was received for too long: a suspended or
  // partitioned peer doesn't close its socket. If this process itself was
  // suspended, the timeout starts again, so that it first reads what has
  // arrived in the meantime.
  void CheckReceiveTimeout() {
    const TimePoint now = Clock::now();
    const bool was_suspended = now - last_timeout_check > 2 * kPingInterval;
    last_timeout_check = now;
    if (was_suspended) last_read = now;
    if (now - last_read >= kReceiveTimeout) {
      Close();
      return;
    }
    if (now - last_read >= kPingInterval) {
      nghttp2_submit_ping(session, NGHTTP2_FLAG_NONE, nullptr);
      ScheduleWrite();
    }
    SchedulePing();
  }

  void Close() {
    if (closed) return;
    closed = true;
    const auto keep = shared_from_this();
    asio::error_code ignored;
    socket.close(ignored);
    ping_timer.cancel();
    const auto keys = streams | std::views::keys;
    const std::vector<std::int32_t> ids(keys.begin(), keys.end());
    for (const std::int32_t id : ids) RemoveStream(id);
    const auto callback = std::move(on_closed);
    on_closed = nullptr;
    if (callback) callback();
  }

  static constexpr std::size_t kLowWater = Http2Stream::kLowWaterBytes;

  asio::ip::tcp::socket socket;
  asio::steady_timer ping_timer;
  OnStream on_stream;
  TimePoint last_read;
  TimePoint last_timeout_check = Clock::now();
  nghttp2_session* session = nullptr;
  std::unordered_map<std::int32_t, Http2StreamPtr> streams;
  std::array<char, kReadBytes> incoming{};
  std::string outgoing;
  bool writing = false;
  bool write_scheduled = false;
  bool closed = false;
  std::function<void()> on_closed;
};

void Http2Stream::Impl::ResumeSending() {
  const auto owner = session.lock();
  if (owner == nullptr) return;
  if (deferred) {
    deferred = false;
    nghttp2_session_resume_data(owner->session, id);
  }
  owner->ScheduleWrite();
}

Http2Stream::Http2Stream(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Http2Stream::~Http2Stream() = default;

void Http2Stream::SetHandlers(Http2Handlers handlers) {
  impl_->handlers = std::make_shared<const Http2Handlers>(std::move(handlers));
}

void Http2Stream::SendHead(const HttpFields& fields) {
  const auto session = impl_->session.lock();
  if (session == nullptr || impl_->closed) return;
  nghttp2_data_provider provider{};
  provider.read_callback = &Http2Session::Impl::OnDataSourceRead;
  const auto nvs = ToNvs(fields);
  nghttp2_submit_response(session->session, impl_->id, nvs.data(), nvs.size(),
                          &provider);
  session->ScheduleWrite();
}

void Http2Stream::SendData(std::string_view data) {
  if (impl_->closed || impl_->local_end) return;
  impl_->queue.append(data);
  impl_->ResumeSending();
}

void Http2Stream::SendEnd(HttpFields trailers) {
  if (impl_->closed || impl_->local_end) return;
  impl_->local_end = true;
  impl_->trailers = std::move(trailers);
  impl_->ResumeSending();
}

void Http2Stream::Reset() {
  SetHandlers({});
  const auto session = impl_->session.lock();
  if (session == nullptr || impl_->closed) return;
  nghttp2_submit_rst_stream(session->session, NGHTTP2_FLAG_NONE, impl_->id,
                            NGHTTP2_CANCEL);
  session->ScheduleWrite();
}

void Http2Stream::Consume(std::size_t size) {
  const auto session = impl_->session.lock();
  if (session == nullptr || session->closed) return;
  if (impl_->closed) {
    nghttp2_session_consume_connection(session->session, size);
  } else {
    nghttp2_session_consume(session->session, impl_->id, size);
  }
  session->ScheduleWrite();
}

std::size_t Http2Stream::queued_bytes() const { return impl_->queue.size(); }

bool Http2Stream::is_open() const { return !impl_->closed; }

Http2Session::Http2Session(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

Http2Session::~Http2Session() { impl_->Close(); }

Http2StreamPtr Http2Session::Open(const HttpFields& head,
                                  Http2Handlers handlers) {
  if (impl_->closed) return nullptr;
  nghttp2_data_provider provider{};
  provider.read_callback = &Impl::OnDataSourceRead;
  const auto nvs = ToNvs(head);
  const std::int32_t id = nghttp2_submit_request(
      impl_->session, nullptr, nvs.data(), nvs.size(), &provider, nullptr);
  if (id < 0) return nullptr;
  auto stream = impl_->AddStream(id);
  stream->SetHandlers(std::move(handlers));
  impl_->ScheduleWrite();
  return stream;
}

bool Http2Session::is_open() const { return !impl_->closed; }

void Http2Session::SetOnClosed(std::function<void()> on_closed) {
  impl_->on_closed = std::move(on_closed);
}

void Http2Session::Close() { impl_->Close(); }

std::shared_ptr<Http2Session::Impl> StartHttp2(asio::ip::tcp::socket socket,
                                               Http2Role role,
                                               Http2Session::OnStream accept) {
  auto impl = std::make_shared<Http2Session::Impl>(std::move(socket),
                                                   std::move(accept));
  impl->Start(role == Http2Role::kServer);
  return impl;
}

void CloseHttp2(Http2Session::Impl& session) { session.Close(); }

}  // namespace mangohold
