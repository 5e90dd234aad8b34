// Measures how long entries of a large fleet keep using a backend server that
// has left, while the entries through which they follow the store fail or are
// rejected. Uses the real follower, watcher selection, long polls and fleet
// builder in simulated time.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "peer/long_poll_queue.h"
#include "peer/zone_watchers.h"
#include "platform/schema.h"
#include "store/fleet_builder.h"
#include "store/store_follower.h"
#include "virtual_scheduler.h"
#include "virtual_store.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Treatment;
using testing::VirtualScheduler;
using testing::VirtualStore;
using testing::VirtualStoreClient;

constexpr int kZones = 3;
constexpr int kEntriesPerZone = 8;
// The longest time after the store's acknowledgement for which a backend server
// may still be used, in the smallest fleets that have watchers.
constexpr seconds kDrainBound(3);
constexpr char kServer[] = "servers/s0";

std::string ServerText(const std::string& state) {
  return R"({"service":"s","address":"10.0.0.1:1","zone":"z0","version":"v1",)"
         R"("slots":6,"state":")" +
         state + R"(","cold_remaining_ms":0,"sequence":4,"born":1000})";
}

// The control thread of one entry.
class EntryModel : public ChangeRelay {
 public:
  EntryModel(VirtualScheduler& scheduler, VirtualStore& store, Member self,
             Random& random)
      : scheduler_(scheduler),
        random_(random),
        calls_(store),
        selector_({.self = std::move(self)}),
        follower_(
            scheduler, calls_, {},
            {.on_changed = [this](const auto& keys) { OnChanged(keys); },
             .on_confirmed =
                 [this](TimePoint as_of) { availability_.OnAnswered(as_of); }}),
        long_polls_({}, [this](Revision after) {
          return follower_.EventsSince(after);
        }) {}

