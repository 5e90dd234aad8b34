// Typed reading of JSON-with-comments documents. Every fault is recorded with
// its file, JSON pointer and line, and reading goes on to find the next one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/findings.h"
#include "core/ids.h"

namespace mangohold {

// A parsed document with the line on which each value starts.
class JsonDocument {
 public:
  // Parses `text`. A syntax error is added to `findings`; the document is then
  // an empty object. `file` is the name to show in findings.
  static JsonDocument Parse(std::string file, std::string_view text,
                            Findings& findings);

  const nlohmann::json& root() const { return *root_; }
  const std::string& file() const { return file_; }
  // The 1-based line on which the value at `pointer` starts, or 0.
  int LineOf(const std::string& pointer) const;

 private:
  std::string file_;
  std::shared_ptr<const nlohmann::json> root_;
  std::map<std::string, int> lines_;
};

// The range of values that a number may take, ends included.
struct Range {
  std::int64_t least;
  std::int64_t most;
};

// Reads the members of one JSON object. Members that no call has asked for are
// reported by `RejectUnknown`. An absent optional member leaves its target as
// it was.
class ObjectReader {
 public:
  // `document` and `findings` must outlive the reader. A value at `pointer`
  // that isn't an object is reported.
  ObjectReader(const JsonDocument& document, std::string pointer,
               Findings& findings);

  void Required(std::string_view name, std::string& target);
  void Optional(std::string_view name, std::string& target);
  void Optional(std::string_view name, bool& target);
  void Optional(std::string_view name, int& target, Range range);
  // Reads a number, fractions allowed.
  void Optional(std::string_view name, double& target, Range range);
  // Reads an object whose members are strings.
  void Optional(std::string_view name,
                std::map<std::string, std::string>& target);
  // Reads a whole number of milliseconds.
  void OptionalMillis(std::string_view name, Millis& target, Range range);
  void Optional(std::string_view name, std::vector<std::string>& target);
  // Reads one of `allowed` and stores its index.
  void OptionalChoice(std::string_view name,
                      const std::vector<std::string_view>& allowed,
                      int& target);
  template <typename Tag>
  void Required(std::string_view name, Id<Tag>& target) {
    std::string text;
    Required(name, text);
    target = Id<Tag>(std::move(text));
  }
  template <typename Tag>
  void Optional(std::string_view name, Id<Tag>& target) {
    std::string text = target.value();
    Optional(name, text);
    target = Id<Tag>(std::move(text));
  }

  // A reader of the member object `name`; absent members read as empty.
  ObjectReader Object(std::string_view name);
  // Readers of the elements of the member array `name`.
  std::vector<ObjectReader> Objects(std::string_view name);

  // Records a fault of the member `name`, or of the object for an empty name.
  void Report(std::string_view name, std::string message);
  // Records each member that no call has asked for.
  void RejectUnknown();

 private:
  const nlohmann::json* Member(std::string_view name);
  std::string PointerOf(std::string_view name) const;

  const JsonDocument* document_;
  std::string pointer_;
  Findings* findings_;
  const nlohmann::json* object_ = nullptr;
  std::vector<std::string> known_;
};

// Reads a whole document into a `Value`: `read` takes the members of its root,
// and those that it hasn't asked for are reported.
template <typename Value, typename Read>
Value ReadDocument(const std::string& file, std::string_view text,
                   Findings& findings, Read read) {
  const JsonDocument document = JsonDocument::Parse(file, text, findings);
  ObjectReader reader(document, "", findings);
  Value value;
  read(reader, value);
  reader.RejectUnknown();
  return value;
}

}  // namespace mangohold
