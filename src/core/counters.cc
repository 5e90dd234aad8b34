#include "core/counters.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>
#include <mutex>

namespace mangohold {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

constexpr std::array<std::string_view, static_cast<int>(Event::kCount)>
    kEventNames = {"requests",
                   "tickets_minted",
                   "tickets_voided",
                   "late_answers_dropped",
                   "cold_starts",
                   "configuration_applied",
                   "configuration_rejected",
                   "platform_calls",
                   "platform_failures",
                   "peer_connects",
                   "peer_disconnects",
                   "control_bytes",
                   "backend_reports",
                   "backend_reports_lost",
                   "backend_connects",
                   "foreign_answers",
                   "statuses_withheld",
                   "refusals_believed",
                   "exchanges_without_answer",
                   "answers_too_large",
                   "streams_resumed",
                   "log_lines_dropped",
                   "orders",
                   "map_switches",
                   "datagrams_dropped",
                   "sent_to_leaving",
                   "retries_denied",
                   "backend_entries_ignored",
                   "limits_unreadable",
                   "accepts_failed",
                   "connections_unfinished",
                   "prompt_cache_hits",
                   "prompt_tokens_cached",
                   "reports_unconfirmed",
                   "expert_lists_rejected"};

constexpr std::array<std::string_view, static_cast<int>(Gauge::kCount)>
    kGaugeNames = {"in_flight",
                   "queued",
                   "admission_limit",
                   "backends_known",
                   "backends_open",
                   "kept_answer_bytes",
                   "prompt_parts_blocked",
                   "requests_blocked",
                   "backends_limited",
                   "retry_tokens",
                   "held_bytes",
                   "caller_connections",
                   "prefix_gain_permille",
                   "memory_in_force_mb"};

constexpr std::array<std::string_view, static_cast<int>(DepartureWay::kCount)>
    kWayNames = {"store", "watcher", "answer"};

constexpr std::array<std::string_view, static_cast<int>(Timing::kCount)>
    kTimingNames = {"request_seconds", "departure_lag_seconds"};

using Quantiles =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

void AppendLine(std::string& out, std::string_view name, std::string_view label,
                std::string_view label_value, double value) {
  std::array<char, 256> line{};
  if (label.empty()) {
    std::snprintf(line.data(), line.size(), "mangohold_%.*s %.9g\n",
                  static_cast<int>(name.size()), name.data(), value);
  } else {
    std::snprintf(
        line.data(), line.size(), "mangohold_%.*s{%.*s=\"%.*s\"} %.9g\n",
        static_cast<int>(name.size()), name.data(),
        static_cast<int>(label.size()), label.data(),
        static_cast<int>(label_value.size()), label_value.data(), value);
  }
  out += line.data();
}

void AppendType(std::string& out, std::string_view name,
                std::string_view type) {
  out.append("# TYPE mangohold_").append(name).append(" ").append(type);
  out += '\n';
}

// Appends one labelled counter for each reason that has been counted, so the
// page stays short; a reason that is absent stands at zero.
template <typename Row>
void AppendReasons(std::string& out, std::string_view name, const Row& row) {
  AppendType(out, name, "counter");
  for (std::size_t i = 0; i < row.size(); ++i) {
    if (row[i] == 0) continue;
    AppendLine(out, name, "reason", Name(static_cast<Reason>(i)),
               static_cast<double>(row[i]));
  }
}

void AppendQuantiles(std::string& out, std::string_view name,
                     const Quantiles& quantiles) {
  AppendType(out, name, "summary");
  for (const double quantile : kQuantiles) {
    std::array<char, 16> label{};
    std::snprintf(label.data(), label.size(), "%g", quantile);
    AppendLine(out, name, "quantile", label.data(),
               acc::quantile(quantiles, acc::quantile_probability = quantile));
  }
  const std::string base(name);
  AppendLine(out, base + "_sum", "", "", acc::sum(quantiles));
  AppendLine(out, base + "_count", "", "",
             static_cast<double>(acc::count(quantiles)));
}

}  // namespace

std::string_view Name(DepartureWay way) {
  return kWayNames.at(static_cast<std::size_t>(way));
}

struct Counters::Timings {
  using Row = std::array<Quantiles, static_cast<std::size_t>(Timing::kCount)>;

  mutable std::mutex mutex;
  Row rows = {Quantiles{acc::extended_p_square_probabilities = kQuantiles},
              Quantiles{acc::extended_p_square_probabilities = kQuantiles}};
};

Counters::Counters() : timings_(std::make_unique<Timings>()) {}
Counters::~Counters() = default;

void Counters::Record(Timing timing, Duration duration) {
  const std::lock_guard lock(timings_->mutex);
  timings_->rows.at(static_cast<std::size_t>(timing))(ToSeconds(duration));
}

std::string Counters::PrometheusText() const {
  std::string out;
  for (std::size_t i = 0; i < events_.size(); ++i) {
    const std::string name = std::string(kEventNames[i]) + "_total";
    AppendType(out, name, "counter");
    AppendLine(out, name, "", "", static_cast<double>(events_[i]));
  }
  AppendType(out, "outcomes_total", "counter");
  for (std::size_t i = 0; i < outcomes_.size(); ++i) {
    AppendLine(out, "outcomes_total", "outcome", Name(static_cast<Outcome>(i)),
               static_cast<double>(outcomes_[i]));
  }
  AppendReasons(out, "refusals_total", refusals_);
  AppendReasons(out, "retries_total", retries_);
  for (std::size_t i = 0; i < gauges_.size(); ++i) {
    AppendType(out, kGaugeNames[i], "gauge");
    AppendLine(out, kGaugeNames[i], "", "", static_cast<double>(gauges_[i]));
  }
  AppendType(out, "departures_total", "counter");
  for (std::size_t i = 0; i < departures_.size(); ++i) {
    AppendLine(out, "departures_total", "way", kWayNames.at(i),
               static_cast<double>(departures_[i]));
  }
  const std::lock_guard lock(timings_->mutex);
  for (std::size_t i = 0; i < kTimingNames.size(); ++i) {
    AppendQuantiles(out, kTimingNames.at(i), timings_->rows.at(i));
  }
  return out;
}

}  // namespace mangohold
