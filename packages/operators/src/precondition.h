// The precondition of a write, so that concurrent operators cannot overwrite
// each other's changes unknowingly.
#pragma once

#include <optional>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/object_name.h"

namespace hibiscuspick::operators {

enum class PreconditionKind {
  // If-Match: the object has this version.
  kVersion,
  // If-None-Match: *: the object doesn't exist or is deleted.
  kAbsent,
  // No precondition; allowed only for drains, which must not wait for a lookup.
  kAny,
};

struct Precondition {
  PreconditionKind kind = PreconditionKind::kAbsent;
  Revision version;
};

// Reads the precondition from the headers. Errors: kMalformedRequest if it is
// missing where it is required, given twice or invalid.
Result<Precondition> ReadPrecondition(const Request& request,
                                      settings::ObjectKind kind);

}  // namespace hibiscuspick::operators
