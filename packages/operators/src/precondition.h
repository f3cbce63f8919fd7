// The condition a write carries, so that two operators can't overwrite each
// other unseen.
#pragma once

#include <optional>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/object_name.h"

namespace hibiscuspick::operators {

enum class PreconditionKind {
  // If-Match: the object has this version.
  kVersion,
  // If-None-Match: *, there is no such object, or it is deleted.
  kAbsent,
  // None given; only for drains, which may not wait for a lookup.
  kAny,
};

struct Precondition {
  PreconditionKind kind = PreconditionKind::kAbsent;
  Revision version;
};

// Reads the headers. Errors: kMalformedRequest if there is none where one is
// needed, both, or one that can't be read.
Result<Precondition> ReadPrecondition(const Request& request,
                                      settings::ObjectKind kind);

}  // namespace hibiscuspick::operators
