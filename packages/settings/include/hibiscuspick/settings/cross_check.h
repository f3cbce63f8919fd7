// Checks of an object against the others. What would make an answer untrue is
// a fault and refused at the write; what only makes it smaller (a route whose
// snapshot isn't there yet, a server taken from a service while a manifest
// still names it) is a warning, so that operators can write objects in any
// order. Two writes at two instances can pass these checks side by side; what
// is then in force is warned of and read on the safe side.
#pragma once

#include <string>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/settings/envelope.h"
#include "hibiscuspick/settings/faults.h"
#include "hibiscuspick/settings/object_name.h"

namespace hibiscuspick::settings {

struct Configuration;

struct CheckedWrite {
  // Refuse the write if there are any.
  std::vector<Fault> faults;
  // Tell the operator and go on.
  std::vector<Fault> warnings;
};

// Checks a value that is to replace `present` (nothing for a new object).
CheckedWrite CheckWrite(const Configuration& configuration,
                        const ObjectName& name, const Json& value,
                        const Envelope* present);

// What a deletion would leave without a partner.
std::vector<Fault> WarningsOfDeletion(const Configuration& configuration,
                                      const ObjectName& name);

// Everything in the configuration that doesn't fit together; `place` is the
// object's name.
std::vector<Fault> FindMismatches(const Configuration& configuration);

}  // namespace hibiscuspick::settings
