#include "store/fleet_builder.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {

FleetBuilder::FleetBuilder(StoreSchema schema, Options options)
    : schema_(std::move(schema)),
      options_(std::move(options)),
      departures_(options_.departure_retention) {}

bool FleetBuilder::OnChanged(const std::vector<std::string>& keys,
                             const StoreReplica& replica,
                             const StoreAvailability& availability,
                             TimePoint now) {
  revision_ = replica.revision();
  bool has_changed = false;
  for (const std::string& key : keys) {
    const StoreItem* item = replica.Find(key);
    if (key == schema_.deployment_key) {
      if (item == nullptr) continue;  // the deployment in force stays
      has_changed = ApplyDeployment(*item) || has_changed;
    } else if (key.starts_with(schema_.backend_prefix)) {
      has_changed =
          ApplyBackend(key, replica, availability, now) || has_changed;
    } else if (key.starts_with(schema_.evacuated_zone_prefix)) {
      const ZoneName zone(key.substr(schema_.evacuated_zone_prefix.size()));
      has_changed = ApplyZone(zone, item, replica, now) || has_changed;
    } else if (key.starts_with(schema_.member_prefix)) {
      ApplyMember(key, item);
      has_changed = true;
    }
  }
  return has_changed;
}

bool FleetBuilder::ApplyZone(const ZoneName& zone, const StoreItem* item,
                             const StoreReplica& replica, TimePoint now) {
  if (item != nullptr) {
    Log(LogLevel::kInfo, "zone_out", {{"zone", zone.value()}});
    evacuated_zones_[zone] = {.revision = item->revision};
    return true;
  }
  const auto known = evacuated_zones_.find(zone);
  if (known == evacuated_zones_.end()) return false;
  if (known->second.revision.era() < replica.revision().era()) {
    Log(LogLevel::kWarning, "zone_out_lost",
        {{"zone", zone.value()}, {"era", replica.revision().era().value()}});
    known->second.lost_at = now;
    return false;
  }
  Log(LogLevel::kInfo, "zone_in", {{"zone", zone.value()}});
  evacuated_zones_.erase(known);
  return true;
}

void FleetBuilder::ApplyMember(const std::string& key, const StoreItem* item) {
  const auto member =
      item == nullptr ? std::nullopt : DecodeMember(item->value);
  if (!member) {
    const auto known = members_.find(key);
    if (known == members_.end()) return;
    const auto rank = ranks_.find(known->second.backend);
    if (rank != ranks_.end()) rank->second.slowdown = 1;
    members_.erase(known);
    return;
  }
  members_[key] = *member;
  if (member->group.empty()) return;
  Rank& rank = ranks_[member->backend];
  if (rank.slowdown != member->slowdown) {
    Log(LogLevel::kInfo, "backend_pace",
        {{"address", member->backend.value()},
         {"percent", static_cast<int>(member->slowdown * 100)}});
  }
  rank = {.group = member->group, .slowdown = member->slowdown};
}

