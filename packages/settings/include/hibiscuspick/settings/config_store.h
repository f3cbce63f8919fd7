// The configuration objects an instance knows, with their versions. Pure: the
// control thread owns one ConfigStore, feeds it what the platform and other
// instances say, and builds the traffic threads' view from it.
//
// The one rule: an object only ever goes up in version. A stale peer, a reply
// that arrives late or a platform restored from a backup can therefore add
// nothing and take nothing away; without it a change that an operator saw
// accepted would silently vanish.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/result.h"

namespace hibiscuspick::settings {

// One object as stored at the platform. A deletion is an object too: its text
// says so (see envelope.h), and its version keeps older values from coming
// back.
struct ConfigObject {
  // "services/x", "routes/x", "settings/system", "settings/customer/c", …
  std::string name;
  Revision version;
  // The envelope as JSON on one line, keys in order, so that equal values have
  // equal texts.
  std::string text;

  bool operator==(const ConfigObject&) const = default;
};

// All objects whose last change is after `after` and not after `complete_to`;
// it may hold some newer ones as well.
struct ConfigDelta {
  Revision after;
  Revision complete_to;
  std::vector<ConfigObject> objects;
};

struct ConfigStore {
  // Deleted ones included.
  std::map<std::string, ConfigObject> objects;
  // Everything up to this revision is in `objects`; single newer objects may
  // be there too. 0: nothing is known, the instance isn't ready.
  Revision complete_to;
  // The highest revision known of at all: the watermark or a single newer
  // object's version.
  Revision newest;
  // Whether the platform or an instance that knew has answered at all. A new
  // platform answers that it is empty, at revision 0: then operators may write
  // the first objects, though there is nothing to serve yet.
  bool known = false;
  // Counts changes of `objects` and `complete_to`, so that a holder can see
  // cheaply whether a derived value is still good. Of this process only.
  uint64_t generation = 0;
};

// What applying did.
struct Applied {
  // Names of the objects that went up.
  std::vector<std::string> changed;
  // Also for the first answer of all, so that whoever builds on the store
  // builds anew when a new platform says that it is empty.
  bool watermark_raised = false;
  // The delta starts after what is known here: ask for one since
  // ConfigStore::complete_to. Its objects were applied nevertheless.
  bool gap = false;
  // kPlatformWentBack: a restored platform, or one version with two contents.
  // `place` is the object's name or empty. To be logged and counted; the
  // store keeps what it had.
  std::vector<Error> alarms;
};

// Applies what another instance sent, or an accepted write (as a delta with
// after == complete_to == 0 and one object). Raises the watermark only if
// nothing is missing between it and the delta.
Applied ApplyDelta(ConfigStore* store, const ConfigDelta& delta);

// Applies the platform's answer to a list or watch after `delta.after`, asked
// when ConfigStore::newest was `known`. Refuses it whole, with
// kPlatformWentBack, if the platform's revision is below `known`: it was
// restored from a backup. With `delta.after` 0 the answer is everything, and
// each object that the platform holds in an older version than the store
// although its revision is past the store's version raises the same alarm.
Applied ApplyFromPlatform(ConfigStore* store, const ConfigDelta& delta,
                          Revision known);

// What a peer that has everything up to `after` lacks; 0 gives everything.
ConfigDelta DeltaSince(const ConfigStore& store, Revision after);

// One hash over the sorted names and versions: equal stores, equal hashes.
uint64_t HashOf(const ConfigStore& store);

// Bytes of names and texts, for the capacity page and a metric.
size_t SizeOf(const ConfigStore& store);

}  // namespace hibiscuspick::settings
