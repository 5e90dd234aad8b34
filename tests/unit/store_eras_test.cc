// A store that is restored from an older backup: revisions are assigned again,
// acknowledged writes since the backup are lost, and operators and backend
// servers repeat their writes.
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <set>

#include "core/random.h"
#include "platform/schema.h"
#include "store/change_log.h"
#include "store/change_relay.h"
#include "store/fleet_builder.h"
#include "store/store_replica.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Revision InEra(std::uint64_t era, std::uint64_t number) {
  return Revision(number, StoreEra(era));
}

std::string DeploymentText(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[{"name":"s"}],"limits":{"max_header_bytes":100,
         "max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400}})";
}

std::string BackendText(int index, const char* state) {
  return R"({"service":"s","address":"10.0.0.1:8)" + std::to_string(index) +
         R"(","zone":")" + (index % 2 == 0 ? "even" : "odd") +
         R"(","version":"v1","slots":12,"state":")" + state +
         R"(","cold_remaining_ms":0,"sequence":4,"born":)" +
         std::to_string(1'000 + index) + "}";
}

// The store, its backup, and the last writes of its other clients.
class VirtualStore {
 public:
  void Put(const std::string& key, const std::string& value) {
    intended_[key] = value;
    Write(key, value);
  }
  void Remove(const std::string& key) {
    intended_.erase(key);
    Erase(key);
  }
  void Snapshot() {
    snapshot_ = items_;
    snapshot_number_ = number_;
  }
  void Restore() {
    items_ = snapshot_;
    number_ = snapshot_number_;
    era_ = era_.Next();
    history_.clear();
    for (auto& [key, item] : items_) {
      item.revision = Revision(item.revision.number(), era_);
      item.created = Revision(item.created.number(), era_);
    }
  }
  // Repeats the write of one key that differs from what its writer last wrote.
  // Returns false if there is none.
  bool RestoreOneWrite() {
    for (const auto& [key, value] : intended_) {
      const auto item = items_.find(key);
      if (item != items_.end() && item->second.value == value) continue;
      Write(key, value);
      return true;
    }
    for (const auto& [key, item] : items_) {
      if (intended_.contains(key)) continue;
      Erase(std::string(key));
      return true;
    }
    return false;
  }

  StorePage List() const {
    StorePage page{.revision = at()};
    for (const auto& [key, item] : items_) page.items.push_back(item);
    return page;
  }
  StoreEvents Watch(Revision after) const {
    if (after.number() > number_) {
      return {.revision = at(), .is_history_lost = true};
    }
    StoreEvents events{.revision = at()};
    for (const StoreEvent& event : history_) {
      if (event.item.revision.number() <= after.number()) continue;
      events.events.push_back(event);
    }
    return events;
  }
  Revision at() const { return Revision(number_, era_); }
  const std::map<std::string, std::string>& intended() const {
    return intended_;
  }

 private:
  void Write(const std::string& key, const std::string& value) {
    ++number_;
    StoreItem& item = items_[key];
    if (item.key.empty()) item = {.key = key, .created = at()};
    item.value = value;
    item.revision = at();
    history_.push_back({.item = item});
  }
  void Erase(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++number_;
    history_.push_back(
        {.item = {.key = key, .revision = at()}, .is_deleted = true});
  }

  std::map<std::string, StoreItem> items_;
  std::vector<StoreEvent> history_;
  std::uint64_t number_ = 1;
  StoreEra era_{1};
  std::map<std::string, StoreItem> snapshot_;
  std::uint64_t snapshot_number_ = 1;
  std::map<std::string, std::string> intended_;
};

