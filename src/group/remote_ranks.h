// Engines of a group whose agents are silent: where they are, what they report,
// and orders given to them over their agents' heads.
//
// The engines are asked at the addresses where they serve callers, since those
// beside their agents may have gone silent with them.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "backend/engine_api.h"
#include "group/agent_directory.h"
#include "group/engine_search.h"
#include "group/map_switch.h"
#include "store/store.h"
#include "store/store_schema.h"

namespace mangohold {

// Belongs to one event loop's thread. It outlives the calls that it makes.
class RemoteRanks {
 public:
  struct Options {
    StoreSchema schema;
    ServiceName service;  // of the engines
  };
  // The report of an engine that was asked, and where it was.
  using ReportCallback =
      std::function<void(const RankReport& report, const Endpoint& engine)>;

  RemoteRanks(Store& store, EngineApi& engine, Options options)
      : store_(store), engine_(engine), options_(std::move(options)) {}

  // A leader begins: nothing is found yet, and `on_report` is told from now on.
  void OnLeaderStart(ReportCallback on_report);
  // It ended: nobody is told any more.
  void OnLeaderStop() { on_report_ = nullptr; }
  // Asks the engines of the silent ranks of `group`. One that can't be found
  // beside an agent is looked for in the list of engines.
  void QueryRanks(const std::vector<int>& silent, const GroupName& group,
                  const AgentDirectory& agents, TimePoint now);
  // Reads the report of one engine.
  void QueryEngine(const Endpoint& engine);
  // Gives the order if the engine is still that rank in that epoch and
  // `may_give` says so right before, and calls `on_done` once it was answered
  // or given up.
  void SendOrder(const Endpoint& engine, const RankCommand& command,
                 LeaderTerm term, std::function<bool()> may_send,
                 std::function<void()> on_done);

  // Where a rank without its agent was found; null: nowhere.
  const Endpoint* FindEngine(int rank) const;
  void SetEngine(int rank, const Endpoint& engine) {
    engine_by_rank_[rank] = engine;
  }
  void OnAgentHeard(int rank) { engine_by_rank_.erase(rank); }

 private:
  void QueryListedEngines(const std::vector<StoreItem>& engines,
                          const GroupName& group);

  Store& store_;
  EngineApi& engine_;
  Options options_;
  ReportCallback on_report_;
  EngineSearch search_;
  std::map<int, Endpoint> engine_by_rank_;  // by rank
};

}  // namespace mangohold
