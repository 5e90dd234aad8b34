#include "backend/admission.h"

#include <algorithm>

namespace mangohold {
namespace {

// Weight of the newest sample in the mean service time.
constexpr double kMeanGain = 0.1;
constexpr Millis kMinRetryAfter{50};
constexpr Millis kMaxRetryAfter{30'000};
// A request is started only if at least this fraction of the mean service time
// is left before its deadline. It is below 1 because a request may be shorter
// than the mean.
constexpr double kMinServiceFraction = 0.5;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

Admission::Admission(Options options)
    : options_(options),
      cold_start_(options.cold_start, options.concurrency_limit) {}

void Admission::SetOptions(const Options& options) {
  options_ = options;
  cold_start_.SetOptions(options.cold_start, options.concurrency_limit);
}

// Runs the request if the concurrency limit allows it and the queue is empty.
// Otherwise queues it if it can be expected to start in time for its deadline.
// A full queue displaces a request of the workspace with the largest share.
Admission::Decision Admission::Arrive(const Arrival& arrival, TimePoint now) {
  if (arrival.deadline <= now) {
    return {.verdict = Verdict::kRefused, .reason = Reason::kDeadlineExceeded};
  }
  if (queued_ == 0 && in_flight_ < limit()) {
    ++in_flight_;
    return {.verdict = Verdict::kRun};
  }
  const Duration needed =
      ExpectedWait(arrival) + Scaled(mean_service_, kMinServiceFraction);
  if (now + needed > arrival.deadline) {
    return {.verdict = Verdict::kRefused,
            .reason = Reason::kDeadlineUnreachable,
            .retry_after = RetryAfter()};
  }
  Decision decision{.verdict = Verdict::kQueued};
  if (queued_ >= options_.queue_limit) {
    decision.displaced = Displace(arrival);
    if (!decision.displaced) {
      return {.verdict = Verdict::kRefused,
              .reason = Reason::kQueueFull,
              .retry_after = RetryAfter()};
    }
  }
  Flow& flow = flows_[arrival.workspace];
  if (flow.queued == 0) flow.finish_tag = finish_tags_[arrival.workspace];
  flow.weight = arrival.weight;
  flow.queues[static_cast<std::size_t>(arrival.priority)].push_back(
      {arrival.id, arrival.deadline});
  ++flow.queued;
  ++queued_;
  deadlines_.insert({arrival.deadline, arrival.id});
  return decision;
}

// The wait is bounded both by the whole queue and by the workspace's own queue
// served at its share of the weights, so the smaller of the two counts.
Duration Admission::ExpectedWait(const Arrival& arrival) const {
  const auto own = flows_.find(arrival.workspace);
  const int own_queued = own == flows_.end() ? 0 : own->second.queued;
  double weights = own == flows_.end() ? arrival.weight : 0;
  for (const auto& [name, flow] : flows_) weights += flow.weight;
  const double by_share = (own_queued + 1) * weights / arrival.weight;
  const double ahead = std::min<double>(queued_ + 1, by_share);
  return Scaled(mean_service_, ahead / std::max(1, limit()));
}

// Sheds the newest request of the workspace with the most queued requests per
// weight, if the arriving request's workspace would hold fewer per weight.
std::optional<ShedRequest> Admission::Displace(const Arrival& arrival) {
  if (flows_.empty()) return std::nullopt;
  const auto queued_per_weight = [](const Flows::value_type& item) {
    return static_cast<double>(item.second.queued) / item.second.weight;
  };
  const auto largest = std::ranges::max_element(flows_, {}, queued_per_weight);
  const auto own = flows_.find(arrival.workspace);
  const int own_queued = own == flows_.end() ? 0 : own->second.queued;
  const double own_queued_per_weight =
      static_cast<double>(own_queued + 1) / arrival.weight;
  if (own_queued_per_weight >= queued_per_weight(*largest)) return std::nullopt;
  return TakeNewest(largest, Reason::kQueueFull);
}

ShedRequest Admission::TakeNewest(Flows::iterator flow, Reason reason) {
  auto& queues = flow->second.queues;
  const auto queue = std::find_if(queues.rbegin(), queues.rend(),
                                  [](const auto& q) { return !q.empty(); });
  const Waiting newest = queue->back();
  queue->pop_back();
  OnDequeued(flow, newest);
  return {newest.id, reason, RetryAfter()};
}

// Start-time fair queueing: the flow with the smallest start tag goes next, and
// its next start tag advances by the inverse of its weight.
Admission::Waiting Admission::TakeNext() {
  const auto start_tag = [this](const Flows::value_type& item) {
    return std::max(virtual_time_, item.second.finish_tag);
  };
  const auto next = std::ranges::min_element(flows_, {}, start_tag);
  virtual_time_ = start_tag(*next);
  Flow& flow = next->second;
  flow.finish_tag = virtual_time_ + 1.0 / flow.weight;
  const auto queue = std::ranges::find_if(
      flow.queues, [](const auto& q) { return !q.empty(); });
  const Waiting waiting = queue->front();
  queue->pop_front();
  OnDequeued(next, waiting);
  // Without waiting requests no stored tag matters; clearing bounds the memory.
  if (flows_.empty()) finish_tags_.clear();
  return waiting;
}

Admission::Progress Admission::Finish(WorkResult result, Duration service_time,
                                      TimePoint now) {
  const bool was_full = in_flight_ >= limit();
  --in_flight_;
  if (result == WorkResult::kServed) {
    cold_start_.OnSuccess(was_full);
    mean_service_ = mean_service_.count() == 0
                        ? service_time
                        : Scaled(mean_service_, 1 - kMeanGain) +
                              Scaled(service_time, kMeanGain);
  } else if (result != WorkResult::kCancelled) {
    cold_start_.OnFailure();
  }
  return Advance(now);
}

bool Admission::Remove(WorkId id) {
  for (auto flow = flows_.begin(); flow != flows_.end(); ++flow) {
    for (auto& queue : flow->second.queues) {
      const auto it = std::ranges::find(queue, id, &Waiting::id);
      if (it == queue.end()) continue;
      const Waiting waiting = *it;
      queue.erase(it);
      OnDequeued(flow, waiting);
      return true;
    }
  }
  return false;
}

Admission::Progress Admission::Advance(TimePoint now) {
  Progress progress;
  // 1. Shed requests whose deadline has passed.
  while (!deadlines_.empty() && deadlines_.begin()->deadline <= now) {
    const WorkId id = deadlines_.begin()->id;
    Remove(id);
    progress.shed.push_back({id, Reason::kDeadlineExceeded, RetryAfter()});
  }
  // 2. Start requests up to the limit.
  while (queued_ > 0 && in_flight_ < limit()) {
    const Waiting waiting = TakeNext();
    if (TryStart(waiting, now, progress)) ++in_flight_;
  }
  return progress;
}

bool Admission::TryStart(const Waiting& waiting, TimePoint now,
                         Progress& progress) {
  if (now + Scaled(mean_service_, kMinServiceFraction) > waiting.deadline) {
    progress.shed.push_back(
        {waiting.id, Reason::kDeadlineUnreachable, RetryAfter()});
    return false;
  }
  progress.start.push_back(waiting.id);
  return true;
}

std::vector<ShedRequest> Admission::ShedAll(Reason reason) {
  std::vector<ShedRequest> shed;
  while (!flows_.empty()) shed.push_back(TakeNewest(flows_.begin(), reason));
  return shed;
}

std::optional<TimePoint> Admission::next_deadline() const {
  if (deadlines_.empty()) return std::nullopt;
  return deadlines_.begin()->deadline;
}

void Admission::OnDequeued(Flows::iterator flow, const Waiting& waiting) {
  deadlines_.erase({waiting.deadline, waiting.id});
  --queued_;
  if (--flow->second.queued > 0) return;
  finish_tags_[flow->first] = flow->second.finish_tag;
  flows_.erase(flow);
}

// The expected time until the current queue has drained.
Millis Admission::RetryAfter() const {
  const Duration drain =
      Scaled(mean_service_, (queued_ + 1.0) / std::max(1, limit()));
  return std::clamp(std::chrono::duration_cast<Millis>(drain), kMinRetryAfter,
                    kMaxRetryAfter);
}

}  // namespace mangohold
