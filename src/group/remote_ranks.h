// Locates the engines of a group whose agents are silent, reads their reports,
// and sends them orders directly, bypassing the agents.
//
// Engines are also looked up in the store's list of backend servers, with the
// addresses at which they serve callers: the address known from the agent may
// have failed together with it.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "backend/engine_api.h"
#include "group/agent_directory.h"
#include "group/confirmed_report.h"
#include "group/engine_search.h"
#include "group/map_switch.h"
#include "store/store.h"
#include "store/store_schema.h"

namespace mangohold {

// Belongs to one event loop's thread. It must outlive the calls that it makes.
class RemoteRanks {
 public:
  struct Options {
    StoreSchema schema;
    ServiceName service;  // of the engines
  };
  // Called with the report of a queried engine and its address. The report may
  // be wrong; see `Confirm`.
  using ReportCallback =
      std::function<void(const RankReport& report, const Endpoint& engine)>;

  RemoteRanks(Store& store, EngineApi& engine, Options options)
      : store_(store), engine_(engine), options_(std::move(options)) {}

  // Starts a leader's term: forgets all located engines and delivers reports to
  // `on_report`.
  void OnLeaderStart(ReportCallback on_report);
  // Ends the term: no reports are delivered any more.
  void OnLeaderStop() { on_report_ = nullptr; }
  // Queries the engines of the silent ranks of `group` at the addresses known
  // from their agents. While one of them isn't located, also queries the listed
  // engines of the service at growing intervals.
  void QueryRanks(const std::vector<int>& silent, const GroupName& group,
                  const AgentDirectory& agents, TimePoint now);
  // Reads the report of one engine and delivers it.
  void Query(const Endpoint& engine);
  // Takes a report of an engine. Returns the confirmed state of the engine, or
  // null after having queried it again; see `ConfirmedReport`.
  const RankReport* Confirm(const Endpoint& engine, const RankReport& report);
  // Reads the engine's report, and sends it the order if it still is the
  // command's rank and `may_send` returns true. Calls `on_done` once the order
  // was answered or has timed out, and not at all if it wasn't sent.
  void SendOrder(const Endpoint& engine, const RankCommand& command,
                 LeaderTerm term, std::function<bool()> may_send,
                 std::function<void()> on_done);

  // Address of the engine of a rank whose agent is silent; null if not located.
  const Endpoint* FindEngine(int rank) const;
  void SetEngine(int rank, const Endpoint& engine) {
    engine_by_rank_[rank] = engine;
  }
  void OnAgentStatus(int rank) { engine_by_rank_.erase(rank); }

 private:
  // The reports of one engine until two in a row agree.
  struct Reading {
    ConfirmedReport report;
    int reads_left = ConfirmedReport::kMaxReads;
  };

  void QueryListedEngines(const std::vector<StoreItem>& engines,
                          const GroupName& group);

  Store& store_;
  EngineApi& engine_;
  Options options_;
  ReportCallback on_report_;
  EngineSearch search_;
  std::map<int, Endpoint> engine_by_rank_;  // key: rank
  std::map<Endpoint, Reading> readings_;
};

}  // namespace mangohold
