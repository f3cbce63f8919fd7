#include "hibiscuspick/settings/configuration.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "hibiscuspick/settings/cross_check.h"
#include "hibiscuspick/settings/envelope.h"
#include "hibiscuspick/settings/object_json.h"
#include "hibiscuspick/settings/object_name.h"

namespace hibiscuspick::settings {
namespace {

// Each Add function below puts one object's value into the view. If the value
// is invalid, it leaves the existing one and returns the faults.

std::vector<Fault> AddService(const ObjectName& name, const Json& value,
                              Configuration* out) {
  const ServiceId id(name.rest);
  const auto service = ReadService(id, value);
  if (!IsValid(service)) return FaultsOf(service);
  out->services[id] = ValidValue(service);
  return {};
}

std::vector<Fault> AddRoute(const ObjectName& name, const Json& value,
                            Configuration* out) {
  const RouteId id(name.rest);
  const auto route = ReadRoute(id, value);
  if (!IsValid(route)) return FaultsOf(route);
  out->routes[id] = ValidValue(route);
  return {};
}

// Adds the current manifest and the previous ones. A previous one that can't be
// parsed is skipped.
std::vector<Fault> AddSnapshot(const ObjectName& name, Revision version,
                               const Envelope& envelope, Configuration* out) {
  const SnapshotName id(name.rest);
  const auto current = ReadSnapshot(id, version, envelope.value);
  if (!IsValid(current)) return FaultsOf(current);
  std::vector<Fault> faults;
  Manifests manifests = {std::make_shared<const Snapshot>(ValidValue(current))};
  for (const auto& it : envelope.previous) {
    const auto earlier = ReadSnapshot(id, it.version, it.value);
    if (IsValid(earlier)) {
      manifests.push_back(
          std::make_shared<const Snapshot>(ValidValue(earlier)));
    }
    for (auto& fault : FaultsOf(earlier)) faults.push_back(std::move(fault));
  }
  out->snapshots[id] = std::move(manifests);
  return faults;
}

std::vector<Fault> AddLevel(const ObjectName& name, const Json& value,
                            Configuration* out) {
  const auto path = ParseTreePath(name.rest);
  const auto values = ReadLevelValues(path->level, value);
  if (!IsValid(values)) return FaultsOf(values);
  SetLevel(&out->settings, *path, ValidValue(values));
  return {};
}

std::vector<Fault> AddValue(const ObjectName& name, Revision version,
                            const Envelope& envelope, Configuration* out) {
  switch (name.kind) {
    case ObjectKind::kService:
      return AddService(name, envelope.value, out);
    case ObjectKind::kRoute:
      return AddRoute(name, envelope.value, out);
    case ObjectKind::kSnapshot:
      return AddSnapshot(name, version, envelope, out);
    case ObjectKind::kSettings:
      return AddLevel(name, envelope.value, out);
    case ObjectKind::kDrain:
      // An order to drain applies even if its value can't be parsed.
      out->drains.insert(BackendServerId(name.rest));
      return {};
  }
  return {};
}

void RemoveValue(const ObjectName& name, Configuration* out) {
  switch (name.kind) {
    case ObjectKind::kService:
      out->services.erase(ServiceId(name.rest));
      return;
    case ObjectKind::kRoute:
      out->routes.erase(RouteId(name.rest));
      return;
    case ObjectKind::kSnapshot:
      out->snapshots.erase(SnapshotName(name.rest));
      return;
    case ObjectKind::kSettings:
      EraseLevel(&out->settings, *ParseTreePath(name.rest));
      return;
    case ObjectKind::kDrain:
      out->drains.erase(BackendServerId(name.rest));
      return;
  }
}

// Updates the view from one changed object.
std::vector<Fault> UpdateFromObject(const ConfigObject& object,
                                    Configuration* out) {
  const auto name = ParseObjectName(object.name);
  if (!name) return {{Code::kInvalidValue, "", "unknown kind of object"}};
  const auto parsed = ReadEnvelopeText(object.text);
  // An unparsable envelope counts as an unparsable value.
  const Envelope envelope = IsOk(parsed) ? ValueOf(parsed) : Envelope();
  if (!envelope.deleted) {
    return AddValue(*name, object.version, envelope, out);
  }
  RemoveValue(*name, out);
  return {};
}

// Updates the view if the object differs from the one it was built from.
bool UpdateIfChanged(const ConfigObject& object, Configuration* out) {
  auto& current = out->objects[object.name];
  if (current.version == object.version) return false;
  current = object;
  auto faults = UpdateFromObject(object, out);
  if (faults.empty()) {
    out->unreadable.erase(object.name);
  } else {
    out->unreadable[object.name] = std::move(faults);
  }
  return true;
}

std::vector<Fault> CollectWarnings(const Configuration& configuration) {
  std::vector<Fault> warnings;
  for (const auto& [name, faults] : configuration.unreadable) {
    for (const auto& it : faults) {
      warnings.push_back({it.code, name + " " + it.place, it.message});
    }
  }
  for (auto& it : FindMismatches(configuration)) {
    warnings.push_back(std::move(it));
  }
  // Hash maps have no defined order; sorting makes the list equal on all
  // instances.
  std::sort(warnings.begin(), warnings.end(), [](auto& a, auto& b) {
    return std::tie(a.place, a.message) < std::tie(b.place, b.message);
  });
  return warnings;
}

}  // namespace

std::shared_ptr<const Configuration> BuildConfiguration(
    const ConfigStore& store, const Configuration* previous) {
  auto out = previous ? std::make_shared<Configuration>(*previous)
                      : std::make_shared<Configuration>();
  out->complete_to = store.complete_to;
  out->newest = store.newest;
  out->loaded = store.loaded;
  bool changed = false;
  for (const auto& [name, object] : store.objects) {
    if (UpdateIfChanged(object, out.get())) changed = true;
  }
  if (changed) out->warnings = CollectWarnings(*out);
  return out;
}

std::shared_ptr<const Snapshot> NewestManifest(const Configuration& it,
                                               const SnapshotName& name) {
  const auto found = it.snapshots.find(name);
  return found == it.snapshots.end() ? nullptr : found->second.front();
}

std::shared_ptr<const Snapshot> FindManifest(const Configuration& it,
                                             const SnapshotName& name,
                                             IndexVersion version) {
  const auto found = it.snapshots.find(name);
  if (found == it.snapshots.end()) return nullptr;
  for (const auto& manifest : found->second) {
    if (manifest->index_version == version) return manifest;
  }
  return nullptr;
}

}  // namespace hibiscuspick::settings
