// The control interface of a model engine that serves as one rank of a group.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/ids.h"
#include "group/even_placement.h"

namespace mangohold {

// The epoch of a group, new whenever the group is formed again. Nothing agreed
// in an earlier epoch is valid.
using GroupEpoch = Number<struct GroupEpochTag>;
// The number of a forward pass, which all ranks of a group run together.
using PassNumber = Number<struct PassNumberTag>;
using MapVersion = Number<struct MapVersionTag>;
// The number of orders that an engine has accepted since its start.
using OrderSequence = Number<struct OrderSequenceTag>;

// Ranks of a group at the most. A larger number isn't read as one.
constexpr int kMaxRanks = 4'096;
// How often an expert can have been selected at the most; sums of some hundred
// such counts are exact.
constexpr std::int64_t kMaxExpertCount = std::int64_t{1} << 53U;

// The state of an engine as it reports it.
struct RankReport {
  GroupName group;  // empty if the engine is not a rank
  GroupEpoch epoch;
  int rank = 0;
  int size = 0;          // number of ranks in the group
  bool is_open = false;  // the group accepts requests
  PassNumber pass;       // the last one started
  OrderSequence sequence;
  bool is_busy = false;                // an order is being carried out
  MapVersion map;                      // in use
  std::optional<MapVersion> prepared;  // fully copied and not in use
  std::optional<MapVersion> armed;     // to be switched to
  std::optional<PassNumber> armed_at;  // the pass of the switch, if known
  std::optional<PassNumber> held;      // the pass that must not start
  int running = 0;                     // requests in progress
  int waiting = 0;                     // requests queued
  double slowdown = 1;                 // above 1: slower than normal
};

// How often the rank's requests selected each expert since its start,
// concatenated by expert set.
using ExpertCounts = std::vector<std::int64_t>;
// The experts whose weights one rank holds, by expert set.
using ExpertLists = std::vector<std::vector<int>>;

enum class OrderKind { kPrepare, kArm, kDisarm, kHold, kGo, kCount };

// An order to one rank. The engine refuses it in any other epoch, and if its
// order sequence is not the expected one.
struct RankOrder {
  OrderKind kind = OrderKind::kPrepare;
  GroupEpoch epoch;
  OrderSequence expected;
  MapVersion version;  // kPrepare, kArm, kDisarm
  PassNumber pass;     // kArm, kHold, kGo
  GroupMap map;        // kPrepare
};

enum class OrderResult {
  kAccepted,  // started, or the requested state already holds
  kRefused,   // conflicts with the engine's state: nothing was done
  kUnknown    // no reply that tells: it may have been, or may yet be, carried
              // out
};

// All calls are asynchronous and time out. Callbacks run on the client's event
// loop.
class EngineApi {
 public:
  template <typename Value>
  using Callback = std::function<void(Value)>;

  virtual ~EngineApi() = default;
  virtual void Report(const Endpoint& engine,
                      Callback<absl::StatusOr<RankReport>> on_report) = 0;
  virtual void Counts(const Endpoint& engine,
                      Callback<absl::StatusOr<ExpertCounts>> on_counts) = 0;
  virtual void Holdings(const Endpoint& engine,
                        Callback<absl::StatusOr<ExpertLists>> on_holdings) = 0;
  virtual void Order(const Endpoint& engine, const RankOrder& order,
                     Callback<OrderResult> on_result) = 0;
};

}  // namespace mangohold
