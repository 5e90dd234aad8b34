#include "caller/forward_job.h"

#include <algorithm>
#include <string>

#include "core/cryptographic_hash.h"

namespace mangohold {
namespace {

// Of routes that state none.
constexpr Millis kDefaultTimeout = std::chrono::minutes(1);
// Callers of a stream leave when nothing comes for the longest of these.
constexpr Millis kLeastPatience{2'000};
constexpr int kTargetsOfPatience = 4;
constexpr int kGapsOfPatience = 8;
// Time that a backend server needs at the least to begin its answer.
constexpr Millis kAnswerTime{150};

}  // namespace

RequestDigest DigestOf(const ForwardJob& job, std::string_view body) {
  const std::string workspace =
      job.workspace == nullptr ? "" : job.workspace->name.value();
  return RequestDigest(CryptographicHash(
      {job.message.method, job.message.target, workspace, body}));
}

int PriorityOf(const ForwardJob& job) {
  return job.workspace != nullptr && job.workspace->priority
             ? *job.workspace->priority
             : job.route->priority;
}

TimePoint DeadlineOf(const ForwardJob& job) {
  const Millis longest =
      job.route->timeout.count() > 0 ? job.route->timeout : kDefaultTimeout;
  return job.message.arrived +
         std::min(longest, job.fields.deadline.value_or(longest));
}

TimePoint GiveUpTimeOf(const ForwardJob& job, TimePoint deadline) {
  const Route& route = *job.route;
  TimePoint give_up = deadline;
  if (route.kind == RouteKind::kStream) {
    const Millis patience =
        std::max({kLeastPatience, route.target_latency * kTargetsOfPatience,
                  route.target_gap * kGapsOfPatience});
    give_up = std::min(give_up, job.message.arrived + patience);
  }
  return give_up - kAnswerTime;
}

double ExpectedEventsOf(const ForwardJob& job) {
  if (job.route->kind != RouteKind::kStream) return 0;
  const ServiceSpec* service = job.routes->FindService(job.service);
  if (service == nullptr || !service->engine) return 0;
  const EngineFigures& engine = *service->engine;
  double tokens = job.fields.hinted_answer_tokens
                      ? *job.fields.hinted_answer_tokens
                      : engine.usual_answer_tokens;
  if (job.fields.most_answer_tokens) {
    tokens = std::min<double>(tokens, *job.fields.most_answer_tokens);
  }
  return tokens / std::max(1, engine.steps_per_pass);
}

}  // namespace mangohold
