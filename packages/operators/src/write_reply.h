// A write request and its possible replies.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/faults.h"
#include "hibiscuspick/settings/object_name.h"
#include "object_state.h"
#include "precondition.h"

namespace hibiscuspick::operators {

// The state of one write request.
struct Write {
  const Ports& ports;
  settings::ObjectName name;
  std::string path;
  // Null for a deletion.
  Json value;
  Precondition precondition;
  std::string write_id;
  std::shared_ptr<const settings::Configuration> configuration;
  std::vector<settings::Fault> warnings;
};

Reply AcceptedReply(const Write& write, Revision version);

Reply ConflictReply(const ObjectState& current);

// The write conflicted, and the object that the platform has instead could not
// be read.
Reply ConflictReplyWithoutState();

Reply NotAcceptedReply(const Write& write, const std::string& message);

// `expected` is the version in the write's condition.
Reply UnknownReply(const Write& write, std::optional<Revision> expected);

// The platform stored the value under a version that other instances reject.
Reply VersionRegressionReply(const Write& write, Revision version);

}  // namespace hibiscuspick::operators
