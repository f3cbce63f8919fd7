// An object as it is now, here or at the platform.
#pragma once

#include <optional>
#include <string>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/platform/calls.h"
#include "hibiscuspick/settings/configuration.h"
#include "hibiscuspick/settings/envelope.h"
#include "precondition.h"

namespace hibiscuspick::operators {

// Nothing at all if there never was one. A version without an envelope is a
// value that something else wrote there.
struct Present {
  std::optional<Revision> version;
  std::optional<settings::Envelope> envelope;

  bool exists() const { return version && !(envelope && envelope->deleted); }
};

Present PresentOf(const platform::StoredObject& object);

// What is in force at this instance.
Present InForce(const settings::Configuration& configuration,
                const std::string& path);

// What the platform has. Errors: kPlatformUnavailable.
Result<Present> ReadPresent(const platform::Calls& calls,
                            const std::string& path);

bool Matches(const Precondition& precondition, const Present& present);

}  // namespace hibiscuspick::operators