// The state of an entry, made of the classes that the daemons use.
class VirtualEntry {
 public:
  void List(const VirtualStore& store, TimePoint now) {
    replica_.BeginListing();
    const bool is_later_era =
        replica_.is_loaded() && store.at().era() != replica_.revision().era();
    if (is_later_era) availability_.OnRestored(now);
    ApplyChanges(replica_.OnPage(store.List()), now);
    change_log_.OnListed(replica_.revision());
  }
  void WatchStore(const VirtualStore& store, TimePoint now) {
    const StoreEvents events = store.Watch(replica_.revision());
    const bool is_of_era = events.revision.era() == replica_.revision().era();
    if (events.is_history_lost || !is_of_era) return List(store, now);
    ApplyChanges(replica_.OnEvents(events), now);
    change_log_.OnEvents(events);
  }
  // Returns false if `other` can't serve the changes.
  bool WatchThrough(const VirtualEntry& other, TimePoint now) {
    const auto events = other.change_log_.Since(replica_.revision());
    if (!events) return false;
    const auto relayed = DecodeRelayed(EncodeRelayed({.events = *events}));
    EXPECT_TRUE(relayed.ok());
    ApplyChanges(replica_.OnEvents(relayed->events), now);
    change_log_.OnEvents(relayed->events);
    return true;
  }
  void OnTimer(TimePoint now) {
    builder_.OnTimer(replica_.revision(), availability_, now);
  }
  FleetViewPtr View() const { return builder_.View(); }
  const StoreReplica& replica() const { return replica_; }
  // True if keys that disappear now are no longer retained, and weren't in the
  // previous step either.
  bool IsSettled(TimePoint now) const {
    return availability_.IsSettled(now - milliseconds(100));
  }

 private:
  void ApplyChanges(const std::vector<std::string>& keys, TimePoint now) {
    builder_.OnChanged(keys, replica_, availability_, now);
  }

