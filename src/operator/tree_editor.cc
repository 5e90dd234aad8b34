#include "operator/tree_editor.h"

#include "core/random.h"

namespace mangohold {
namespace {

constexpr int kReadBackAttempts = 5;

std::string WithChangeId(const std::string& text, const std::string& author) {
  if (text.empty()) return text;  // a deletion
  std::string out = text;
  while (out.ends_with('\n')) out.pop_back();
  return out + "\n// change " + RandomHex128() + " by " + author + '\n';
}

}  // namespace

void TreeEditor::Change(const std::string& path, const std::string& text,
                        Revision expected, const std::string& author,
                        const std::function<void(ChangeReply)>& on_reply) {
  const Findings findings = CheckDocument(path, text);
  if (!text.empty() && !findings.empty()) {
    on_reply({.result = ChangeResult::kInvalid, .detail = findings.ToString()});
    return;
  }
  const std::string stored_text = WithChangeId(text, author);
  client_.Write(
      path, stored_text, expected,
      [this, path, stored_text, expected, on_reply](const WriteReply& reply) {
        switch (reply.result) {
          case WriteResult::kWritten:
            return on_reply(
                {.result = ChangeResult::kStored, .revision = reply.revision});
          case WriteResult::kConflict:
            return on_reply({.result = ChangeResult::kConflict,
                             .revision = reply.revision});
          case WriteResult::kRefused:
            return on_reply({.result = ChangeResult::kRefused,
                             .detail = "the store can't be reached"});
          case WriteResult::kUnknown:
            return ReadBack(path, stored_text, expected, kReadBackAttempts,
                            on_reply);
        }
      });
}

// The answer was lost. If the store holds this change, it took effect. If it
// holds another revision than the expected one, this change lost against it or
// was replaced by it; only the former is certain when the revision is still
// the expected one, and even then a delayed write may yet arrive.
void TreeEditor::ReadBack(const std::string& path,
                          const std::string& stored_text, Revision expected,
                          int attempts_left,
                          const std::function<void(ChangeReply)>& on_reply) {
  client_.Read(path, [this, path, stored_text, expected, attempts_left,
                      on_reply](const absl::StatusOr<DocumentVersion>& read) {
    if (read.ok() && read->text == stored_text) {
      return on_reply(
          {.result = ChangeResult::kStored, .revision = read->revision});
    }
    if (attempts_left > 1) {
      return ReadBack(path, stored_text, expected, attempts_left - 1, on_reply);
    }
    on_reply({.result = ChangeResult::kUnknown,
              .revision = read.ok() ? read->revision : Revision(),
              .detail = "no answer to the write, and it can't be seen yet"});
  });
}

}  // namespace mangohold
