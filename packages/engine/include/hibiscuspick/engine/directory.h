// The list of backend servers as it is believed, from a store that has outages.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/server_belief.h"

namespace hibiscuspick::engine {

// While the store is away servers can't renew their entries and these lapse,
// though the servers are well. Believing that would empty whole services at the
// moment the store returns. So what lapses around an outage is kept until the
// servers have had time to write again.
struct Directory {
  std::map<BackendServerId, ServerEntry> entries;
  // Entries the store no longer has, and when they stop being believed.
  std::map<BackendServerId, Millis> lapsing;
  // Removals before this are doubted.
  Millis doubtful_until{-1};
};

// How long after the store's return its entries may still be missing: servers
// write themselves in again within two seconds; the rest is for the way.
inline constexpr Millis kReturnTime{2200};

// The store failed, hung or cut a watch; seen at `now`.
void NoteStoreTrouble(Directory* directory, Millis now);

// All that the store has, from a list.
void ReplaceAll(Directory* directory, const std::vector<ServerEntry>& listed,
                Millis now);

void PutEntry(Directory* directory, const ServerEntry& entry);
// It is no longer to be believed, at once: not a lapse, but a word against it.
void DropEntry(Directory* directory, const BackendServerId& id);
void RemoveEntry(Directory* directory, const BackendServerId& id, Millis now);

// When the next entry stops being believed.
std::optional<Millis> NextLapse(const Directory& directory);

// Drops what has lapsed for good; true if anything was dropped.
bool DropLapsed(Directory* directory, Millis now);

}  // namespace hibiscuspick::engine