  StoreReplica replica_;
  ChangeLog change_log_;
  FleetBuilder builder_{platform::Schema(), {}};
  // The store has been available all the time except for its restores.
  StoreAvailability availability_{
      {.outage_threshold = std::chrono::hours(10'000)}};
};

TEST(StoreEras, ARevisionOfALaterEraIsNewer) {
  EXPECT_GT(InEra(2, 81), InEra(1, 133));
  EXPECT_GT(InEra(2, 81).packed(), InEra(1, 133).packed());
  EXPECT_EQ(Revision::FromPacked(InEra(2, 81).packed()), InEra(2, 81));
  EXPECT_EQ(Revision::FromPacked(7), Revision(7)) << "the first era";
}

TEST(StoreEras, AWatcherOfAnotherEraReturnsNothing) {
  ChangeLog log;
  log.OnListed(InEra(1, 100));
  EXPECT_TRUE(log.Since(InEra(1, 120)));
  EXPECT_FALSE(log.Since(InEra(2, 110))) << "the watcher is in the earlier era";
  log.OnListed(InEra(2, 80));
  EXPECT_FALSE(log.Since(InEra(1, 120))) << "the client is in the earlier era";
}

TEST(StoreEras, AListingAcrossTwoErasIsRejected) {
  StoreReplica replica;
  replica.BeginListing();
  EXPECT_TRUE(replica.IsOfListingEra({.revision = InEra(1, 9)}));
  replica.OnPage({.has_more = true, .revision = InEra(1, 9)});
  EXPECT_TRUE(replica.IsOfListingEra({.revision = InEra(1, 11)}));
  EXPECT_FALSE(replica.IsOfListingEra({.revision = InEra(2, 8)}));
}

class RestoredStore : public testing::Test {
 protected:
  RestoredStore() {
    store_.Put("op/config", DeploymentText(3));
    store_.Put("servers/i-0", BackendText(0, "ready"));
    store_.Put("servers/i-1", BackendText(1, "ready"));
    store_.Snapshot();
    entry_.List(store_, now_);
  }
  void Advance(Duration time) {
    now_ += time;
    entry_.WatchStore(store_, now_);
    entry_.OnTimer(now_);
  }
  void Restore() {
    Advance(milliseconds(100));
    store_.Restore();
    Advance(milliseconds(100));
  }
  std::size_t Backends() const { return entry_.View()->backends.size(); }

  VirtualStore store_;
  VirtualEntry entry_;
  TimePoint now_ = TimePoint() + seconds(100);
};

TEST_F(RestoredStore, DeploymentsNeverGoBackAndNewOnesApply) {
  store_.Put("op/config", DeploymentText(5));
  Restore();
  EXPECT_EQ(entry_.View()->version(), DeploymentVersion(5));
  while (store_.RestoreOneWrite()) Advance(milliseconds(100));
  EXPECT_EQ(entry_.View()->version(), DeploymentVersion(5));
  store_.Put("op/config", DeploymentText(6));
  Advance(milliseconds(100));
  EXPECT_EQ(entry_.View()->version(), DeploymentVersion(6));
}

TEST_F(RestoredStore, AnEvacuatedZoneStaysOutUntilTheWriteIsRepeated) {
  store_.Put("op/evacuate/odd", "");
  Restore();
  EXPECT_EQ(Backends(), 1U);
  Advance(seconds(1));
  EXPECT_EQ(Backends(), 1U);
  while (store_.RestoreOneWrite()) Advance(milliseconds(100));
  Advance(seconds(20));
  EXPECT_EQ(Backends(), 1U);
  store_.Remove("op/evacuate/odd");
  Advance(milliseconds(100));
  EXPECT_EQ(Backends(), 2U);
}

TEST_F(RestoredStore, AnEvacuationThatIsNotRepeatedExpires) {
  store_.Put("op/evacuate/odd", "");
  Restore();
  Advance(seconds(29));
  EXPECT_EQ(Backends(), 1U);
  Advance(seconds(2));
  EXPECT_EQ(Backends(), 2U);
}

TEST_F(RestoredStore, ABackendServerThatLeftIsNotUsedAgain) {
  store_.Put("servers/i-0", BackendText(0, "draining"));
  store_.Remove("servers/i-1");
  Advance(milliseconds(100));
  EXPECT_EQ(Backends(), 0U);
  store_.Restore();
  Advance(milliseconds(100));
  EXPECT_EQ(Backends(), 0U) << "both are ready in the backup";
  while (store_.RestoreOneWrite()) Advance(milliseconds(100));
  EXPECT_EQ(Backends(), 0U);
  // A heartbeat of its own in the new era ends the departure.
  store_.Put("servers/i-0", BackendText(0, "ready"));
  Advance(milliseconds(100));
  EXPECT_EQ(Backends(), 1U);
}

TEST_F(RestoredStore, ABackendServerMissingFromTheBackupIsRetained) {
  store_.Put("servers/i-2", BackendText(2, "ready"));
  Restore();
  EXPECT_EQ(Backends(), 3U);
  while (store_.RestoreOneWrite()) Advance(milliseconds(100));
  Advance(seconds(5));
  EXPECT_EQ(Backends(), 3U);
}

// Three entries, two of which follow the store either through the first or by
// themselves, with restores at random times.
class RandomRestores {
 public:
  explicit RandomRestores(std::uint64_t seed) : random_(seed) {
    store_.Put("op/config", DeploymentText(version_));
    for (int index = 0; index < kBackends; ++index) {
      store_.Put(KeyOf(index), BackendText(index, "ready"));
    }
    store_.Snapshot();
    for (VirtualEntry& entry : entries_) entry.List(store_, now_);
  }

  void Run() {
    for (int step = 0; step < 120; ++step) {
      Act();
      Advance();
      Check();
    }
    while (store_.RestoreOneWrite()) Advance();
    for (int step = 0; step < 350; ++step) Advance();
    CheckEnd();
  }

 private:
  static constexpr int kBackends = 4;

  static std::string KeyOf(int index) {
    return "servers/i-" + std::to_string(index);
  }
  bool IsOut(const std::string& zone) const {
    return store_.intended().contains(OutKey(zone));
  }
  static std::string OutKey(const std::string& zone) {
    return "op/evacuate/" + zone;
  }

  void Act() {
    const auto kind = random_.Below(12);
    const int index = static_cast<int>(random_.Below(kBackends));
    const std::string zone = random_.Below(2) == 0 ? "even" : "odd";
    if (kind == 0) {
      store_.Put("op/config", DeploymentText(++version_));
    } else if (kind == 1 && !left_.contains(index)) {
      store_.Put(KeyOf(index), BackendText(index, "draining"));
      left_.insert(index);
    } else if (kind == 2 && left_.contains(index)) {
      store_.Remove(KeyOf(index));
    } else if (kind == 3) {
      if (!IsOut(zone)) {
        store_.Put(OutKey(zone), std::to_string(++evacuation_count_));
      }
    } else if (kind == 4) {
      store_.Remove(OutKey(zone));
      for (auto& known : known_out_) known.erase(zone);
    } else if (kind == 5) {
      store_.Snapshot();
    } else if (kind == 6 && random_.Below(3) == 0) {
      store_.Restore();
    } else if (kind < 9) {
      store_.RestoreOneWrite();
    }
  }

  void Advance() {
    now_ += milliseconds(100);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (random_.Below(4) == 0) continue;  // its answer is delayed
      const bool is_relayed = i > 0 && random_.Below(2) == 0 &&
                              entries_[i].WatchThrough(entries_[0], now_);
      if (!is_relayed) entries_[i].WatchStore(store_, now_);
      entries_[i].OnTimer(now_);
    }
  }

  // What an entry has once learned holds until the writer of the key changes
  // it.
  void Check() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      const FleetViewPtr view = entries_[i].View();
      EXPECT_GE(view->version(), versions_[i]);
      versions_[i] = view->version();
      for (const BackendRecord& backend : view->backends) {
        EXPECT_FALSE(known_left_[i].contains(backend.id));
        EXPECT_FALSE(known_out_[i].contains(backend.zone.value()));
      }
      for (const std::string zone : {"even", "odd"}) {
        const StoreItem* evacuation = entries_[i].replica().Find(OutKey(zone));
        const bool knows =
            evacuation != nullptr && IsOut(zone) &&
            evacuation->value == store_.intended().at(OutKey(zone));
        if (knows) known_out_[i].insert(zone);
      }
      for (const int index : left_) {
        const StoreItem* entry = entries_[i].replica().Find(KeyOf(index));
        const bool knows = entry == nullptr ? entries_[i].IsSettled(now_)
                                            : entry->value.find("draining") !=
                                                  std::string::npos;
        if (!knows) continue;
        known_left_[i].insert(InstanceId("i-" + std::to_string(index)));
      }
    }
  }

