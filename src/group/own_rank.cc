#include "group/own_rank.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {
namespace {

// Attempts to send an order that isn't answered.
constexpr int kOrderAttempts = 5;
// Readings in a row of what has to be read twice, until two of them agree.
constexpr int kMaxReadings = 4;

}  // namespace

void LogEngineCall(std::string_view call, const absl::Status& status) {
  Log(LogLevel::kWarning, "engine_call_failed",
      {{"call", call}, {"error", MessageOf(status)}});
}

void SendEngineOrder(EngineApi& engine, const Endpoint& at,
                     const RankReport& report, const RankCommand& command,
                     LeaderTerm term,
                     std::function<void(OrderResult)> on_done) {
  if (!command.order) return on_done(OrderResult::kRefused);
  const RankOrder order = {.kind = *command.order,
                           .epoch = command.epoch,
                           .expected = report.sequence,
                           .version = command.version,
                           .pass = command.pass,
                           .map = command.map};
  engine.Order(at, order,
               [order, rank = command.rank, term,
                on_done = std::move(on_done)](OrderResult result) {
                 Log(LogLevel::kInfo, "order_given",
                     {{"order", static_cast<int>(order.kind)},
                      {"fate", static_cast<int>(result)},
                      {"rank", rank},
                      {"expected", order.expected.value()},
                      {"term", term.value()},
                      {"epoch", order.epoch.value()},
                      {"version", order.version.value()},
                      {"pass", order.pass.value()}});
                 on_done(result);
               });
}

OwnRank::OwnRank(EngineApi& engine, Endpoint address, Counters& counters)
    : engine_(engine), address_(std::move(address)), counters_(counters) {}

void OwnRank::Poll(PollHandlers handlers) {
  if (std::exchange(is_polling_, true)) return;
  Refresh([this, handlers = std::move(handlers)] {
    if (is_in_group()) return ReadCounts(handlers);
    is_polling_ = false;
  });
}

void OwnRank::Refresh(std::function<void()> on_done) {
  engine_.Report(address_,
                 [this, on_done = std::move(on_done)](const auto& report) {
                   OnReport(report);
                   on_done();
                 });
}

void OwnRank::OnReport(const absl::StatusOr<RankReport>& report) {
  if (!report.ok()) {
    if (report_) LogEngineCall("report", report.status());
    report_.reset();
    counters_.Count(Event::kBackendReportsLost);
    return;
  }
  if (report_ &&
      (report_->epoch != report->epoch || report_->map != report->map)) {
    Log(LogLevel::kInfo, "rank_changed",
        {{"group", report->group.value()},
         {"epoch", report->epoch.value()},
         {"map", report->map.value()},
         {"pass", report->pass.value()}});
  }
  report_ = *report;
}

void OwnRank::ReadCounts(PollHandlers handlers) {
  const auto on_totals = [this, handlers = std::move(handlers)](
                             const absl::StatusOr<ExpertCounts>& counts) {
    is_polling_ = false;
    if (!counts.ok()) return LogEngineCall("counts", counts.status());
    if (!report_) return;
    if (!AreHoldingsKnown()) ReadHoldings(kMaxReadings, handlers.on_holdings);
    handlers.on_counts(NewCounts(*counts));
  };
  engine_.Counts(address_, on_totals);
}

void OwnRank::ReadHoldings(int reads_left, std::function<void()> on_holdings) {
  const auto on_lists = [this, reads_left, version = report_->map,
                         epoch = report_->epoch,
                         on_holdings = std::move(on_holdings)](
                            const absl::StatusOr<ExpertLists>& lists) {
    if (!lists.ok()) return LogEngineCall("holdings", lists.status());
    if (!AreValid(*lists)) return;
    const bool is_confirmed =
        std::exchange(last_read_holdings_, *lists) == *lists;
    if (!is_confirmed) {
      if (reads_left > 1 && report_) ReadHoldings(reads_left - 1, on_holdings);
      return;
    }
    holdings_ = *lists;
    holdings_version_ = version;
    holdings_epoch_ = epoch;
    on_holdings();
  };
  engine_.Holdings(address_, on_lists);
}

