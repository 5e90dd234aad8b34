// Operators' changes to the settings tree: check, compare-and-swap, and, if the
// answer was lost, read back what became of it.
#pragma once

#include <functional>
#include <string>

#include "config/tree.h"
#include "core/findings.h"
#include "core/ids.h"
#include "platform/platform_client.h"

namespace mangohold {

enum class ChangeResult {
  kStored,    // in the store under `revision`
  kInvalid,   // not a valid document: see `detail`
  kConflict,  // somebody else's change came first: `revision`
  kRefused,   // not taken by the store; nothing has changed
  kUnknown    // neither confirmed nor denied
};

struct ChangeReply {
  ChangeResult result = ChangeResult::kUnknown;
  Revision revision;
  std::string detail;
};

class TreeEditor {
 public:
  explicit TreeEditor(PlatformClient& client) : client_(client) {}

  // Replaces the document at `path` if its revision is still `expected`. Each
  // change carries a random id as a comment in its text, by which a read-back
  // recognises it. `author` is the name of the operator's token.
  void Change(const std::string& path, const std::string& text,
              Revision expected, const std::string& author,
              const std::function<void(ChangeReply)>& on_reply);

 private:
  void ReadBack(const std::string& path, const std::string& stored_text,
                Revision expected, int attempts_left,
                const std::function<void(ChangeReply)>& on_reply);

  PlatformClient& client_;
};

}  // namespace mangohold
