#include "hibiscuspick/engine/directory.h"

#include <set>

namespace hibiscuspick::engine {

void NoteStoreTrouble(Directory* directory, Millis now) {
  directory->doubtful_until = Max(directory->doubtful_until, now + kReturnTime);
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
  directory->lapsing.erase(entry.id);
}

void DropEntry(Directory* directory, const BackendServerId& id) {
  directory->entries.erase(id);
  directory->lapsing.erase(id);
}

void RemoveEntry(Directory* directory, const BackendServerId& id, Millis now) {
  if (now >= directory->doubtful_until) {
    DropEntry(directory, id);
    return;
  }
  directory->lapsing.try_emplace(id, now + kReturnTime);
}

std::optional<Millis> NextLapse(const Directory& directory) {
  std::optional<Millis> next;
  for (const auto& [id, due] : directory.lapsing) {
    next = next ? Min(*next, due) : due;
  }
  return next;
}

bool DropLapsed(Directory* directory, Millis now) {
  bool dropped = false;
  for (auto it = directory->lapsing.begin(); it != directory->lapsing.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    directory->entries.erase(it->first);
    it = directory->lapsing.erase(it);
    dropped = true;
  }
  return dropped;
}

}  // namespace hibiscuspick::engine
