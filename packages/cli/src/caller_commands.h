// The commands of the callers' API: query, record and load.
#pragma once

#include <string>
#include <vector>

#include "hibiscuspick/cli/command.h"

namespace hibiscuspick::cli {

// Each reads the arguments of its command, the command's name first; throws
// what TCLAP throws.
Result<Command> ReadQuery(const std::vector<std::string>& args,
                          const Surroundings& it);
Result<Command> ReadRecord(const std::vector<std::string>& args,
                           const Surroundings& it);
Result<Command> ReadLoad(const std::vector<std::string>& args,
                         const Surroundings& it);

}  // namespace hibiscuspick::cli
