// The rank agents of one group as their own processes, before a stand-in of the
// store. The group's engines are the case's own.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/standins-3/tests/child_process.h"
#include "review/standins-3/tests/recorder.h"
#include "standins/kv_store.h"

namespace mangohold::review {

class RankAgents {
 public:
  struct Options {
    std::string program;
    int ranks = 12;
    int experts = 24;
  };

  RankAgents(Options options, Recorder& recorder);

  // The addresses of the engines, by rank.
  std::vector<std::string> EngineAddresses() const;
  // Writes what operators and engines write. The engines' service is "s".
  void PutDeployment(
      const nlohmann::json& routes = nlohmann::json::array(),
      const nlohmann::json& more_services = nlohmann::json::array());
  void Start(int rank);
  ChildProcess& agent(int rank) { return *agents_.at(rank); }
  // The rank of the agent that last wrote to the store that it leads; -1: none
  // has.
  int Leader() const;
  int size() const { return options_.ranks; }
  // An address of this run: 1 is the store's, 50 and up the agents', 100 and
  // up the engines'.
  std::string Ip(int last) const { return net_ + std::to_string(last); }
  standin::KvStore& store() { return store_; }
  const TemporaryFolder& folder() const { return folder_; }

 private:
  Options options_;
  Recorder& recorder_;
  std::string net_ = OwnLoopbackNet();
  TemporaryFolder folder_;
  standin::KvStore store_;
  std::map<int, std::unique_ptr<ChildProcess>> agents_;
};

}  // namespace mangohold::review
