// The view of the configuration that traffic threads read: immutable, built
// anew by the control thread after each change and published as a
// std::shared_ptr<const Configuration>. A query keeps the one it started with.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/settings/config_store.h"
#include "hibiscuspick/settings/faults.h"
#include "hibiscuspick/settings/objects.h"
#include "hibiscuspick/settings/settings_tree.h"

namespace hibiscuspick::settings {

// The manifests of one snapshot name, newest first, each of another index
// version: the present one and those that backend servers may still hold.
using Manifests = std::vector<std::shared_ptr<const Snapshot>>;

struct Configuration {
  // Every change up to here is in it.
  Revision complete_to;
  // ConfigStore::newest.
  Revision newest;
  // ConfigStore::known: without it, nothing can be said of what is stored.
  bool known = false;
  std::unordered_map<ServiceId, Service> services;
  std::unordered_map<RouteId, Route> routes;
  std::unordered_map<SnapshotName, Manifests> snapshots;
  SettingsTree settings;
  // Backend servers that operators have ordered to get no new work.
  std::set<BackendServerId> drains;
  // The objects it was built from, deleted ones included, for the operators'
  // API and status.
  std::map<std::string, ConfigObject> objects;
  // Objects whose value can't be read, with the reasons.
  std::map<std::string, std::vector<Fault>> unreadable;
  // What doesn't fit together or could not be read: `place` is the object's
  // name and JSON path. Traffic goes on; a shard that no known server holds
  // counts as missing.
  std::vector<Fault> warnings;
};

// Builds the view, reading only what changed since `last`, which must have
// been built from the same store. Most calls follow a raised watermark and
// find nothing changed; reading everything each time would take a daemon's
// whole share of processor time for control. An object that can't be read (a
// newer release may write what this one doesn't know) keeps the value it has
// in `last`, if there is one, and is named in the warnings.
std::shared_ptr<const Configuration> BuildConfiguration(
    const ConfigStore& store, const Configuration* last = nullptr);

// The newest manifest, or nullptr.
std::shared_ptr<const Snapshot> NewestManifest(const Configuration& it,
                                               const SnapshotName& name);

// The manifest with this index version, or nullptr.
std::shared_ptr<const Snapshot> FindManifest(const Configuration& it,
                                             const SnapshotName& name,
                                             IndexVersion version);

}  // namespace hibiscuspick::settings
