#include "store/fleet_builder.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {

FleetBuilder::FleetBuilder(StoreSchema schema, Options options)
    : schema_(std::move(schema)),
      options_(std::move(options)),
      departures_(options_.departure_memory) {}

bool FleetBuilder::OnChanged(const std::vector<std::string>& keys,
                             const StoreReplica& replica,
                             const StoreContact& contact, TimePoint now) {
  at_ = replica.at();
  bool has_changed = false;
  for (const std::string& key : keys) {
    const StoreItem* item = replica.Find(key);
    if (key == schema_.deployment_key) {
      if (item == nullptr) continue;  // what is in force stays
      has_changed = TakeDeployment(*item) || has_changed;
    } else if (key.starts_with(schema_.backend_prefix)) {
      has_changed = TakeBackend(key, replica, contact, now) || has_changed;
    } else if (key.starts_with(schema_.zone_out_prefix)) {
      const ZoneName zone(key.substr(schema_.zone_out_prefix.size()));
      has_changed = TakeZone(zone, item, replica, now) || has_changed;
    } else if (key.starts_with(schema_.member_prefix)) {
      TakeMember(key, item);
      has_changed = true;
    }
  }
  return has_changed;
}

bool FleetBuilder::TakeZone(const ZoneName& zone, const StoreItem* item,
                            const StoreReplica& replica, TimePoint now) {
  if (item != nullptr) {
    Log(LogLevel::kInfo, "zone_out", {{"zone", zone.value()}});
    zones_out_[zone] = {.revision = item->revision};
    return true;
  }
  const auto known = zones_out_.find(zone);
  if (known == zones_out_.end()) return false;
  if (known->second.revision.era() < replica.at().era()) {
    Log(LogLevel::kWarning, "zone_out_lost",
        {{"zone", zone.value()}, {"era", replica.at().era().value()}});
    known->second.lost_at = now;
    return false;
  }
  Log(LogLevel::kInfo, "zone_in", {{"zone", zone.value()}});
  zones_out_.erase(known);
  return true;
}

void FleetBuilder::TakeMember(const std::string& key, const StoreItem* item) {
  const auto member =
      item == nullptr ? std::nullopt : DecodeMember(item->value);
  if (!member) {
    const auto known = members_.find(key);
    if (known == members_.end()) return;
    const auto rank = ranks_.find(known->second.backend);
    if (rank != ranks_.end()) rank->second.pace = 1;
    members_.erase(known);
    return;
  }
  members_[key] = *member;
  if (member->group.empty()) return;
  Rank& rank = ranks_[member->backend];
  if (rank.pace != member->pace) {
    Log(LogLevel::kInfo, "backend_pace",
        {{"address", member->backend.value()},
         {"percent", static_cast<int>(member->pace * 100)}});
  }
  rank = {.group = member->group, .pace = member->pace};
}

// A version that is in force is never followed by an older one.
bool FleetBuilder::TakeDeployment(const StoreItem& item) {
  auto deployment = schema_.decode_deployment(item.value);
  if (!deployment.ok()) {
    Log(LogLevel::kError, "deployment_rejected",
        {{"revision", item.revision.number()},
         {"error", MessageOf(deployment.status())}});
    return false;
  }
  if (routes_ != nullptr &&
      deployment->version == routes_->deployment().version) {
    return false;
  }
  if (routes_ != nullptr &&
      deployment->version < routes_->deployment().version) {
    Log(LogLevel::kWarning, "older_deployment_ignored",
        {{"version", deployment->version.value()},
         {"in_force", routes_->deployment().version.value()}});
    return false;
  }
  routes_ = std::make_shared<const RouteTable>(*std::move(deployment));
  deployment_text_ = item.value;
  Log(LogLevel::kInfo, "deployment_in_force",
      {{"version", routes_->deployment().version.value()},
       {"revision", item.revision.number()},
       {"era", item.revision.era().value()},
       {"routes", routes_->deployment().routes.size()}});
  return true;
}

