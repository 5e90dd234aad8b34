#include "group/remote_ranks.h"

#include <algorithm>
#include <utility>

#include "group/own_rank.h"
#include "store/list_all.h"

namespace mangohold {

void RemoteRanks::OnLeaderStart(ReportCallback on_report) {
  on_report_ = std::move(on_report);
  engine_by_rank_.clear();
  readings_.clear();
  search_.Reset();
}

void RemoteRanks::QueryRanks(const std::vector<int>& silent,
                             const GroupName& group,
                             const AgentDirectory& agents, TimePoint now) {
  for (const int rank : silent) {
    if (const Member* agent = agents.FindByRank(rank)) Query(agent->backend);
  }
  if (silent.empty()) search_.Reset();
  const bool is_any_unknown = std::ranges::any_of(
      silent, [this](int rank) { return FindEngine(rank) == nullptr; });
  if (!is_any_unknown || !search_.IsDue(now)) return;
  ListAll(store_, options_.schema.backend_prefix, Freshness::kMayBeStale,
          [this, group](const auto& engines) {
            if (engines.ok()) return QueryListedEngines(*engines, group);
            LogEngineCall("backend servers", engines.status());
          });
}

void RemoteRanks::QueryListedEngines(const std::vector<StoreItem>& engines,
                                     const GroupName& group) {
  const TimePoint now = BootNow();
  for (const StoreItem& item : engines) {
    const auto record = options_.schema.decode_backend(
        InstanceId(item.key.substr(options_.schema.backend_prefix.size())),
        item.value);
    const bool is_candidate =
        record.ok() && record->service == options_.service &&
        !search_.IsInOtherGroup(record->address, group, now);
    if (is_candidate) Query(record->address);
  }
}

void RemoteRanks::Query(const Endpoint& engine) {
  engine_.Report(engine, [this, engine](const auto& report) {
    if (!report.ok()) {
      return LogEngineCall("report of " + engine.value(), report.status());
    }
    search_.OnReport(engine, report->group, BootNow());
    if (on_report_) on_report_(*report, engine);
  });
}

const RankReport* RemoteRanks::Confirm(const Endpoint& engine,
                                       const RankReport& report) {
  Reading& reading = readings_[engine];
  const bool is_confirmed = reading.report.OnRead(report);
  const bool is_last = --reading.reads_left == 0;
  if (is_confirmed || is_last) reading.reads_left = ConfirmedReport::kMaxReads;
  if (is_confirmed) return reading.report.report();
  if (!is_last) Query(engine);
  return nullptr;
}

void RemoteRanks::SendOrder(const Endpoint& engine, const RankCommand& command,
                            LeaderTerm term, std::function<bool()> may_send,
                            std::function<void()> on_done) {
  engine_.Report(
      engine, [this, engine, command, term, may_give = std::move(may_send),
               on_done = std::move(on_done)](const auto& report) {
        // The engine itself refuses an order of another epoch.
        const bool is_void = !on_report_ || !report.ok() ||
                             report->rank != command.rank || !may_give();
        if (is_void) return;
        SendEngineOrder(engine_, engine, *report, command, term,
                        [on_done](OrderResult /*result*/) { on_done(); });
      });
}

const Endpoint* RemoteRanks::FindEngine(int rank) const {
  const auto found = engine_by_rank_.find(rank);
  return found == engine_by_rank_.end() ? nullptr : &found->second;
}

}  // namespace mangohold
