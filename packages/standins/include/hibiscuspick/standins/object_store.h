// The objects of the platform stand-in: versions from one counter, conditional
// updates, changes since a revision, backups. No threads and no sockets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hibiscuspick::standins {

// One object; `value` is JSON text.
struct Object {
  uint64_t version = 0;
  std::string value;
};

// The objects of one kind, by name, and the name that each revision changed
// last. Older changes of an object leave the index when a newer one comes.
struct Kind {
  std::map<std::string, Object> objects;
  std::map<uint64_t, std::string> changed;
};

// All that a backup brings back.
struct StoredState {
  uint64_t revision = 0;
  std::map<std::string, Kind> kinds;
};

struct ObjectStore {
  StoredState state;
  // Backups by the revision at which each was taken.
  std::map<uint64_t, StoredState> backups;
};

// The write was refused: the object as it is now, version 0 if there is none.
struct Conflict {
  Object current;
};

// One changed object of a list.
struct Change {
  std::string name;
  Object object;
};

// The newest state of each object changed after a revision, in the order of
// their versions, and the revision up to which that is all.
struct ChangeList {
  uint64_t complete_to = 0;
  std::vector<Change> changes;
};

std::optional<Object> Get(const ObjectStore& store, const std::string& kind,
                          const std::string& name);

// Writes if the object has the version `expected`, where 0 stands for "does
// not exist"; gives the new version.
std::variant<uint64_t, Conflict> Put(ObjectStore& store,
                                     const std::string& kind,
                                     const std::string& name, std::string value,
                                     uint64_t expected);

ChangeList ChangesAfter(const ObjectStore& store, const std::string& kind,
                        uint64_t after);

// Whether a watch from `after` has something to tell: a change of the kind, or
// a counter that went back below `after`.
bool WatchReady(const ObjectStore& store, const std::string& kind,
                uint64_t after);

// Keeps the state of now; gives its revision.
uint64_t TakeBackup(ObjectStore& store);

// Goes back to a backup, the counter too, so that later writes give out
// versions that were in use before. False if there is no such backup.
bool Restore(ObjectStore& store, uint64_t revision);

}  // namespace hibiscuspick::standins
