// How requests and answers carry what the product needs to know, at callers
// and at backend servers. The adapter to the platform provides it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "net/http_message.h"
#include "routing/prompt_prefix.h"
#include "routing/stated_limit.h"

namespace mangohold {

// What a caller says about its request, decoded once.
struct RequestFields {
  RequestId id;
  std::optional<Millis> deadline;  // how long the caller will wait
  std::optional<std::string> key;  // empty if the field has another form
  std::optional<int> prompt_tokens;
  std::optional<int> most_answer_tokens;
  std::optional<int> hinted_answer_tokens;
  // The parts of the prompt that other requests may share, in order.
  std::vector<PromptPart> shared_parts;
  // The same with their token counts, up to the first part without one.
  PromptPrefix prefix;
  std::string last_event_id;  // empty: from the beginning
};

// What an entry tells a backend server about a request.
struct DispatchFields {
  InstanceId expected;  // any other backend server refuses
  Millis time_left{0};
  std::optional<WorkspaceName> workspace;
  std::optional<int> priority;  // 0 is first, 9 last
  std::string last_event_id;
  bool drops_key = false;  // the caller's key stays here
};

// Requests that a backend server holds.
struct BackendLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

// What a backend server says with an answer.
struct AnswerFields {
  std::optional<RequestId> id;
  bool is_signed = false;  // made by the service, not by what is in between
  bool is_certainly_not_run = false;
  bool is_other_instance = false;  // another one has the address by now
  std::optional<BackendLoad> load;
  bool is_leaving = false;  // the backend server is about to end
  StatedLimit limit;        // that holds when the answer's head is written
  // On a refusal: for so long it wants no other request from this entry.
  std::optional<Millis> quiet;
};

// Holds names and formats, and decides nothing.
class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual RequestFields DecodeRequest(const HttpFields& fields) const = 0;
  // The fields of a request on its way to a backend server: the caller's, but
  // for those that concern one connection or that the system sets itself.
  virtual HttpFields Forward(const HttpFields& from_caller,
                             const DispatchFields& dispatch) const = 0;
  virtual AnswerFields DecodeAnswer(int status,
                                    const HttpFields& fields) const = 0;
  // The fields of an answer on its way to the caller.
  virtual HttpFields Return(const HttpFields& from_backend) const = 0;
};

}  // namespace mangohold
