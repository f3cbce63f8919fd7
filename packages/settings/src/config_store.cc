#include "hibiscuspick/settings/config_store.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::settings {
namespace {

Error MakeWentBackError(const std::string& place, std::string message) {
  return Error{Code::kPlatformWentBack, place, std::move(message)};
}

void ApplyObject(ConfigStore* store, const ConfigObject& object,
                 ApplyResult* applied) {
  auto& current = store->objects[object.name];
  if (object.version > current.version) {
    current = object;
    store->newest = std::max(store->newest, object.version);
    applied->changed.push_back(object.name);
    return;
  }
  // One version with two contents: the platform's counter was reset and it
  // assigned the number again. Neither text is preferable, but instances would
  // differ permanently and silently, so raise an alarm.
  if (object.version == current.version && object.text != current.text) {
    applied->alarms.push_back(MakeWentBackError(
        object.name, "version " + std::to_string(object.version.value) +
                         " has two different contents"));
  }
}

void ApplyObjects(ConfigStore* store, const ConfigDelta& delta,
                  ApplyResult* applied) {
  for (const auto& it : delta.objects) {
    if (it.version.value != 0) ApplyObject(store, it, applied);
  }
  applied->gap = store->complete_to < delta.after;
  if (!applied->gap && delta.complete_to > store->complete_to) {
    store->complete_to = delta.complete_to;
    store->newest = std::max(store->newest, delta.complete_to);
    store->loaded = true;
    applied->watermark_raised = true;
  }
  if (applied->watermark_raised || !applied->changed.empty()) {
    ++store->generation;
  }
}

// Finds objects of the store that a full listing lacks or has in an older
// version, although its revision has passed the store's version.
void ReportOlderObjects(const ConfigStore& store, const ConfigDelta& listing,
                        ApplyResult* applied) {
  std::map<std::string_view, Revision> listed;
  for (const auto& it : listing.objects) listed[it.name] = it.version;
  for (const auto& [name, current] : store.objects) {
    const auto it = listed.find(name);
    const Revision platform_version =
        it == listed.end() ? Revision() : it->second;
    if (platform_version < current.version &&
        current.version <= listing.complete_to) {
      applied->alarms.push_back(MakeWentBackError(
          name, "version " + std::to_string(current.version.value) +
                    " is in force, but the platform has version " +
                    std::to_string(platform_version.value)));
    }
  }
}

}  // namespace

ApplyResult ApplyDelta(ConfigStore* store, const ConfigDelta& delta) {
  ApplyResult applied;
  ApplyObjects(store, delta, &applied);
  return applied;
}

ApplyResult ApplyFromPlatform(ConfigStore* store, const ConfigDelta& delta,
                              Revision newest_at_request) {
  ApplyResult applied;
  if (delta.complete_to < newest_at_request) {
    applied.alarms.push_back(MakeWentBackError(
        "", "the platform is at revision " +
                std::to_string(delta.complete_to.value) + ", but revision " +
                std::to_string(newest_at_request.value) + " is in force"));
    return applied;
  }
  if (delta.after.value == 0) ReportOlderObjects(*store, delta, &applied);
  ApplyObjects(store, delta, &applied);
  if (!store->loaded) {
    store->loaded = true;
    applied.watermark_raised = true;
    ++store->generation;
  }
  return applied;
}

ConfigDelta DeltaSince(const ConfigStore& store, Revision after) {
  ConfigDelta delta{after, store.complete_to, {}};
  for (const auto& [name, object] : store.objects) {
    if (object.version > after) delta.objects.push_back(object);
  }
  return delta;
}

uint64_t HashOf(const ConfigStore& store) {
  uint64_t hash = 0;
  for (const auto& [name, object] : store.objects) {
    hash = Hash(name, hash);
    hash = Hash(std::to_string(object.version.value), hash);
  }
  return hash;
}

size_t SizeOf(const ConfigStore& store) {
  size_t size = 0;
  for (const auto& [name, object] : store.objects) {
    size += name.size() + object.text.size();
  }
  return size;
}

}  // namespace hibiscuspick::settings