bool FleetBuilder::TakeBackend(const std::string& key,
                               const StoreReplica& replica,
                               const StoreContact& contact, TimePoint now) {
  const InstanceId id(key.substr(schema_.backend_prefix.size()));
  const StoreItem* item = replica.Find(key);
  if (item == nullptr) {
    if (!contact.IsSettled(now)) {
      const bool is_news = unlisted_.try_emplace(id, now).second;
      if (is_news) {
        Log(LogLevel::kInfo, "backend_kept", {{"backend", id.value()}});
      }
      return false;
    }
    const bool was_known = backends_.contains(id);
    DropBackend(id, replica.at(), Duration(0), now);
    return was_known;
  }
  unlisted_.erase(id);
  auto record = schema_.decode_backend(id, item->value);
  if (!record.ok()) {
    Log(LogLevel::kWarning, "backend_entry_ignored",
        {{"backend", id.value()}, {"error", MessageOf(record.status())}});
    return backends_.erase(id) > 0;
  }
  if (IsLate(*record)) {
    Log(LogLevel::kInfo, "backend_entry_late",
        {{"backend", id.value()}, {"revision", item->revision.number()}});
    return false;
  }
  if (record->state == BackendState::kDraining) {
    departures_.OnLeft(id, record->word, item->revision, now);
  } else if (departures_.IsOutdated(id, record->word, item->revision,
                                    replica.listed_from())) {
    Log(LogLevel::kInfo, "backend_entry_outdated",
        {{"backend", id.value()}, {"era", item->revision.era().value()}});
    record->state = BackendState::kDraining;
  }
  Log(LogLevel::kInfo, "backend_listed",
      {{"backend", id.value()},
       {"service", record->service.value()},
       {"address", record->address.value()},
       {"draining", static_cast<int>(record->state == BackendState::kDraining)},
       {"revision", item->revision.number()}});
  const auto known = backends_.find(id);
  const bool was_ready =
      known != backends_.end() && known->second.state == BackendState::kReady;
  if (was_ready && record->state == BackendState::kDraining) {
    TellDeparture({.backend = id});
  }
  backends_[id] = *record;
  backends_[id].listed = item->created;
  return true;
}

// Late entries change nothing: a newer word of the same id is known.
bool FleetBuilder::IsLate(const BackendRecord& record) const {
  const auto known = backends_.find(record.id);
  return known != backends_.end() && record.word.IsBefore(known->second.word);
}

bool FleetBuilder::OnTime(Revision at, const StoreContact& contact,
                          TimePoint now) {
  at_ = at;
  departures_.Forget(now);
  const bool has_unlisted = DropUnlisted(contact, at, now);
  return DropLostZones(now) || has_unlisted;
}

bool FleetBuilder::DropUnlisted(const StoreContact& contact, Revision at,
                                TimePoint now) {
  if (unlisted_.empty() || !contact.IsSettled(now)) return false;
  for (const auto& [id, since] : unlisted_) {
    DropBackend(id, at, now - since, now);
  }
  unlisted_.clear();
  return true;
}

void FleetBuilder::DropBackend(const InstanceId& id, Revision at, Duration kept,
                               TimePoint now) {
  Log(LogLevel::kInfo, "backend_gone", {{"backend", id.value()}});
  const auto backend = backends_.find(id);
  if (backend == backends_.end()) return;
  departures_.OnLeft(id, backend->second.word, at, now);
  const bool was_ready = backend->second.state == BackendState::kReady;
  backends_.erase(backend);
  if (was_ready) {
    TellDeparture({.backend = id, .is_removed = true, .kept = kept});
  }
}

void FleetBuilder::TellDeparture(const DepartureNews& news) const {
  if (options_.on_departure) options_.on_departure(news);
}

bool FleetBuilder::DropLostZones(TimePoint now) {
  const auto is_over = [&](const ZoneOut& out) {
    return out.lost_at && now - *out.lost_at >= options_.lost_zone_memory;
  };
  return std::erase_if(zones_out_, [&](const auto& item) {
           if (!is_over(item.second)) return false;
           Log(LogLevel::kWarning, "zone_in",
               {{"zone", item.first.value()}, {"lost", 1}});
           return true;
         }) > 0;
}

// A backend server that starts again takes the place of the one that had its
// address, whose entry lapses only later.
FleetViewPtr FleetBuilder::View() const {
  auto view = std::make_shared<FleetView>();
  view->routes = routes_;
  view->revision = at_;
  std::map<Endpoint, Revision> newest;
  for (const auto& [id, record] : backends_) {
    newest[record.address] = std::max(newest[record.address], record.listed);
  }
  for (const auto& [id, record] : backends_) {
    if (record.state == BackendState::kReady &&
        record.listed == newest[record.address] &&
        !zones_out_.contains(record.zone)) {
      view->backends.push_back(record);
      const auto rank = ranks_.find(record.address);
      if (rank == ranks_.end()) continue;
      view->backends.back().group = rank->second.group;
      view->backends.back().pace = rank->second.pace;
    }
  }
  for (const auto& [key, member] : members_) {
    if (member.role == MemberRole::kEntry) view->entries.push_back(member);
  }
  return view;
}

std::vector<Member> FleetBuilder::Members() const {
  std::vector<Member> members;
  members.reserve(members_.size());
  for (const auto& [key, member] : members_) members.push_back(member);
  return members;
}

}  // namespace mangohold
