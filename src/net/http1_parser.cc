#include "net/http1_parser.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "net/field_rules.h"
#include "net/http_status.h"

namespace mangohold {
namespace {

constexpr int kSkipBody = 1;
constexpr int kStop = -1;  // makes the parser fail
// Enough for a response's version and status.
constexpr std::size_t kMaxFirstLine = 24;

bool IsTokenCharacter(unsigned char c) {
  return std::isalnum(c) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) !=
             std::string_view::npos;
}

// The library takes spaces in names and control characters in values, on which
// peers disagree.
bool IsSound(const HttpField& field) {
  return !field.name.empty() &&
         std::ranges::all_of(field.name, IsTokenCharacter) &&
         std::ranges::none_of(field.value, [](unsigned char c) {
           return std::iscntrl(c) != 0 && c != '\t';
         });
}

bool IsHost(const HttpField& field) {
  return EqualsIgnoringCase(field.name, "Host");
}

}  // namespace

struct Http1Parser::State {
  State(Kind kind, Http1Sink& message_sink)
      : sink(message_sink),
        type(kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE) {
    Init();
  }

  void Init() {
    http_parser_init(&parser, type);
    parser.data = this;
    head = {};
    head_size = 0;
    line_size = 0;
    is_first_line = true;
    first_line.clear();
    is_first_line_read = false;
    has_folded_line = false;
    scanned_head = false;
    last_was_value = false;
    in_message = false;
    head_done = false;
    message_done = false;
  }

  static State& Of(http_parser* parser) {
    return *static_cast<State*>(parser->data);
  }

  static int OnBegin(http_parser* parser) {
    Of(parser).in_message = true;
    return 0;
  }
  static int OnUrl(http_parser* parser, const char* data, std::size_t size) {
    Of(parser).head.target.append(data, size);
    return 0;
  }
  static int OnFieldName(http_parser* parser, const char* data,
                         std::size_t size) {
    State& state = Of(parser);
    if (state.head_done) return 0;  // a trailer
    if (state.last_was_value || state.head.fields.empty()) {
      state.head.fields.emplace_back();
      state.last_was_value = false;
    }
    state.head.fields.back().name.append(data, size);
    return 0;
  }
  static int OnFieldValue(http_parser* parser, const char* data,
                          std::size_t size) {
    State& state = Of(parser);
    if (state.head_done) return 0;
    state.head.fields.back().value.append(data, size);
    state.last_was_value = true;
    return 0;
  }
  static int OnHeadDone(http_parser* parser) {
    State& state = Of(parser);
    state.head_done = true;
    Http1Head& head = state.head;
    if (!std::ranges::all_of(head.fields, IsSound)) return kStop;
    if (std::ranges::count_if(head.fields, IsHost) > 1) return kStop;
    // Without "chunked" as its last coding a request's body has no end.
    const bool has_coding =
        !FieldValue(head.fields, "Transfer-Encoding").empty();
    if (parser->type == HTTP_REQUEST && has_coding &&
        (parser->flags & F_CHUNKED) == 0) {
      return kStop;
    }
    if (parser->type == HTTP_REQUEST) {
      head.method = http_method_str(static_cast<http_method>(parser->method));
    } else {
      head.status = static_cast<int>(parser->status_code);
    }
    head.keeps_alive = http_should_keep_alive(parser) != 0;
    head.has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    state.sink.OnHead(std::move(head));
    return state.skips_body ? kSkipBody : 0;
  }
  static int OnBodyData(http_parser* parser, const char* data,
                        std::size_t size) {
    Of(parser).sink.OnBody({data, size});
    return 0;
  }
  static int OnDone(http_parser* parser) {
    Of(parser).message_done = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings out;
      http_parser_settings_init(&out);
      out.on_message_begin = &OnBegin;
      out.on_url = &OnUrl;
      out.on_header_field = &OnFieldName;
      out.on_header_value = &OnFieldValue;
      out.on_headers_complete = &OnHeadDone;
      out.on_body = &OnBodyData;
      out.on_message_complete = &OnDone;
      return out;
    }();
    return settings;
  }

  // Keeps the begin of the first line and finds folded lines. Looks no further
  // than the empty line that ends the head.
  void ScanHead(std::string_view data) {
    for (const char c : data) {
      if (scanned_head) return;
      ++head_size;
      KeepFirstLine(c);
      if (c == '\n') {
        scanned_head = !is_first_line && line_size == 0;
        line_size = 0;
        is_first_line = false;
      } else if (c != '\r') {
        // Such a line continues the one before, which HTTP/1.1 has given up;
        // peers disagree about it, so it is refused.
        const bool is_space = c == ' ' || c == '\t';
        has_folded_line =
            has_folded_line || (line_size == 0 && is_space && !is_first_line);
        ++line_size;
      }
    }
  }

  // Empty lines may precede the first one.
  void KeepFirstLine(char c) {
    if (is_first_line_read) return;
    const bool is_end = c == '\r' || c == '\n';
    is_first_line_read =
        first_line.size() == kMaxFirstLine || (is_end && !first_line.empty());
    if (!is_end && !is_first_line_read) first_line.push_back(c);
  }

  // True for a response whose first line states none. The library takes any
  // number of up to three digits for one.
  bool HasNoStatus() const {
    return type == HTTP_RESPONSE && is_first_line_read &&
           !StatusOfLine(first_line);
  }

  Http1Sink& sink;
  http_parser_type type;
  http_parser parser{};
  Http1Head head;
  std::size_t head_size = 0;
  std::size_t line_size = 0;
  bool is_first_line = true;
  std::string first_line;  // its first kMaxFirstLine bytes
  bool is_first_line_read = false;
  bool has_folded_line = false;
  bool scanned_head = false;
  bool skips_body = false;
  bool last_was_value = false;
  bool in_message = false;
  bool head_done = false;
  bool message_done = false;
  bool failed = false;
};

Http1Parser::Http1Parser(Kind kind, Http1Sink& sink)
    : state_(std::make_unique<State>(kind, sink)) {}

Http1Parser::~Http1Parser() = default;

std::size_t Http1Parser::Feed(std::string_view data) {
  State& state = *state_;
  if (state.failed || state.message_done || data.empty()) return 0;
  if (!state.head_done) state.ScanHead(data);
  if (!state.head_done && (state.has_folded_line || state.HasNoStatus())) {
    state.failed = true;
    return 0;
  }
  const std::size_t used = http_parser_execute(
      &state.parser, &State::Settings(), data.data(), data.size());
  const auto error = static_cast<http_errno>(state.parser.http_errno);
  if (error == HPE_PAUSED) {
    state.sink.OnMessageEnd();
    return used;
  }
  if (error != HPE_OK || state.parser.upgrade != 0) state.failed = true;
  return used;
}

bool Http1Parser::FinishAtEnd() {
  State& state = *state_;
  if (state.failed || state.message_done) return !state.in_message;
  if (!state.in_message) return true;
  http_parser_execute(&state.parser, &State::Settings(), nullptr, 0);
  if (!state.message_done) return false;
  state.sink.OnMessageEnd();
  return true;
}

void Http1Parser::Reset(bool has_no_body) {
  const bool failed = state_->failed;
  state_->Init();
  state_->failed = failed;
  state_->skips_body = has_no_body;
}

bool Http1Parser::has_failed() const { return state_->failed; }
bool Http1Parser::is_in_message() const {
  return state_->in_message && !state_->message_done;
}
bool Http1Parser::has_head() const { return state_->head_done; }
std::size_t Http1Parser::head_bytes() const { return state_->head_size; }

}  // namespace mangohold
