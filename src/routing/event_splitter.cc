#include "routing/event_splitter.h"

#include <utility>

#include "core/numbers.h"

namespace mangohold {
namespace {

// Returns the value of the event's last "id" field; empty if there is none.
std::string_view EventId(std::string_view event) {
  constexpr std::string_view kName = "id:";
  std::string_view id;
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with(kName)) {
      id = line.substr(kName.size());
      if (id.starts_with(' ')) id.remove_prefix(1);
    }
    event.remove_prefix(std::min(end + 1, event.size()));
  }
  return id;
}

}  // namespace

bool EventSplitter::IsDuplicate(std::string_view id) const {
  const auto number = ParseInteger(id);
  const auto last = ParseInteger(last_id_);
  return number && last && *number <= *last;
}

std::size_t EventSplitter::NextEventSize(std::size_t begin) {
  const std::string_view text = partial_;
  while (line_begin_ < text.size()) {
    const std::size_t line_end = text.find('\n', line_begin_);
    if (line_end == std::string_view::npos) return 0;
    const std::string_view line =
        text.substr(line_begin_, line_end - line_begin_);
    line_begin_ = line_end + 1;
    if (line.empty() || line == "\r") return line_begin_ - begin;
  }
  return 0;
}

std::string EventSplitter::Feed(std::string_view data) {
  partial_.append(data);
  std::string out;
  std::size_t begin = 0;
  const std::string_view text = partial_;
  for (std::size_t size = NextEventSize(begin); size > 0;
       size = NextEventSize(begin)) {
    const std::string_view event = text.substr(begin, size);
    const std::string_view id = EventId(event);
    if (id.empty() || !IsDuplicate(id)) {
      out.append(event);
      ++events_;
      if (!id.empty()) last_id_ = std::string(id);
    }
    begin += size;
  }
  partial_.erase(0, begin);
  line_begin_ -= begin;
  return out;
}

std::string EventSplitter::Finish() {
  line_begin_ = 0;
  return std::exchange(partial_, {});
}

}  // namespace mangohold
