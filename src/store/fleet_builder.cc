#include "store/fleet_builder.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/status.h"

namespace mangohold {

FleetBuilder::FleetBuilder(StoreSchema schema, Options options)
    : schema_(std::move(schema)), options_(options) {}

bool FleetBuilder::OnChanged(const std::vector<std::string>& keys,
                             const StoreReplica& replica,
                             const Contact& contact, TimePoint now) {
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
      if (item != nullptr) {
        zones_out_.insert(zone);
      } else {
        zones_out_.erase(zone);
      }
      Log(LogLevel::kInfo, item != nullptr ? "zone_out" : "zone_in",
          {{"zone", zone.value()}});
      has_changed = true;
    } else if (key.starts_with(schema_.member_prefix)) {
      const auto member =
          item == nullptr ? std::nullopt : DecodeMember(item->value);
      if (member) {
        members_[key] = *member;
        if (!member->group.empty()) groups_[member->backend] = member->group;
      } else {
        members_.erase(key);
      }
      has_changed = true;
    }
  }
  return has_changed;
}

// A version that is in force is never followed by an older one.
bool FleetBuilder::TakeDeployment(const StoreItem& item) {
  auto deployment = schema_.decode_deployment(item.value);
  if (!deployment.ok()) {
    Log(LogLevel::kError, "deployment_rejected",
        {{"revision", item.revision.value()},
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
  deployment_item_ = item;
  Log(LogLevel::kInfo, "deployment_in_force",
      {{"version", routes_->deployment().version.value()},
       {"revision", item.revision.value()},
       {"routes", routes_->deployment().routes.size()}});
  return true;
}

bool FleetBuilder::TakeBackend(const std::string& key,
                               const StoreReplica& replica,
                               const Contact& contact, TimePoint now) {
  const InstanceId id(key.substr(schema_.backend_prefix.size()));
  const StoreItem* item = replica.Find(key);
  if (item == nullptr) {
    if (IsUnsettled(contact, now)) {
      unlisted_.insert(id);
      return false;
    }
    Log(LogLevel::kInfo, "backend_gone", {{"backend", id.value()}});
    return backends_.erase(id) > 0;
  }
  unlisted_.erase(id);
  const auto record = schema_.decode_backend(id, item->value);
  if (!record.ok()) {
    Log(LogLevel::kWarning, "backend_entry_ignored",
        {{"backend", id.value()}, {"error", MessageOf(record.status())}});
    return backends_.erase(id) > 0;
  }
  Log(LogLevel::kInfo, "backend_listed",
      {{"backend", id.value()},
       {"service", record->service.value()},
       {"address", record->address.value()},
       {"draining", static_cast<int>(record->state == BackendState::kDraining)},
       {"revision", item->revision.value()}});
  backends_[id] = *record;
  backends_[id].listed = item->created;
  return true;
}

bool FleetBuilder::IsUnsettled(const Contact& contact, TimePoint now) const {
  return !contact.is_answering ||
         now - contact.answering_since < options_.unlisted_memory;
}

bool FleetBuilder::OnTime(const Contact& contact, TimePoint now) {
  if (unlisted_.empty() || IsUnsettled(contact, now)) return false;
  for (const InstanceId& id : unlisted_) {
    Log(LogLevel::kInfo, "backend_gone", {{"backend", id.value()}});
    backends_.erase(id);
  }
  unlisted_.clear();
  return true;
}

// A backend server that starts again takes the place of the one that had its
// address, whose entry lapses only later.
FleetViewPtr FleetBuilder::View() const {
  auto view = std::make_shared<FleetView>();
  view->routes = routes_;
  std::map<Endpoint, Revision> newest;
  for (const auto& [id, record] : backends_) {
    newest[record.address] = std::max(newest[record.address], record.listed);
  }
  for (const auto& [id, record] : backends_) {
    if (record.state == BackendState::kReady &&
        record.listed == newest[record.address] &&
        !zones_out_.contains(record.zone)) {
      view->backends.push_back(record);
      const auto group = groups_.find(record.address);
      if (group != groups_.end()) view->backends.back().group = group->second;
    }
  }
  for (const auto& [key, member] : members_) {
    if (member.role == MemberRole::kEntry) view->entries.push_back(member);
  }
  view->deployment_revision = deployment_item_.revision;
  return view;
}

std::vector<Member> FleetBuilder::Members() const {
  std::vector<Member> members;
  members.reserve(members_.size());
  for (const auto& [key, member] : members_) members.push_back(member);
  return members;
}

}  // namespace mangohold
