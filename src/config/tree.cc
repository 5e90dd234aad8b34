#include "config/tree.h"

#include <algorithm>

namespace mangohold {
namespace {

// Puts `document` under `name`, or removes `name` for an empty text.
template <typename Map, typename Document>
void Put(Map& map, Document document, Revision revision, bool is_deleted) {
  if (is_deleted) {
    map.erase(document.name);
    return;
  }
  const auto name = document.name;
  map.insert_or_assign(name,
                       Versioned<Document>{std::move(document), revision});
}

// Brings the typed view up to one version of a document.
void PutDocument(Configuration& out, const std::string& path_text,
                 const std::string& text, Revision revision) {
  Findings ignored;  // the text was checked when it was taken in
  const auto path = ParsePath(path_text);
  const bool is_deleted = text.empty();
  switch (path->subtree) {
    case Subtree::kServices:
      Put(out.services, ParseService(path_text, text, ignored), revision,
          is_deleted);
      break;
    case Subtree::kZones:
      Put(out.zones, ParseZone(path_text, text, ignored), revision, is_deleted);
      break;
    case Subtree::kWorkspaces:
      Put(out.workspaces, ParseWorkspace(path_text, text, ignored), revision,
          is_deleted);
      break;
    case Subtree::kFleet:
      out.fleet =
          is_deleted ? FleetDocument{} : ParseFleet(path_text, text, ignored);
      break;
    case Subtree::kCount:
      break;
  }
}

}  // namespace

bool Configuration::IsZoneIn(const ZoneName& zone) const {
  const auto it = zones.find(zone);
  return it == zones.end() || it->second.document.state == ZoneState::kIn;
}

Revision Configuration::ZoneRevision(const ZoneName& zone) const {
  const auto it = zones.find(zone);
  return it == zones.end() ? Revision() : it->second.revision;
}

bool ConfigTree::Apply(const TreeUpdate& update) {
  auto next = std::make_shared<Configuration>(*configuration_);
  bool changed = false;
  for (const DocumentVersion& version : update.documents) {
    const Known* known = ApplyOne(version);
    if (known == nullptr) continue;
    changed = true;
    PutDocument(*next, version.path, known->text_in_force, version.revision);
  }
  next->complete_through =
      std::max(complete_through(), update.complete_through);
  if (changed || next->complete_through != complete_through()) {
    configuration_ = std::move(next);
  }
  return changed;
}

// A version counts only if it is higher than the known one. A faulty text is
// passed on to peers like any other, but the text in force stays the older
// one. Returns null if nothing was taken in.
const ConfigTree::Known* ConfigTree::ApplyOne(const DocumentVersion& version) {
  if (!ParsePath(version.path).ok()) return nullptr;
  Known& known = documents_[version.path];
  if (version.revision <= known.latest.revision) return nullptr;
  known.latest = version;
  const bool is_valid =
      version.text.empty() || CheckDocument(version.path, version.text).empty();
  if (is_valid) {
    known.text_in_force = version.text;
  } else {
    ++rejected_;
  }
  return &known;
}

TreeUpdate ConfigTree::ChangesSince(Revision revision) const {
  TreeUpdate update{.documents = {}, .complete_through = complete_through()};
  for (const auto& [path, known] : documents_) {
    if (known.latest.revision > revision) {
      update.documents.push_back(known.latest);
    }
  }
  return update;
}

DocumentVersion ConfigTree::Find(const std::string& path) const {
  const auto it = documents_.find(path);
  return it == documents_.end() ? DocumentVersion{.path = path}
                                : it->second.latest;
}

}  // namespace mangohold