  void CheckEnd() {
    for (const VirtualEntry& entry : entries_) {
      const FleetViewPtr view = entry.View();
      EXPECT_EQ(view->version(), DeploymentVersion(version_));
      std::set<std::string> used;
      for (const BackendRecord& backend : view->backends) {
        used.insert("servers/" + backend.id.value());
      }
      std::set<std::string> usable;
      for (int index = 0; index < kBackends; ++index) {
        const bool is_ready = !left_.contains(index);
        if (is_ready && !IsOut(index % 2 == 0 ? "even" : "odd")) {
          usable.insert(KeyOf(index));
        }
      }
      EXPECT_EQ(used, usable);
    }
  }

  Random random_;
  VirtualStore store_;
  std::array<VirtualEntry, 3> entries_;
  TimePoint now_ = TimePoint() + seconds(100);
  int version_ = 3;
  int evacuation_count_ = 0;  // makes the values of evacuations distinct
  std::set<int> left_;
  std::array<DeploymentVersion, 3> versions_;
  std::array<std::set<std::string>, 3> known_out_;
  std::array<std::set<InstanceId>, 3> known_left_;
};

TEST(StoreEras, AThousandRandomSchedulesOfRestoresLoseNothing) {
  for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
    RandomRestores(seed).Run();
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace mangohold
