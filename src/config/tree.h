// The settings tree as one process knows it: the highest revision that it has
// seen of each document. Revisions never go back, whatever a source says.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/documents.h"
#include "core/ids.h"

namespace mangohold {

// One version of one document. An empty text marks a deleted document.
struct DocumentVersion {
  std::string path;
  Revision revision;
  std::string text;
};

// Documents together with the store revision up to which nothing is missing.
struct TreeUpdate {
  std::vector<DocumentVersion> documents;
  // Every change up to this revision is among `documents` or older ones.
  Revision complete_through;
};

template <typename Document>
struct Versioned {
  Document document;
  Revision revision;
};

// An immutable view that traffic threads read.
struct Configuration {
  std::map<ServiceName, Versioned<ServiceDocument>> services;
  std::map<ZoneName, Versioned<ZoneDocument>> zones;
  std::map<WorkspaceName, Versioned<WorkspaceDocument>> workspaces;
  FleetDocument fleet;
  Revision complete_through;

  // A zone without a document counts as in.
  bool IsZoneIn(const ZoneName& zone) const;
  // The revision of the zone's document, or 0.
  Revision ZoneRevision(const ZoneName& zone) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

class ConfigTree {
 public:
  ConfigTree() : configuration_(std::make_shared<const Configuration>()) {}

  // Takes in what is newer than the known versions. Returns true if anything
  // changed. Documents that don't parse are kept out, and counted.
  bool Apply(const TreeUpdate& update);

  // All documents changed after `revision`, deleted ones included.
  TreeUpdate ChangesSince(Revision revision) const;
  // The known version of one document; a revision of 0 if there is none.
  DocumentVersion Find(const std::string& path) const;
  Revision complete_through() const { return configuration_->complete_through; }
  const ConfigurationPtr& configuration() const { return configuration_; }
  int rejected() const { return rejected_; }

 private:
  // The newest version that was seen, and the newest one that parsed.
  struct Known {
    DocumentVersion latest;
    std::string text_in_force;
  };

  const Known* ApplyOne(const DocumentVersion& version);

  std::map<std::string, Known> documents_;
  ConfigurationPtr configuration_;
  int rejected_ = 0;
};

}  // namespace mangohold
