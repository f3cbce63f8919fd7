// What is stored at the platform around an operator's value: whether it is
// deleted, the ids of the last writes, and for a snapshot the manifests before
// it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/result.h"

namespace hibiscuspick::settings {

// Write ids an object keeps. A write whose reply was lost stays answerable
// until this many others have gone over it.
inline constexpr size_t kKeptWriteIds = 8;

// Earlier manifests a snapshot object keeps, so that an instance that starts
// now can still pin one that backend servers have not dropped yet.
inline constexpr size_t kKeptManifests = 2;

// The platform's limit for one value.
inline constexpr size_t kMaxStoredBytes = 1 << 20;

// One write: its id, and the version it gave. The writer can't know its own
// version, so the next one fills it in; 0 for the last.
struct WriteMark {
  std::string id;
  Revision version;
};

// A manifest that was in force before.
struct EarlierValue {
  Revision version;
  Json value;
};

struct Envelope {
  bool deleted = false;
  // Oldest first.
  std::vector<WriteMark> writes;
  // Newest first.
  std::vector<EarlierValue> previous;
  // Null when deleted.
  Json value;
};

// Errors: kInvalidValue for anything that isn't an envelope.
Result<Envelope> ReadEnvelope(const Json& stored);

// The same from its text.
Result<Envelope> ReadEnvelopeText(const std::string& text);

Json ToJson(const Envelope& envelope);

// What replaces `present` (nothing for a new object), which has the version
// `version`. A null `value` deletes. With `keep_manifests` the replaced value
// joins `previous`, unless the new one has the same index_version.
Envelope NextEnvelope(const std::optional<Envelope>& present, Revision version,
                      Json value, const std::string& write_id,
                      bool keep_manifests);

}  // namespace hibiscuspick::settings