  void Start(const std::map<InstanceId, EntryModel*>& fleet,
             const std::vector<Member>& members, const Member& self) {
    fleet_ = &fleet;
    std::vector<Member> alive = members;
    std::erase_if(alive, [&](const Member& m) { return m.id == self.id; });
    selector_.SetAlive(alive);
    follower_.SetRelay(*this);
    follower_.Start();
    scheduler_.Every(milliseconds(200), [this] { Tick(); });
    scheduler_.After(milliseconds(random_.Below(2'000)), [this] { Renew(); });
  }

  bool Watch(Revision after, OnEvents on_events) override {
    const auto watcher = selector_.Select(scheduler_.Now());
    if (!watcher) return false;
    const auto is_over = std::make_shared<bool>(false);
    const auto finish = [this, is_over, id = watcher->id,
                         on_events](absl::StatusOr<RelayedEvents> relayed) {
      if (std::exchange(*is_over, true)) return;
      if (!relayed.ok()) selector_.OnFailed(id, scheduler_.Now());
      on_events(std::move(relayed));
    };
    const auto fail = [finish] { finish(absl::UnavailableError("no answer")); };
    scheduler_.After(LongPollQueue::Options().timeout, fail);
    EntryModel* const target = fleet_->at(watcher->id);
    scheduler_.After(NetworkDelay(), [this, target, after, finish, fail] {
      target->OnPollRequest(after, [this, finish, fail](const auto& relayed) {
        scheduler_.After(NetworkDelay(), [relayed, finish, fail] {
          relayed ? finish(*relayed) : fail();
        });
      });
    });
    return true;
  }
  bool HasSources() const override { return selector_.HasWatchers(); }
  bool IsServing() const override { return selector_.IsServing(); }
  bool is_dead() const { return is_dead_; }

  void OnPollRequest(Revision after, const LongPollQueue::Reply& reply) {
    if (is_dead_) return;
    const bool is_taken = selector_.IsServing() &&
                          long_polls_.Add(after, scheduler_.Now(), reply);
    if (!is_taken) reply(std::nullopt);
  }
  void Kill() { is_dead_ = true; }
  VirtualStoreClient& calls() { return calls_; }
  // When the server last went out of use; absent: it is in use.
  std::optional<TimePoint> left_at() const { return left_at_; }

 private:
  // Renews the entry's lease; the answer shows that the store is available.
  void Renew() {
    if (calls_.treatment() == Treatment::kServed) {
      availability_.OnAnswered(scheduler_.Now());
    }
    scheduler_.After(seconds(2), [this] { Renew(); });
  }
  // The network delay, and the scheduling delay of a small machine.
  Duration NetworkDelay() { return milliseconds(1 + random_.Below(150)); }
  void OnChanged(const std::vector<std::string>& keys) {
    builder_.OnChanged(keys, follower_.replica(), availability_,
                       scheduler_.Now());
    UpdateLeftAt();
    long_polls_.AnswerDue(scheduler_.Now());
  }
  void Tick() {
    long_polls_.AnswerDue(scheduler_.Now());
    builder_.OnTimer(follower_.replica().revision(), availability_,
                     scheduler_.Now());
    UpdateLeftAt();
  }
  void UpdateLeftAt() {
    const bool is_used = !builder_.View()->backends.empty();
    if (is_used) {
      left_at_.reset();
    } else if (!left_at_) {
      left_at_ = scheduler_.Now();
    }
  }

  VirtualScheduler& scheduler_;
  Random& random_;
  VirtualStoreClient calls_;
  WatcherSelector selector_;
  FleetBuilder builder_{platform::Schema(), {}};
  StoreAvailability availability_;
  StoreFollower follower_;
  LongPollQueue long_polls_;
  const std::map<InstanceId, EntryModel*>* fleet_ = nullptr;
  std::optional<TimePoint> left_at_ = TimePoint();
  bool is_dead_ = false;
};

enum class DepartureKind { kDraining, kRemoval, kCount };

// A fleet in steady state with one backend server in use.
class FleetModel {
 public:
  explicit FleetModel(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kZones * kEntriesPerZone; ++i) {
      members_.push_back({.id = InstanceId("e" + std::to_string(i)),
                          .zone = ZoneName("z" + std::to_string(i % kZones))});
    }
    for (const Member& member : members_) {
      entries_.push_back(
          std::make_unique<EntryModel>(scheduler_, store_, member, random_));
      by_id_[member.id] = entries_.back().get();
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      entries_[i]->Start(by_id_, members_, members_[i]);
    }
    store_.Put(kServer, ServerText("ready"));
    RunFor(seconds(10));
  }

  void RunFor(Duration duration) {
    scheduler_.RunUntil(scheduler_.Now() + duration);
  }
  // Makes the server leave now, and returns the longest time for which an entry
  // accepted by `counts` keeps using it.
  Duration LongestUse(DepartureKind kind,
                      const std::function<bool(const EntryModel&)>& counts) {
    const TimePoint left = scheduler_.Now();
    if (kind == DepartureKind::kDraining) {
      store_.Put(kServer, ServerText("draining"));
    } else {
      store_.Remove(kServer);
    }
    RunFor(kObserved);
    Duration longest{0};
    for (const auto& entry : entries_) {
      if (!counts(*entry)) continue;
      const auto at = entry->left_at();
      longest = std::max(longest, at ? *at - left : Duration(kObserved));
    }
    return longest;
  }
  const std::vector<std::unique_ptr<EntryModel>>& entries() const {
    return entries_;
  }
  Random& random() { return random_; }
  VirtualScheduler& scheduler() { return scheduler_; }

 private:
  static constexpr seconds kObserved{12};

  VirtualScheduler scheduler_;
  VirtualStore store_{scheduler_};
  Random random_;
  std::vector<Member> members_;
  std::vector<std::unique_ptr<EntryModel>> entries_;
  std::map<InstanceId, EntryModel*> by_id_;
};

constexpr int kSeeds = 100;

// Returns the longest use over all seeds, in ms. `fault` starts before the
// server leaves, and returns the predicate that tells which entries count.
using Fault =
    std::function<std::function<bool(const EntryModel&)>(FleetModel&)>;

std::int64_t LongestUse(DepartureKind kind, const Fault& fault) {
  Duration longest{0};
  for (int seed = 1; seed <= kSeeds; ++seed) {
    FleetModel fleet(seed);
    const auto counts = fault(fleet);
    longest = std::max(longest, fleet.LongestUse(kind, counts));
  }
  ::testing::Test::RecordProperty("longest_ms",
                                  std::to_string(ToMillis(longest)));
  return ToMillis(longest);
}

// The store rejects about a third of the entries or leaves their calls
// unanswered. Only the other entries count.
std::function<bool(const EntryModel&)> RefuseSome(FleetModel& fleet) {
  std::set<const EntryModel*> refused;
  const Treatment treatment =
      fleet.random().Below(2) == 0 ? Treatment::kRefused : Treatment::kSilent;
  for (const auto& entry : fleet.entries()) {
    if (fleet.random().Unit() >= 0.35) continue;
    entry->calls().SetTreatment(treatment);
    refused.insert(entry.get());
  }
  fleet.RunFor(milliseconds(fleet.random().Below(6'000)));
  return
      [refused](const EntryModel& entry) { return !refused.contains(&entry); };
}

// The store cuts the watches of each entry about once a second.
std::function<bool(const EntryModel&)> CutWatches(FleetModel& fleet) {
  for (const auto& entry : fleet.entries()) {
    fleet.scheduler().Every(milliseconds(500 + fleet.random().Below(1'000)),
                            [calls = &entry->calls()] { calls->CutWatches(); });
  }
  fleet.RunFor(milliseconds(fleet.random().Below(3'000)));
  return [](const EntryModel& /*entry*/) { return true; };
}

// All entries through which others follow the store crash. Only the other
// entries count.
std::function<bool(const EntryModel&)> KillServing(FleetModel& fleet) {
  for (const auto& entry : fleet.entries()) {
    if (entry->IsServing()) entry->Kill();
  }
  fleet.RunFor(milliseconds(fleet.random().Below(2'000)));
  return [](const EntryModel& entry) { return !entry.is_dead(); };
}

// Guards against requests that reached a backend server for longer than the
// bound after it had left (DRAIN at 99 entries): the store served the entries
// that sent them, but rejected the watchers through which these entries
// followed it.
TEST(DeparturesAtScale, RejectedWatchersDoNotDelayDraining) {
  EXPECT_LE(LongestUse(DepartureKind::kDraining, RefuseSome),
            ToMillis(kDrainBound));
}

// The same for servers whose keys disappear: a change to another source of
// updates restarted the time for which a key's record is retained.
TEST(DeparturesAtScale, RejectedWatchersDoNotDelayRemoval) {
  EXPECT_LE(LongestUse(DepartureKind::kRemoval, RefuseSome),
            ToMillis(kDrainBound));
}

TEST(DeparturesAtScale, CutWatchesDoNotDelayDraining) {
  EXPECT_LE(LongestUse(DepartureKind::kDraining, CutWatches),
            ToMillis(kDrainBound));
}

// Guards against a departure that never takes effect while calls fail
// occasionally: each failure restarted the time for which a key's record is
// retained.
TEST(DeparturesAtScale, CutWatchesDoNotDelayRemoval) {
  EXPECT_LE(LongestUse(DepartureKind::kRemoval, CutWatches),
            ToMillis(kDrainBound));
}

// Guards against delays that add up: each hop is within its own bound, but
// their sum exceeds the bound of a departure.
TEST(DeparturesAtScale, DeadWatchersDoNotDelayDraining) {
  EXPECT_LE(LongestUse(DepartureKind::kDraining, KillServing),
            ToMillis(kDrainBound));
}

TEST(DeparturesAtScale, DeadWatchersDoNotDelayRemoval) {
  EXPECT_LE(LongestUse(DepartureKind::kRemoval, KillServing),
            ToMillis(kDrainBound));
}

}  // namespace
}  // namespace mangohold
