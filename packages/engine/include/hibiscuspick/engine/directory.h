// The list of backend servers, read from a store that may have outages.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/server_view.h"

namespace hibiscuspick::engine {

// During a store outage servers can't renew their entries, so that entries of
// healthy servers expire. Removing these would leave whole services without
// servers when the store returns. Entries that go missing around an outage are
// therefore kept until their servers have had time to register again.
struct Directory {
  std::map<BackendServerId, ServerEntry> entries;
  // Entries that the store no longer has, and when they will be removed.
  std::map<BackendServerId, Millis> expiring;
  // Entries that go missing before this are kept for kReregistrationTime.
  Millis grace_until{-1};
};

// How long entries may be missing after the store's return: servers register
// again within two seconds; the rest allows for network delay.
inline constexpr Millis kReregistrationTime{2200};

// Records that the store failed, hung or ended a watch at `now`.
void RecordStoreFailure(Directory* directory, Millis now);

// Replaces the entries by the store's full list. Entries that are missing from
// it are removed as in RemoveEntry.
void ReplaceAll(Directory* directory, const std::vector<ServerEntry>& listed,
                Millis now);

// Adds or replaces an entry.
void PutEntry(Directory* directory, const ServerEntry& entry);
// Removes the entry at once. For an entry that was overwritten with an invalid
// one: it is wrong, and not just expired.
void RemoveEntryNow(Directory* directory, const BackendServerId& id);
// Removes an entry that went missing: at once, or after kReregistrationTime if
// the store has failed recently.
void RemoveEntry(Directory* directory, const BackendServerId& id, Millis now);

// When the next expiring entry will be removed.
std::optional<Millis> NextExpiry(const Directory& directory);

// Removes the entries whose grace period is over. Returns true if there were
// any.
bool RemoveExpired(Directory* directory, Millis now);

}  // namespace hibiscuspick::engine