// Never replaces the deployment in force by an older version.
bool FleetBuilder::ApplyDeployment(const StoreItem& item) {
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

bool FleetBuilder::ApplyBackend(const std::string& key,
                                const StoreReplica& replica,
                                const StoreAvailability& availability,
                                TimePoint now) {
  const InstanceId id(key.substr(schema_.backend_prefix.size()));
  const StoreItem* item = replica.Find(key);
  if (item == nullptr) {
    ignored_.erase(id);
    if (!availability.IsSettled(now)) {
      const bool is_new = unlisted_since_.try_emplace(id, now).second;
      if (is_new) {
        Log(LogLevel::kInfo, "backend_kept", {{"backend", id.value()}});
      }
      return false;
    }
    const bool was_known = backends_.contains(id);
    DropBackend(id, replica.revision(), Duration(0), now);
    return was_known;
  }
  unlisted_since_.erase(id);
  auto record = schema_.decode_backend(id, item->value);
  if (record.ok()) {
    const absl::Status check = CheckBackendRecord(*record);
    if (!check.ok()) record = check;
  }
  if (!record.ok()) {
    ReportIgnored(id, MessageOf(record.status()));
    return backends_.erase(id) > 0;
  }
  ignored_.erase(id);
  if (IsStale(*record)) {
    Log(LogLevel::kInfo, "backend_entry_late",
        {{"backend", id.value()}, {"revision", item->revision.number()}});
    return false;
  }
  if (record->state == BackendState::kDraining) {
    departures_.OnDeparted(id, record->stamp, item->revision, now);
  } else if (departures_.PredatesDeparture(id, record->stamp, item->revision,
                                           replica.listing_revision())) {
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
    ReportDeparture({.backend = id});
  }
  backends_[id] = *record;
  backends_[id].created = item->created;
  return true;
}

// Logs only the first of an entry's values that can't be used.
void FleetBuilder::ReportIgnored(const InstanceId& id, std::string_view error) {
  constexpr std::size_t kMaxErrorLength = 200;
  if (options_.on_ignored) options_.on_ignored();
  if (!ignored_.insert(id).second) return;
  Log(LogLevel::kWarning, "backend_entry_ignored",
      {{"backend", id.value()}, {"error", error.substr(0, kMaxErrorLength)}});
}

bool FleetBuilder::IsNamed(const ServiceName& service) const {
  return routes_ == nullptr || routes_->FindService(service) != nullptr;
}

// A record is stale if a newer heartbeat of the same id is known. Stale records
// are ignored.
bool FleetBuilder::IsStale(const BackendRecord& record) const {
  const auto known = backends_.find(record.id);
  return known != backends_.end() && record.stamp.IsBefore(known->second.stamp);
}

bool FleetBuilder::OnTimer(Revision revision,
                           const StoreAvailability& availability,
                           TimePoint now) {
  revision_ = revision;
  departures_.RemoveExpired(now);
  const bool has_unlisted = DropUnlistedBackends(availability, revision, now);
  return DropLostEvacuations(now) || has_unlisted;
}

bool FleetBuilder::DropUnlistedBackends(const StoreAvailability& availability,
                                        Revision revision, TimePoint now) {
  if (unlisted_since_.empty() || !availability.IsSettled(now)) return false;
  for (const auto& [id, since] : unlisted_since_) {
    DropBackend(id, revision, now - since, now);
  }
  unlisted_since_.clear();
  return true;
}

void FleetBuilder::DropBackend(const InstanceId& id, Revision revision,
                               Duration retained_for, TimePoint now) {
  Log(LogLevel::kInfo, "backend_gone", {{"backend", id.value()}});
  const auto backend = backends_.find(id);
  if (backend == backends_.end()) return;
  departures_.OnDeparted(id, backend->second.stamp, revision, now);
  const bool was_ready = backend->second.state == BackendState::kReady;
  backends_.erase(backend);
  if (was_ready) {
    ReportDeparture(
        {.backend = id, .is_removed = true, .retained_for = retained_for});
  }
}

void FleetBuilder::ReportDeparture(const BackendDeparture& departure) const {
  if (options_.on_departure) options_.on_departure(departure);
}

bool FleetBuilder::DropLostEvacuations(TimePoint now) {
  const auto is_expired = [&](const ZoneEvacuation& evacuation) {
    return evacuation.lost_at &&
           now - *evacuation.lost_at >= options_.lost_evacuation_retention;
  };
  return std::erase_if(evacuated_zones_, [&](const auto& item) {
           if (!is_expired(item.second)) return false;
           Log(LogLevel::kWarning, "zone_in",
               {{"zone", item.first.value()}, {"lost", 1}});
           return true;
         }) > 0;
}

// If several records have the same address, only the most recently created one
// is used: the backend server has restarted, and the key of its previous start
// expires only later.
FleetViewPtr FleetBuilder::View() const {
  auto view = std::make_shared<FleetView>();
  view->routes = routes_;
  view->revision = revision_;
  std::map<Endpoint, Revision> newest;
  for (const auto& [id, record] : backends_) {
    if (!IsNamed(record.service)) continue;
    newest[record.address] = std::max(newest[record.address], record.created);
  }
  for (const auto& [id, record] : backends_) {
    if (record.state == BackendState::kReady && IsNamed(record.service) &&
        record.created == newest[record.address] &&
        !evacuated_zones_.contains(record.zone)) {
      view->backends.push_back(record);
      const auto rank = ranks_.find(record.address);
      if (rank == ranks_.end()) continue;
      view->backends.back().group = rank->second.group;
      view->backends.back().slowdown = rank->second.slowdown;
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
