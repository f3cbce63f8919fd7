#include "hibiscuspick/engine/directory.h"

#include <set>

namespace hibiscuspick::engine {

void RecordStoreFailure(Directory* directory, Millis now) {
  directory->grace_until =
      Max(directory->grace_until, now + kReregistrationTime);
}

void ReplaceAll(Directory* directory, const std::vector<ServerEntry>& listed,
                Millis now) {
  std::set<BackendServerId> present;
  for (const auto& it : listed) {
    present.insert(it.id);
    PutEntry(directory, it);
  }
  std::vector<BackendServerId> missing;
  for (const auto& [id, entry] : directory->entries) {
    if (!present.contains(id)) missing.push_back(id);
  }
  for (const auto& id : missing) RemoveEntry(directory, id, now);
}

void PutEntry(Directory* directory, const ServerEntry& entry) {
  directory->entries[entry.id] = entry;
  directory->expiring.erase(entry.id);
}

void RemoveEntryNow(Directory* directory, const BackendServerId& id) {
  directory->entries.erase(id);
  directory->expiring.erase(id);
}

void RemoveEntry(Directory* directory, const BackendServerId& id, Millis now) {
  if (now >= directory->grace_until) {
    RemoveEntryNow(directory, id);
    return;
  }
  directory->expiring.try_emplace(id, now + kReregistrationTime);
}

std::optional<Millis> NextExpiry(const Directory& directory) {
  std::optional<Millis> next;
  for (const auto& [id, due] : directory.expiring) {
    next = next ? Min(*next, due) : due;
  }
  return next;
}

bool RemoveExpired(Directory* directory, Millis now) {
  bool removed = false;
  for (auto it = directory->expiring.begin();
       it != directory->expiring.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    directory->entries.erase(it->first);
    it = directory->expiring.erase(it);
    removed = true;
  }
  return removed;
}

}  // namespace hibiscuspick::engine
