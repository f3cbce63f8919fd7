// The immutable view of the configuration that traffic threads read. The
// control thread rebuilds it after each change and publishes it as a
// std::shared_ptr<const Configuration>. A query keeps the view it started with.
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

// The manifests of one snapshot name, newest first, each with another index
// version: the current one and earlier ones that backend servers may still
// hold.
using Manifests = std::vector<std::shared_ptr<const Snapshot>>;

struct Configuration {
  // The view contains every change up to this revision.
  Revision complete_to;
  // ConfigStore::newest.
  Revision newest;
  // ConfigStore::loaded: while false, the absence of an object means nothing.
  bool loaded = false;
  std::unordered_map<ServiceId, Service> services;
  std::unordered_map<RouteId, Route> routes;
  std::unordered_map<SnapshotName, Manifests> snapshots;
  SettingsTree settings;
  // Backend servers that operators have drained: they get no new work.
  std::set<BackendServerId> drains;
  // The objects that the view was built from, including deleted ones, for the
  // operators' API and status.
  std::map<std::string, ConfigObject> objects;
  // Objects whose value can't be parsed, with the reasons.
  std::map<std::string, std::vector<Fault>> unreadable;
  // Objects that are inconsistent with others or can't be parsed; `place` is
  // the object's name and JSON path. Traffic continues; a shard without a known
  // server counts as missing.
  std::vector<Fault> warnings;
};

// Builds the view, parsing only what changed since `previous`, which must have
// been built from the same store. Most calls follow a raised watermark and find
// nothing changed; parsing every object each time would use up all the
// processor time that a daemon has for control work. An object that can't be
// parsed (a newer release may write a format unknown to this one) keeps its
// value from `previous`, if there is one, and is listed in the warnings.
std::shared_ptr<const Configuration> BuildConfiguration(
    const ConfigStore& store, const Configuration* previous = nullptr);

// The newest manifest, or nullptr if there is none.
std::shared_ptr<const Snapshot> NewestManifest(const Configuration& it,
                                               const SnapshotName& name);

// The manifest with this index version, or nullptr if there is none.
std::shared_ptr<const Snapshot> FindManifest(const Configuration& it,
                                             const SnapshotName& name,
                                             IndexVersion version);

}  // namespace hibiscuspick::settings
