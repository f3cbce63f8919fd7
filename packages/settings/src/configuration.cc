#include "hibiscuspick/settings/configuration.h"

#include <optional>
#include <utility>

#include "hibiscuspick/settings/cross_check.h"
#include "hibiscuspick/settings/envelope.h"
#include "hibiscuspick/settings/object_json.h"
#include "hibiscuspick/settings/object_name.h"

namespace hibiscuspick::settings {
namespace {

// Builds one Configuration; `last` is what was in force before.
struct Builder {
  const Configuration* last;
  Configuration* out;

  void Warn(const std::string& name, const std::vector<Fault>& faults) {
    for (const auto& it : faults) {
      out->warnings.push_back({it.code, name + " " + it.place, it.message});
    }
  }
};

// Takes the object's value from the last view, where it is still readable.
template <class Map, class Id>
void KeepLast(const Map* last, const Id& id, Map* out) {
  if (!last) return;
  const auto it = last->find(id);
  if (it != last->end()) (*out)[id] = it->second;
}

// The member of the last view, nullptr if there is none.
template <class T>
const T* LastOf(const Builder& builder, T Configuration::*member) {
  return builder.last ? &(builder.last->*member) : nullptr;
}

void AddService(Builder* builder, const ObjectName& name,
                const Envelope& envelope) {
  const ServiceId id(name.rest);
  const auto service = ReadService(id, envelope.value);
  if (IsGood(service)) {
    builder->out->services[id] = GoodOf(service);
    return;
  }
  builder->Warn(ToText(name), FaultsOf(service));
  KeepLast(LastOf(*builder, &Configuration::services), id,
           &builder->out->services);
}

void AddRoute(Builder* builder, const ObjectName& name,
              const Envelope& envelope) {
  const RouteId id(name.rest);
  const auto route = ReadRoute(id, envelope.value);
  if (IsGood(route)) {
    builder->out->routes[id] = GoodOf(route);
    return;
  }
  builder->Warn(ToText(name), FaultsOf(route));
  KeepLast(LastOf(*builder, &Configuration::routes), id, &builder->out->routes);
}

void AddSnapshot(Builder* builder, const ObjectName& name, Revision version,
                 const Envelope& envelope) {
  const SnapshotName id(name.rest);
  std::vector<EarlierValue> values = {{version, envelope.value}};
  values.insert(values.end(), envelope.previous.begin(),
                envelope.previous.end());
  Manifests manifests;
  for (const auto& it : values) {
    const auto snapshot = ReadSnapshot(id, it.version, it.value);
    if (IsGood(snapshot)) {
      manifests.push_back(std::make_shared<const Snapshot>(GoodOf(snapshot)));
      continue;
    }
    builder->Warn(ToText(name), FaultsOf(snapshot));
    if (manifests.empty()) break;
  }
  if (!manifests.empty()) {
    builder->out->snapshots[id] = std::move(manifests);
    return;
  }
  KeepLast(LastOf(*builder, &Configuration::snapshots), id,
           &builder->out->snapshots);
}

void AddLevel(Builder* builder, const ObjectName& name,
              const Envelope& envelope) {
  const auto path = ParseTreePath(name.rest);
  const auto values = ReadLevelValues(path->level, envelope.value);
  if (IsGood(values)) {
    SetLevel(&builder->out->settings, *path, GoodOf(values));
    return;
  }
  builder->Warn(ToText(name), FaultsOf(values));
  const auto* last = LastOf(*builder, &Configuration::settings);
  if (!last) return;
  if (const auto* kept = FindLevel(*last, *path)) {
    SetLevel(&builder->out->settings, *path, *kept);
  }
}

void AddObject(Builder* builder, const ConfigObject& object) {
  const auto name = ParseObjectName(object.name);
  if (!name) {
    builder->Warn(object.name, {{Code::kInvalidValue, "", "unknown kind"}});
    return;
  }
  const auto parsed = ReadEnvelopeText(object.text);
  // An envelope that can't be read reads as a value that can't be read: the
  // last one is kept.
  const Envelope envelope = IsOk(parsed) ? ValueOf(parsed) : Envelope();
  if (envelope.deleted) return;
  switch (name->kind) {
    case ObjectKind::kService:
      return AddService(builder, *name, envelope);
    case ObjectKind::kRoute:
      return AddRoute(builder, *name, envelope);
    case ObjectKind::kSnapshot:
      return AddSnapshot(builder, *name, object.version, envelope);
    case ObjectKind::kSettings:
      return AddLevel(builder, *name, envelope);
    case ObjectKind::kDrain:
      // Even an unreadable order to drain is an order to drain.
      builder->out->drains.insert(BackendServerId(name->rest));
      return;
  }
}

}  // namespace

std::shared_ptr<const Configuration> BuildConfiguration(
    const ConfigStore& store, const Configuration* last) {
  auto out = std::make_shared<Configuration>();
  out->complete_to = store.complete_to;
  out->known = store.known;
  out->objects = store.objects;
  Builder builder{last, out.get()};
  for (const auto& [name, object] : store.objects) {
    AddObject(&builder, object);
  }
  for (auto& it : FindMismatches(*out)) out->warnings.push_back(std::move(it));
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

Millis AgeOf(const Freshness& freshness, Millis wall_now) {
  return Max(Millis(0), wall_now - freshness.confirmed_wall);
}

}  // namespace hibiscuspick::settings
