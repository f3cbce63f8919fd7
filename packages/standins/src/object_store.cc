#include "hibiscuspick/standins/object_store.h"

#include <utility>

namespace hibiscuspick::standins {
namespace {

const Kind* FindKind(const ObjectStore& store, const std::string& kind) {
  const auto it = store.state.kinds.find(kind);
  return it == store.state.kinds.end() ? nullptr : &it->second;
}

}  // namespace

std::optional<Object> Get(const ObjectStore& store, const std::string& kind,
                          const std::string& name) {
  const Kind* found = FindKind(store, kind);
  if (found == nullptr) return std::nullopt;
  const auto it = found->objects.find(name);
  if (it == found->objects.end()) return std::nullopt;
  return it->second;
}

std::variant<uint64_t, Conflict> Put(ObjectStore& store,
                                     const std::string& kind,
                                     const std::string& name, std::string value,
                                     uint64_t expected) {
  const Object current = Get(store, kind, name).value_or(Object{});
  if (current.version != expected) return Conflict{current};
  const uint64_t version = ++store.state.revision;
  Kind& target = store.state.kinds[kind];
  target.changed.erase(current.version);
  target.changed[version] = name;
  target.objects[name] = Object{version, std::move(value)};
  return version;
}

ChangeList ChangesAfter(const ObjectStore& store, const std::string& kind,
                        uint64_t after) {
  ChangeList list;
  list.complete_to = store.state.revision;
  const Kind* found = FindKind(store, kind);
  if (found == nullptr) return list;
  for (auto it = found->changed.upper_bound(after); it != found->changed.end();
       ++it) {
    list.changes.push_back({it->second, found->objects.at(it->second)});
  }
  return list;
}

bool WatchReady(const ObjectStore& store, const std::string& kind,
                uint64_t after) {
  if (store.state.revision < after) return true;
  const Kind* found = FindKind(store, kind);
  if (found == nullptr || found->changed.empty()) return false;
  return found->changed.rbegin()->first > after;
}

uint64_t TakeBackup(ObjectStore& store) {
  store.backups[store.state.revision] = store.state;
  return store.state.revision;
}

bool Restore(ObjectStore& store, uint64_t revision) {
  const auto it = store.backups.find(revision);
  if (it == store.backups.end()) return false;
  store.state = it->second;
  return true;
}

}  // namespace hibiscuspick::standins
