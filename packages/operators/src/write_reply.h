// One write, and the replies it can end in.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/faults.h"
#include "hibiscuspick/settings/object_name.h"
#include "precondition.h"
#include "present.h"

namespace hibiscuspick::operators {

// One write through its whole course.
struct Write {
  const Ports& ports;
  settings::ObjectName name;
  std::string path;
  // Null deletes.
  Json value;
  Precondition precondition;
  std::string write_id;
  std::shared_ptr<const settings::Configuration> configuration;
  std::vector<settings::Fault> warnings;
};

Reply AcceptedReply(const Write& write, Revision version);

Reply ConflictReply(const Present& present);

// The platform refused the write, and what it has instead couldn't be read.
Reply UnreadConflictReply();

Reply NotAcceptedReply(const Write& write, const std::string& message);

// `expected` is what the write was conditional on.
Reply UnknownReply(const Write& write, std::optional<Revision> expected);

// The value is stored, but in a version that other instances refuse.
Reply WentBackReply(const Write& write, Revision version);

}  // namespace hibiscuspick::operators
