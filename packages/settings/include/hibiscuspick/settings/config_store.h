// The configuration objects that an instance holds, with their versions. The
// store does no I/O: the control thread owns one ConfigStore, applies updates
// from the platform and from other instances, and builds the traffic threads'
// view from it.
//
// An object is replaced only by one of a higher version. A stale peer, a late
// reply or a platform restored from a backup therefore cannot roll back a
// change that an operator saw accepted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/result.h"

namespace hibiscuspick::settings {

// One object as stored on the platform. A deletion is stored as an object whose
// text marks it as deleted (a tombstone, see envelope.h); its version keeps
// older values from reappearing.
struct ConfigObject {
  // "services/x", "routes/x", "settings/system", "settings/customer/c", …
  std::string name;
  Revision version;
  // The envelope as JSON on one line with sorted keys, so that equal values
  // have equal texts.
  std::string text;

  bool operator==(const ConfigObject&) const = default;
};

// All objects whose last change is after `after` and not after `complete_to`.
// May contain some newer objects as well.
struct ConfigDelta {
  Revision after;
  Revision complete_to;
  std::vector<ConfigObject> objects;
};

struct ConfigStore {
  // Includes tombstones of deleted objects.
  std::map<std::string, ConfigObject> objects;
  // Every change up to this revision is in `objects`, which may also hold
  // single newer objects. 0: nothing is loaded and the instance isn't ready.
  Revision complete_to;
  // The highest revision seen: the watermark or the version of a single newer
  // object.
  Revision newest;
  // Whether the platform, or an instance that had loaded its configuration,
  // has answered. A new platform answers that it is empty, at revision 0;
  // operators may then write the first objects, though there is nothing to
  // serve yet.
  bool loaded = false;
  // Counts changes of `objects` and `complete_to`, so that a caller can check
  // cheaply whether a derived value is still valid. Local to this process.
  uint64_t generation = 0;
};

// The result of applying a delta.
struct ApplyResult {
  // Names of the objects that were replaced by a newer version.
  std::vector<std::string> changed;
  // Also true for the first answer from the platform, so that the view is
  // rebuilt when a new platform reports that it is empty.
  bool watermark_raised = false;
  // The delta starts after ConfigStore::complete_to, so changes in between are
  // missing: request a delta from there. The objects of this one were applied.
  bool gap = false;
  // Errors kPlatformWentBack: the platform was restored from a backup, or gave
  // one version to two contents. `place` is the object's name or empty. The
  // caller logs and counts them; the store keeps its own objects.
  std::vector<Error> alarms;
};

// Applies a delta from another instance, or an accepted write (as a delta with
// after == complete_to == 0 and one object). Raises the watermark only if the
// delta follows on it without a gap.
ApplyResult ApplyDelta(ConfigStore* store, const ConfigDelta& delta);

// Applies the platform's answer to a list or watch after `delta.after`.
// `newest_at_request` is ConfigStore::newest when the request was sent: if the
// platform's revision is below it, the platform was restored from a backup, and
// the answer is rejected as a whole with kPlatformWentBack. With `delta.after`
// 0 the answer is a full listing, and each object that the platform holds in an
// older version than the store, although its revision has passed the store's
// version, raises the same alarm.
ApplyResult ApplyFromPlatform(ConfigStore* store, const ConfigDelta& delta,
                              Revision newest_at_request);

// The changes after `after`; 0 gives all objects.
ConfigDelta DeltaSince(const ConfigStore& store, Revision after);

// A hash over the sorted names and versions; equal stores have equal hashes.
uint64_t HashOf(const ConfigStore& store);

// Total bytes of names and texts.
size_t SizeOf(const ConfigStore& store);

}  // namespace hibiscuspick::settings
