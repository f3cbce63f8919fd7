// The current state of an object, at this instance or on the platform.
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

// Without a version, the object has never existed. A version without an
// envelope is a value that was not written by an instance.
struct ObjectState {
  std::optional<Revision> version;
  std::optional<settings::Envelope> envelope;

  bool exists() const { return version && !(envelope && envelope->deleted); }
};

ObjectState ObjectStateOf(const platform::StoredObject& object);

// The state in this instance's configuration.
ObjectState LocalState(const settings::Configuration& configuration,
                       const std::string& path);

// The state on the platform. Errors: kPlatformUnavailable.
Result<ObjectState> ReadPlatformState(const platform::Calls& calls,
                                      const std::string& path);

bool Matches(const Precondition& precondition, const ObjectState& current);

}  // namespace hibiscuspick::operators
