#include "core/document_reader.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace mangohold {
namespace {

using Json = nlohmann::json;

// An input iterator over the text that remembers the line of the last
// character that isn't white space. The parser reads at most one character
// past a token, and that character is white space or on the same line.
class LineIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineIterator(const char* position, int* line)
      : position_(position), line_(line) {}
  reference operator*() const { return *position_; }
  LineIterator& operator++() {
    if (*position_ == '\n') {
      ++newlines_;
    } else if (*position_ != ' ' && *position_ != '\t' && *position_ != '\r') {
      *line_ = newlines_ + 1;
    }
    ++position_;
    return *this;
  }
  LineIterator operator++(int) {
    LineIterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const LineIterator& other) const {
    return position_ == other.position_;
  }
  bool operator!=(const LineIterator& other) const = default;

 private:
  const char* position_;
  int* line_;
  int newlines_ = 0;
};

// Escapes a member name for use in a JSON pointer (RFC 6901, section 3).
std::string EscapeToken(std::string_view name) {
  std::string out;
  for (const char c : name) {
    if (c == '~') {
      out += "~0";
    } else if (c == '/') {
      out += "~1";
    } else {
      out += c;
    }
  }
  return out;
}

// Receives parse events and notes the line of each value's JSON pointer.
class LineRecorder : public nlohmann::json_sax<Json> {
 public:
  LineRecorder(const int* line, std::map<std::string, int>* lines)
      : line_(line), lines_(lines) {}

  bool null() override { return Value(); }
  bool boolean(bool) override { return Value(); }
  bool number_integer(number_integer_t) override { return Value(); }
  bool number_unsigned(number_unsigned_t) override { return Value(); }
  bool number_float(number_float_t, const string_t&) override {
    return Value();
  }
  bool string(string_t&) override { return Value(); }
  bool binary(binary_t&) override { return Value(); }
  bool start_object(std::size_t) override { return Open(/*is_array=*/false); }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t) override { return Open(/*is_array=*/true); }
  bool end_array() override { return Close(); }
  bool key(string_t& name) override {
    key_ = name;
    lines_->emplace(Pointer(), *line_);
    return true;
  }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  struct Level {
    std::string pointer;
    bool is_array;
    int next_index;
  };

  std::string Pointer() {
    if (levels_.empty()) return "";
    Level& level = levels_.back();
    return level.pointer + '/' +
           (level.is_array ? std::to_string(level.next_index)
                           : EscapeToken(key_));
  }
  bool Value() {
    lines_->emplace(Pointer(), *line_);
    if (!levels_.empty()) ++levels_.back().next_index;
    return true;
  }
  bool Open(bool is_array) {
    std::string pointer = Pointer();
    lines_->emplace(pointer, *line_);
    levels_.push_back({std::move(pointer), is_array, 0});
    return true;
  }
  bool Close() {
    levels_.pop_back();
    if (!levels_.empty()) ++levels_.back().next_index;
    return true;
  }

  const int* line_;
  std::map<std::string, int>* lines_;
  std::vector<Level> levels_;
  std::string key_;
};

int LineAtOffset(std::string_view text, std::size_t offset) {
  const auto end = text.begin() + std::min(offset, text.size());
  return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

}  // namespace

JsonDocument JsonDocument::Parse(std::string file, std::string_view text,
                                 Findings& findings) {
  JsonDocument document;
  document.file_ = std::move(file);
  Json root;
  try {
    root = Json::parse(text, nullptr, /*allow_exceptions=*/true,
                       /*ignore_comments=*/true);
  } catch (const Json::parse_error& error) {
    findings.Add({.file = document.file_,
                  .pointer = "",
                  .line = LineAtOffset(text, error.byte),
                  .message = std::string("not valid JSON: ") + error.what()});
    root = Json::object();  // so that nothing else is reported
  }
  document.root_ = std::make_shared<const Json>(std::move(root));
  int line = 1;
  LineRecorder recorder(&line, &document.lines_);
  Json::sax_parse(LineIterator(text.data(), &line),
                  LineIterator(text.data() + text.size(), &line), &recorder,
                  Json::input_format_t::json, /*strict=*/true,
                  /*ignore_comments=*/true);
  return document;
}

int JsonDocument::LineOf(const std::string& pointer) const {
  const auto it = lines_.find(pointer);
  return it == lines_.end() ? 0 : it->second;
}

ObjectReader::ObjectReader(const JsonDocument& document, std::string pointer,
                           Findings& findings)
    : document_(&document), pointer_(std::move(pointer)), findings_(&findings) {
  const Json::json_pointer pointer_value(pointer_);
  if (!document.root().contains(pointer_value)) return;
  const Json& value = document.root().at(pointer_value);
  if (value.is_object()) {
    object_ = &value;
  } else {
    Report("", "must be an object");
  }
}

std::string ObjectReader::PointerOf(std::string_view name) const {
  return name.empty() ? pointer_ : pointer_ + '/' + EscapeToken(name);
}

