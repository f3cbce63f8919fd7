// Consistency checks of an object against the others. What would make an answer
// wrong is a fault, and the write is rejected. What only makes an answer
// smaller (a route whose snapshot doesn't exist yet, a server removed from a
// service while a manifest still names it) is a warning, so that operators can
// write objects in any order. Concurrent writes at two instances can both pass
// these checks; a resulting inconsistency is reported as a warning, and the
// affected objects are interpreted conservatively.
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
  // If there are any, the write is rejected.
  std::vector<Fault> faults;
  // Reported to the operator; the write proceeds.
  std::vector<Fault> warnings;
};

// Checks a value that is to replace `current` (nullptr for a new object).
CheckedWrite CheckWrite(const Configuration& configuration,
                        const ObjectName& name, const Json& value,
                        const Envelope* current);

// Inconsistencies that deleting the object would introduce.
std::vector<Fault> DeletionWarnings(const Configuration& configuration,
                                    const ObjectName& name);

// All inconsistencies between objects of the configuration; `place` starts
// with the object's name.
std::vector<Fault> FindMismatches(const Configuration& configuration);

}  // namespace hibiscuspick::settings
