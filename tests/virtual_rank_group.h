// The engines of one group of ranks in virtual time. They follow the platform's
// rules for expert maps: prepare, arm, disarm, hold and go, and passes that all
// ranks begin together.
#pragma once

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "backend/engine_api.h"
#include "core/clock.h"
#include "group/map_switch.h"

namespace mangohold {

class VirtualRankGroup {
 public:
  struct Engine {
    MapVersion map;
    MapVersion highest;
    std::optional<MapVersion> prepared;
    std::optional<MapVersion> copying;
    TimePoint copied_at;
    std::optional<MapVersion> armed;
    PassNumber armed_at;
    std::optional<PassNumber> held;
    std::uint64_t sequence = 0;  // counts the orders that began something

    bool operator==(const Engine&) const = default;
  };

  explicit VirtualRankGroup(int size)
      : engines(static_cast<std::size_t>(size)) {}

  RankReport Report(int rank) const {
    const Engine& engine = engines[rank];
    return {.group = GroupName("g"),
            .epoch = epoch,
            .rank = rank,
            .size = static_cast<int>(engines.size()),
            .is_open = true,
            .pass = pass,
            .sequence = OrderSequence(engine.sequence),
            .map = engine.map,
            .prepared = engine.prepared,
            .armed = engine.armed,
            .armed_at =
                engine.armed ? std::optional(engine.armed_at) : std::nullopt,
            .held = engine.held,
            .running = is_idle ? 0 : 1};
  }

  // Executes an order. Returns false if the engine refuses it.
  bool Execute(int rank, const RankCommand& command, TimePoint now) {
    if (command.epoch != epoch || !command.order) return false;
    const Engine before = engines[rank];
    const bool is_accepted = Apply(engines[rank], command, now);
    if (engines[rank] != before) ++engines[rank].sequence;
    return is_accepted;
  }

  // Applies an order of the current epoch, and changes nothing if the engine
  // refuses it or is in the requested state already.
  bool Apply(Engine& engine, const RankCommand& command, TimePoint now) const {
    if (!command.order) return false;
    switch (*command.order) {
      case OrderKind::kPrepare:
        if (engine.prepared == command.version ||
            engine.copying == command.version) {
          return true;
        }
        if (command.version <= engine.highest || engine.armed) return false;
        engine.highest = command.version;
        engine.prepared.reset();
        engine.copying = command.version;
        engine.copied_at = now + CopyTime(command.version);
        return true;
      case OrderKind::kArm:
        if (engine.armed == command.version) return true;
        if (engine.prepared != command.version || pass >= command.pass) {
          return false;
        }
        engine.armed = command.version;
        engine.armed_at = command.pass;
        return true;
      case OrderKind::kDisarm:
        if (engine.map == command.version) return false;
        if (engine.armed == command.version) engine.armed.reset();
        return true;
      case OrderKind::kHold:
        if (engine.held == command.pass) return true;
        if (engine.held || pass >= command.pass) return false;
        engine.held = command.pass;
        return true;
      case OrderKind::kGo:
        if (engine.held == command.pass) engine.held.reset();
        return true;
      case OrderKind::kCount:
        break;
    }
    return false;
  }

  // The map of an undo's version is the one in use: no experts are copied.
  static Duration CopyTime(MapVersion version) {
    const bool is_undo = version.value() % 2 == 1;
    return std::chrono::milliseconds(is_undo ? 0 : 300);
  }

  // Begins the next pass unless a rank holds it or the group is idle. Returns
  // false if ranks begin it with different maps.
  bool BeginPass(TimePoint now) {
    const PassNumber next = pass.Next();
    FinishCopies(now);
    if (is_idle) return true;
    if (std::ranges::any_of(engines, [next](const Engine& engine) {
          return engine.held && *engine.held <= next;
        })) {
      ++held_passes;
      max_consecutive_held_passes =
          std::max(max_consecutive_held_passes, ++consecutive_held_passes);
      return true;
    }
    consecutive_held_passes = 0;
    pass = next;
    for (Engine& engine : engines) {
      if (engine.armed && engine.armed_at == pass) {
        engine.map = *engine.armed;
        engine.armed.reset();
        engine.prepared.reset();
      }
    }
    return std::ranges::all_of(engines, [this](const Engine& engine) {
      return engine.map == engines.front().map;
    });
  }

  void FinishCopies(TimePoint now) {
    for (Engine& engine : engines) {
      if (engine.copying && engine.copied_at <= now) {
        engine.prepared = std::exchange(engine.copying, std::nullopt);
      }
    }
  }

  void StartNextEpoch() {
    epoch = epoch.Next();
    engines.assign(engines.size(), Engine());
  }

  GroupEpoch epoch{1};
  PassNumber pass{1};
  bool is_idle = false;  // it serves no request, so that it makes no pass
  std::vector<Engine> engines;
  int held_passes = 0;
  int consecutive_held_passes = 0;  // up to now
  int max_consecutive_held_passes = 0;
};

}  // namespace mangohold
