// Runs real entries of the direct way as processes, before stand-ins of the
// store and of backend servers that live in the test itself.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "backend_standin.h"
#include "harness.h"
#include "relay.h"
#include "standins/kv_store.h"

namespace mangohold::testing {

class DirectSite {
 public:
  struct Options {
    int entries = 1;
    int backends = 1;
    int revocation_ms = 5'000;
    double grace_s = 8;
    int timeout_ms = 4'000;  // of the routes
    int most_direct_followers = 12;
    // Each entry reaches the store by a link of its own, which tests can cut.
    bool has_store_links = false;
    // Of the entries' machines; 0: not stated.
    int memory_mb = 0;
    int max_descriptors = 0;
    int max_body_bytes = 5'000;
    int idle_timeout_ms = 15'000;
  };

  explicit DirectSite(Options options);
  ~DirectSite();

  // Waits until each entry is ready.
  void Start();
  void StartEntry(int index);
  // Writes the deployment; the service's routes are /once/ (not repeatable),
  // /again/ (idempotent) and /stream/ (resumable).
  void PutDeployment(int version, const std::vector<std::string>& keys = {"k"});
  // The same without the route of this name.
  void PutDeploymentWithout(const std::string& route, int version);
  void ListBackend(int index, const std::string& state = "ready");
  // Another backend server takes over the address.
  void ReplaceBackend(int index);
  // Lists a relay's address as the backend server's, and waits until each entry
  // knows it.
  std::unique_ptr<Relay> PutRelayBefore(int backend);

  standin::KvStore& store() { return *store_; }
  BackendStandin& backend(int index) { return *backends_[index]; }
  Process& entry(int index) { return *entries_[index]; }
  Relay& store_link(int entry) { return *store_links_[entry]; }
  Endpoint CallerAddress(int entry) const;
  // The text of a request with a key.
  static std::string RequestText(const std::string& method,
                                 const std::string& path, const std::string& id,
                                 std::chrono::milliseconds deadline,
                                 const std::string& body = "");
  bool IsReady(int entry) const;
  std::string Directory(int entry) const;
  std::string Metrics(int entry) const;
  // Retries that the entry may make at once.
  int RetryTokens(int entry) const;
  // Everything that the entries have logged.
  std::string Log(int entry) const;

  HttpResponse Call(const std::string& method, const std::string& path,
                    const std::string& id, const std::string& body = "",
                    const std::string& key = "k", int entry = 0) const;

 private:
  void WriteDeployment(int version, const std::vector<std::string>& keys,
                       const std::string& left_out);
  void ListBackendAt(int index, const std::string& address,
                     const std::string& state);
  std::string Ip(int last) const;
  Endpoint StoreAddress(int entry) const;

  Options options_;
  std::string directory_;
  std::string net_;
  std::unique_ptr<standin::KvStore> store_;
  std::vector<std::unique_ptr<Relay>> store_links_;
  std::vector<std::unique_ptr<BackendStandin>> backends_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}  // namespace mangohold::testing