void OwnRank::SetLayout(const ExpertLayout& layout) {
  layout_ = layout;
  if (!holdings_.empty() && !AreValid(holdings_)) holdings_.clear();
}

// Lists that can't be right are dropped. The rank is then one whose experts
// aren't known, for which no leader plans, and the next poll reads them again.
bool OwnRank::AreValid(const ExpertLists& lists) {
  const absl::Status status = CheckLists(lists, layout_);
  if (status.ok()) return true;
  counters_.Count(Event::kExpertListsRejected);
  Log(LogLevel::kWarning, "expert_lists_rejected",
      {{"error", MessageOf(status)}});
  return false;
}

// The engine counts from its start. If a count has decreased, the engine was
// restarted, and all its counts are new.
ExpertCounts OwnRank::NewCounts(const ExpertCounts& counts) {
  ExpertCounts new_counts = counts;
  const bool is_monotonic =
      std::ranges::equal(last_counts_, counts, std::less_equal<>());
  if (is_monotonic) {
    std::ranges::transform(counts, last_counts_, new_counts.begin(),
                           std::minus<>());
  }
  last_counts_ = counts;
  return new_counts;
}

bool OwnRank::AreHoldingsKnown() const {
  return report_ && !holdings_.empty() && holdings_version_ == report_->map &&
         holdings_epoch_ == report_->epoch;
}

bool OwnRank::HasPendingTransition() const {
  if (!report_) return false;
  const bool is_copying = accepted_epoch_ == report_->epoch &&
                          accepted_ > report_->map &&
                          report_->prepared != accepted_;
  return !report_->is_open || is_copying || report_->armed ||
         !AreHoldingsKnown();
}

RankStatus OwnRank::Status() const {
  if (!report_) return {};
  const bool has_accepted = accepted_epoch_ == report_->epoch;
  const bool are_holdings_known = AreHoldingsKnown();
  return {.report = *report_,
          .holdings =
              are_holdings_known ? holdings_ : std::vector<std::vector<int>>(),
          .accepted = has_accepted ? accepted_ : MapVersion(),
          .may_arm_late = unanswered_arm_orders_.MayArm(
              ordered_epoch_, report_->pass, BootNow())};
}

void OwnRank::ExecuteOrder(const RankCommand& command, LeaderTerm term,
                           std::function<void()> on_done) {
  ordered_epoch_ = command.epoch;
  ExecuteWithRetries(command, term, kOrderAttempts, std::move(on_done));
}

// An order without an answer is retried at once. Orders are idempotent: they
// request a state, which is already reached if the first attempt was executed.
void OwnRank::ExecuteWithRetries(const RankCommand& command, LeaderTerm term,
                                 int attempts, std::function<void()> on_done) {
  if (!report_) return on_done();
  if (command.order == OrderKind::kArm) {
    unanswered_arm_orders_.OnSent(command.epoch, command.pass);
  }
  SendEngineOrder(engine_, address_, *report_, command, term,
                  [this, command, term, attempts,
                   on_done = std::move(on_done)](OrderResult result) {
                    OnOrderResult(command, result);
                    if (result == OrderResult::kUnknown && attempts > 1) {
                      return ExecuteWithRetries(command, term, attempts - 1,
                                                on_done);
                    }
                    Refresh(on_done);
                  });
}

void OwnRank::OnOrderResult(const RankCommand& command, OrderResult result) {
  if (command.order == OrderKind::kPrepare &&
      result == OrderResult::kAccepted) {
    accepted_ = command.version;
    accepted_epoch_ = command.epoch;
  }
  if (command.order != OrderKind::kArm) return;
  if (result == OrderResult::kUnknown) {
    unanswered_arm_orders_.OnUnanswered(BootNow());
  } else {
    unanswered_arm_orders_.OnAnswered();
  }
}

}  // namespace mangohold
