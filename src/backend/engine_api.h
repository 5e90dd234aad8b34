// The control calls of a model engine that is a rank of a group.
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

// One forming of a group; everything agreed in an earlier one is void.
using GroupEpoch = Number<struct GroupEpochTag>;
// The ordinal of a pass that all ranks of a group make together.
using PassNumber = Number<struct PassNumberTag>;
using MapVersion = Number<struct MapVersionTag>;
// Orders that an engine has accepted since its start.
using OrderSequence = Number<struct OrderSequenceTag>;

// What an engine says of itself.
struct RankReport {
  GroupName group;  // empty: not a rank
  GroupEpoch epoch;
  int rank = 0;
  int size = 0;          // ranks of the group
  bool is_open = false;  // the group takes work
  PassNumber pass;       // the last one begun
  OrderSequence sequence;
  bool is_busy = false;                // an order is in progress
  MapVersion map;                      // in use
  std::optional<MapVersion> prepared;  // copied whole and not in use
  std::optional<MapVersion> armed;
  std::optional<PassNumber> armed_at;  // where known
  std::optional<PassNumber> held;      // a pass that doesn't begin
  int running = 0;
  int waiting = 0;
  double pace = 1;  // over 1: slow
};

// How often the rank's requests chose each expert since its start, one set
// after the other.
using ExpertCounts = std::vector<std::int64_t>;

enum class OrderKind { kPrepare, kArm, kDisarm, kHold, kGo, kCount };

// An order to one rank. It is void in any other epoch, and if the engine has
// accepted another order since the one expected.
struct RankOrder {
  OrderKind kind = OrderKind::kPrepare;
  GroupEpoch epoch;
  OrderSequence expected;
  MapVersion version;  // kPrepare, kArm, kDisarm
  PassNumber pass;     // kArm, kHold, kGo
  GroupMap map;        // kPrepare
};

enum class OrderResult {
  kAccepted,  // begun, or the state holds already
  kRefused,   // it doesn't fit the engine's state: nothing was done
  kUnknown    // no answer: accepted, or carried out later, or never
};

// Calls have time-outs; callbacks run on the client's event loop.
class EngineApi {
 public:
  template <typename Value>
  using Callback = std::function<void(Value)>;

  virtual ~EngineApi() = default;
  virtual void Report(const Endpoint& engine,
                      Callback<absl::StatusOr<RankReport>> on_report) = 0;
  virtual void Counts(const Endpoint& engine,
                      Callback<absl::StatusOr<ExpertCounts>> on_counts) = 0;
  // The experts that the rank holds, by set.
  virtual void Holdings(
      const Endpoint& engine,
      Callback<absl::StatusOr<std::vector<std::vector<int>>>> on_holdings) = 0;
  virtual void Order(const Endpoint& engine, const RankOrder& order,
                     Callback<OrderResult> on_result) = 0;
};

}  // namespace mangohold
