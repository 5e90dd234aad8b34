#include "group/own_rank.h"

#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {
namespace {

// Attempts to send an order that isn't answered.
constexpr int kOrderAttempts = 5;

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
  ReadReport(ConfirmedReport::kMaxReads, std::move(on_done));
}

void OwnRank::ReadReport(int reads_left, std::function<void()> on_done) {
  engine_.Report(address_, [this, reads_left, on_done = std::move(on_done)](
                               const absl::StatusOr<RankReport>& read) {
    if (!read.ok()) {
      OnReportLost(read.status());
      return on_done();
    }
    const RankReport* before = report();
    const auto previous =
        before != nullptr ? std::optional(*before) : std::nullopt;
    if (confirmed_.OnRead(*read)) {
      LogChange(previous);
    } else if (reads_left > 1) {
      return ReadReport(reads_left - 1, on_done);
    } else {
      counters_.Count(Event::kReportsUnconfirmed);
    }
    on_done();
  });
}

void OwnRank::OnReportLost(const absl::Status& status) {
  if (report() != nullptr) LogEngineCall("report", status);
  confirmed_.Reset();
  counters_.Count(Event::kBackendReportsLost);
}

void OwnRank::LogChange(const std::optional<RankReport>& before) const {
  const RankReport& after = *report();
  const bool has_changed =
      before && (before->epoch != after.epoch || before->map != after.map);
  if (!has_changed) return;
  Log(LogLevel::kInfo, "rank_changed",
      {{"group", after.group.value()},
       {"epoch", after.epoch.value()},
       {"map", after.map.value()},
       {"pass", after.pass.value()}});
}

void OwnRank::ReadCounts(PollHandlers handlers) {
  const auto on_totals = [this, handlers = std::move(handlers)](
                             const absl::StatusOr<ExpertCounts>& counts) {
    is_polling_ = false;
    if (!counts.ok()) return LogEngineCall("counts", counts.status());
    if (report() == nullptr) return;
    if (!AreHoldingsKnown()) {
      ReadHoldings(ConfirmedReport::kMaxReads, handlers.on_holdings);
    }
    handlers.on_counts(counts_.OnRead(*counts));
  };
  engine_.Counts(address_, on_totals);
}

void OwnRank::ReadHoldings(int reads_left, std::function<void()> on_holdings) {
  const auto on_lists = [this, reads_left, version = report()->map,
                         epoch = report()->epoch,
                         on_holdings = std::move(on_holdings)](
                            const absl::StatusOr<ExpertLists>& lists) {
    if (!lists.ok()) return LogEngineCall("holdings", lists.status());
    if (!AreValid(*lists)) return;
    const ExpertLists previous = std::exchange(last_read_holdings_, *lists);
    if (*lists != previous) {
      const bool may_read = reads_left > 1 && report() != nullptr;
      if (may_read) ReadHoldings(reads_left - 1, on_holdings);
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

bool OwnRank::AreHoldingsKnown() const {
  return report() != nullptr && !holdings_.empty() &&
         holdings_version_ == report()->map &&
         holdings_epoch_ == report()->epoch;
}

bool OwnRank::HasPendingTransition() const {
  const RankReport* current = report();
  if (current == nullptr) return false;
  const bool is_copying = accepted_epoch_ == current->epoch &&
                          accepted_ > current->map &&
                          current->prepared != accepted_;
  return !current->is_open || is_copying || current->armed ||
         !AreHoldingsKnown();
}

RankStatus OwnRank::Status() const {
  const RankReport* current = report();
  if (current == nullptr) return {};
  const bool has_accepted = accepted_epoch_ == current->epoch;
  const bool are_holdings_known = AreHoldingsKnown();
  return {.report = *current,
          .holdings = are_holdings_known ? holdings_ : ExpertLists(),
          .accepted = has_accepted ? accepted_ : MapVersion(),
          .may_arm_late = unanswered_arm_orders_.MayArm(
              ordered_epoch_, confirmed_.started_pass(), BootNow())};
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
  if (report() == nullptr) return on_done();
  if (command.order == OrderKind::kArm) {
    unanswered_arm_orders_.OnSent(command.epoch, command.pass);
  }
  SendEngineOrder(engine_, address_, *report(), command, term,
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