void ObjectReader::Report(std::string_view name, std::string message) {
  std::string pointer = PointerOf(name);
  int line = document_->LineOf(pointer);
  if (line == 0) line = document_->LineOf(pointer_);
  findings_->Add({.file = document_->file(),
                  .pointer = std::move(pointer),
                  .line = line,
                  .message = std::move(message)});
}

const Json* ObjectReader::Member(std::string_view name) {
  known_.emplace_back(name);
  if (object_ == nullptr) return nullptr;
  const auto it = object_->find(name);
  return it == object_->end() ? nullptr : &*it;
}

void ObjectReader::Required(std::string_view name, std::string& target) {
  const Json* value = Member(name);
  if (value == nullptr) {
    Report(name, "is required");
  } else if (!value->is_string() ||
             value->get_ref<const std::string&>().empty()) {
    Report(name, "must be a non-empty string");
  } else {
    target = value->get<std::string>();
  }
}

void ObjectReader::Optional(std::string_view name, std::string& target) {
  const Json* value = Member(name);
  if (value == nullptr) return;
  if (value->is_string()) {
    target = value->get<std::string>();
  } else {
    Report(name, "must be a string");
  }
}

void ObjectReader::Optional(std::string_view name, bool& target) {
  const Json* value = Member(name);
  if (value == nullptr) return;
  if (value->is_boolean()) {
    target = value->get<bool>();
  } else {
    Report(name, "must be true or false");
  }
}

void ObjectReader::Optional(std::string_view name, int& target, Range range) {
  const Json* value = Member(name);
  if (value == nullptr) return;
  if (!value->is_number_integer()) {
    Report(name, "must be a whole number");
    return;
  }
  const auto number = value->get<std::int64_t>();
  if (number < range.least || number > range.most) {
    Report(name, "must be from " + std::to_string(range.least) + " to " +
                     std::to_string(range.most) + ", not " +
                     std::to_string(number));
    return;
  }
  target = static_cast<int>(number);
}

void ObjectReader::OptionalMillis(std::string_view name, Millis& target,
                                  Range range) {
  int number = static_cast<int>(target.count());
  Optional(name, number, range);
  target = Millis(number);
}

void ObjectReader::Optional(std::string_view name, double& target,
                            Range range) {
  const Json* value = Member(name);
  if (value == nullptr) return;
  const double number = value->is_number() ? value->get<double>() : 0;
  if (!value->is_number() || number < static_cast<double>(range.least) ||
      number > static_cast<double>(range.most)) {
    Report(name, "must be a number from " + std::to_string(range.least) +
                     " to " + std::to_string(range.most));
    return;
  }
  target = number;
}

void ObjectReader::Optional(std::string_view name,
                            std::map<std::string, std::string>& target) {
  const Json* value = Member(name);
  if (value == nullptr) return;
  const bool is_map_of_strings =
      value->is_object() && std::ranges::all_of(*value, [](const Json& member) {
        return member.is_string();
      });
  if (is_map_of_strings) {
    target = value->get<std::map<std::string, std::string>>();
  } else {
    Report(name, "must be an object of strings");
  }
}

void ObjectReader::Optional(std::string_view name,
                            std::vector<std::string>& target) {
  const Json* value = Member(name);
  if (value == nullptr) return;
  const bool is_list_of_strings =
      value->is_array() && std::ranges::all_of(*value, [](const Json& element) {
        return element.is_string();
      });
  if (is_list_of_strings) {
    target = value->get<std::vector<std::string>>();
  } else {
    Report(name, "must be a list of strings");
  }
}

void ObjectReader::OptionalChoice(std::string_view name,
                                  const std::vector<std::string_view>& allowed,
                                  int& target) {
  const Json* value = Member(name);
  if (value == nullptr) return;
  const auto it =
      value->is_string()
          ? std::ranges::find(allowed, value->get_ref<const std::string&>())
          : allowed.end();
  if (it != allowed.end()) {
    target = static_cast<int>(it - allowed.begin());
    return;
  }
  std::string list;
  for (const std::string_view choice : allowed) {
    list.append(list.empty() ? "" : ", ").append(choice);
  }
  Report(name, "must be one of: " + list);
}

ObjectReader ObjectReader::Object(std::string_view name) {
  Member(name);
  return {*document_, PointerOf(name), *findings_};
}

std::vector<ObjectReader> ObjectReader::Objects(std::string_view name) {
  std::vector<ObjectReader> readers;
  const Json* value = Member(name);
  if (value == nullptr) return readers;
  if (!value->is_array()) {
    Report(name, "must be a list");
    return readers;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    readers.emplace_back(*document_, PointerOf(name) + '/' + std::to_string(i),
                         *findings_);
  }
  return readers;
}

void ObjectReader::RejectUnknown() {
  if (object_ == nullptr) return;
  for (const auto& item : object_->items()) {
    if (std::ranges::find(known_, item.key()) == known_.end()) {
      Report(item.key(), "is not a known setting");
    }
  }
}

}  // namespace mangohold
