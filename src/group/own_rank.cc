#include "group/own_rank.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {
namespace {

// An order is given so often, until it is answered.
constexpr int kOrderTries = 5;

}  // namespace

void LogEngineCall(std::string_view call, const absl::Status& status) {
  Log(LogLevel::kWarning, "engine_call_failed",
      {{"call", call}, {"error", MessageOf(status)}});
}

void GiveOrder(EngineApi& engine, const Endpoint& at, const RankReport& report,
               const RankCommand& command, LeaderTerm term,
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
                on_done = std::move(on_done)](OrderResult fate) {
                 Log(LogLevel::kInfo, "order_given",
                     {{"order", static_cast<int>(order.kind)},
                      {"fate", static_cast<int>(fate)},
                      {"rank", rank},
                      {"expected", order.expected.value()},
                      {"term", term.value()},
                      {"epoch", order.epoch.value()},
                      {"version", order.version.value()},
                      {"pass", order.pass.value()}});
                 on_done(fate);
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
  const auto on_counts = [this, handlers = std::move(handlers)](
                             const absl::StatusOr<ExpertCounts>& counts) {
    is_polling_ = false;
    if (!counts.ok()) return LogEngineCall("counts", counts.status());
    if (!report_) return;
    if (!AreHoldingsKnown()) ReadHoldings(*report_, handlers.on_holdings);
    handlers.on_choices(ChoicesSince(*counts));
  };
  engine_.Counts(address_, on_counts);
}

void OwnRank::ReadHoldings(const RankReport& report,
                           std::function<void()> on_holdings) {
  engine_.Holdings(address_,
                   [this, version = report.map, epoch = report.epoch,
                    on_holdings = std::move(on_holdings)](const auto& lists) {
                     if (!lists.ok()) {
                       return LogEngineCall("holdings", lists.status());
                     }
                     holdings_ = *lists;
                     holdings_version_ = version;
                     holdings_epoch_ = epoch;
                     on_holdings();
                   });
}

// Counts that went down begin anew: the engine has started again.
ExpertCounts OwnRank::ChoicesSince(const ExpertCounts& counts) {
  ExpertCounts choices = counts;
  const bool goes_on =
      std::ranges::equal(last_counts_, counts, std::less_equal<>());
  if (goes_on) {
    std::ranges::transform(counts, last_counts_, choices.begin(),
                           std::minus<>());
  }
  last_counts_ = counts;
  return choices;
}

bool OwnRank::AreHoldingsKnown() const {
  return report_ && !holdings_.empty() && holdings_version_ == report_->map &&
         holdings_epoch_ == report_->epoch;
}

bool OwnRank::IsAwaiting() const {
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
  const bool is_held_known = AreHoldingsKnown();
  return {
      .report = *report_,
      .holdings = is_held_known ? holdings_ : std::vector<std::vector<int>>(),
      .accepted = has_accepted ? accepted_ : MapVersion(),
      .may_arm_late =
          unanswered_arms_.MayArm(report_->epoch, report_->pass, BootNow())};
}

void OwnRank::Order(const RankCommand& command, LeaderTerm term,
                    std::function<void()> on_done) {
  Give(command, term, kOrderTries, std::move(on_done));
}

// An order without an answer is given again at once: it asks for a state, which
// holds already if the first one was carried out.
void OwnRank::Give(const RankCommand& command, LeaderTerm term, int tries,
                   std::function<void()> on_done) {
  if (!report_) return on_done();
  if (command.order == OrderKind::kArm) {
    unanswered_arms_.OnSent(command.epoch, command.pass);
  }
  GiveOrder(engine_, address_, *report_, command, term,
            [this, command, term, tries,
             on_done = std::move(on_done)](OrderResult fate) {
              OnFate(command, fate);
              if (fate == OrderResult::kUnknown && tries > 1) {
                return Give(command, term, tries - 1, on_done);
              }
              Refresh(on_done);
            });
}

void OwnRank::OnFate(const RankCommand& command, OrderResult fate) {
  if (command.order == OrderKind::kPrepare && fate == OrderResult::kAccepted) {
    accepted_ = command.version;
    accepted_epoch_ = command.epoch;
  }
  if (command.order != OrderKind::kArm) return;
  if (fate == OrderResult::kUnknown) {
    unanswered_arms_.OnUnanswered(BootNow());
  } else {
    unanswered_arms_.OnAnswered();
  }
}

}  // namespace mangohold
