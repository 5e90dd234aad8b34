// A small deployment of entries as their own processes, before a stand-in of
// the store. The backend servers are the case's own.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "review/standins-3/tests/child_process.h"
#include "standins/kv_store.h"

namespace mangohold::review {

class DirectEntries {
 public:
  struct Route {
    std::string name;  // its prefix is "/NAME/"
    std::string kind;
    bool resumes = false;
    int timeout_ms = 4'000;
  };
  struct Listed {
    std::string id;
    std::string address;
    std::string service = "s";
    std::string state = "ready";
    int slots = 8;
  };

  explicit DirectEntries(std::string program);

  // An address of this run: 1 is the store, 10 and up the entries.
  std::string Ip(int last) const { return net_ + std::to_string(last); }
  void PutDeployment(int version, const std::vector<Route>& routes,
                     const nlohmann::json& limits = DefaultLimits());
  void List(const Listed& server);
  // `more` replaces settings.
  void StartEntry(int index,
                  const nlohmann::json& more = nlohmann::json::object());
  // Waits until the entry says that it is ready.
  bool WaitUntilReady(int index) const;
  std::string CallerAddress(int index) const {
    return Ip(10 + index) + ":8080";
  }
  ChildProcess& entry(int index) { return *entries_.at(index); }
  standin::KvStore& store() { return store_; }
  // What the entry has printed.
  std::string Log(int index) const;

  static nlohmann::json DefaultLimits();

 private:
  std::string program_;
  std::string net_ = OwnLoopbackNet();
  TemporaryFolder folder_;
  standin::KvStore store_;
  std::map<int, std::unique_ptr<ChildProcess>> entries_;
};

}  // namespace mangohold::review
