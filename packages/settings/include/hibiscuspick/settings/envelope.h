// The stored form of an operator's object on the platform: the value, whether
// it is deleted, the ids of the last writes and, for a snapshot, its previous
// manifests.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/result.h"

namespace hibiscuspick::settings {

// The number of write ids that an object keeps. The outcome of a write whose
// reply was lost can be looked up until this many later writes have replaced
// it.
inline constexpr size_t kKeptWriteIds = 8;

// The number of previous manifests that a snapshot object keeps, so that an
// instance that has just started can still pin one that backend servers have
// not dropped yet.
inline constexpr size_t kKeptManifests = 2;

// The platform's size limit for one value.
inline constexpr size_t kMaxStoredBytes = 1 << 20;

// A write's id and the version it produced. A writer doesn't know its own
// version in advance, so the next write fills it in; 0 for the last write.
struct WriteRecord {
  std::string id;
  Revision version;
};

// A manifest that was replaced by a later one.
struct PreviousValue {
  Revision version;
  Json value;
};

struct Envelope {
  bool deleted = false;
  // Oldest first.
  std::vector<WriteRecord> writes;
  // Newest first.
  std::vector<PreviousValue> previous;
  // Null when deleted.
  Json value;
};

// Errors: kInvalidValue if the JSON isn't an envelope.
Result<Envelope> ReadEnvelope(const Json& stored);

// Parses an envelope from its JSON text.
Result<Envelope> ReadEnvelopeText(const std::string& text);

Json ToJson(const Envelope& envelope);

// Builds the envelope that replaces `current` (nullopt for a new object), whose
// version is `version`. A null `value` deletes the object. With
// `keep_manifests` the replaced value is added to `previous`, unless the new
// one has the same index_version.
Envelope NextEnvelope(const std::optional<Envelope>& current, Revision version,
                      Json value, const std::string& write_id,
                      bool keep_manifests);

}  // namespace hibiscuspick::settings
