// What the dispatcher knows of a request, and what it decides for it.
#pragma once

#include <optional>
#include <vector>

#include "config/deployment.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "routing/group_gate.h"
#include "routing/prompt_prefix.h"
#include "store/backend_record.h"

namespace mangohold {

// One attempt of a request that is to be sent to a backend.
struct DispatchQuery {
  AttemptNumber number;
  ServiceName service;
  int priority = 0;  // 0 is the most urgent
  WorkspaceName workspace;
  int prompt_tokens = 0;
  // Latest time at which the start of a response is still useful.
  TimePoint start_deadline;
  // Time by which the response has to be complete.
  TimePoint deadline = TimePoint::max();
  // A response that starts later misses its latency target.
  TimePoint target_start = TimePoint::max();
  // Number of events that the stream is expected to have; 0: not a stream, or
  // unknown.
  double expected_events = 0;
  // Backends that the request has tried already.
  std::vector<InstanceId> tried;
  // A repeatable (idempotent) request waits for further backends to be listed
  // once it has tried all.
  bool is_repeatable = true;
  // An earlier attempt of the request was sent.
  bool is_retry = false;
  // The caller has a part of the response; another backend is to go on.
  bool has_begun = false;
  // Zones in which the request may run; empty: any.
  std::vector<ZoneName> zones;
  // Set if the request was at a backend when it crashed: it is sent to one
  // without other such requests, so that they don't share the blame again,
  // and all its copies to the same one.
  std::optional<RequestDigest> crash_suspect;
  PromptPrefix prefix;  // empty: not stated
};

struct DispatchDecision {
  AttemptNumber number;
  std::optional<BackendRecord> backend;  // absent: the attempt is refused
  Reason reason = Reason::kNone;         // of a refusal
  Millis retry_after{0};                 // of a refusal
  // Tokens of the prompt that the backend is believed to have cached.
  int cached_tokens = 0;
};

}  // namespace mangohold
