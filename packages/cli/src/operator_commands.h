// The commands of the operators' API: get, put, delete, effective, status,
// drain and undrain.
#pragma once

#include <string>
#include <vector>

#include "hibiscuspick/cli/command.h"

namespace hibiscuspick::cli {

using Arguments = std::vector<std::string>;

// Each reads the arguments of its command, the command's name first; throws
// what TCLAP throws.
Result<Command> ReadGet(const Arguments& args, const Surroundings& it);
Result<Command> ReadPut(const Arguments& args, const Surroundings& it);
Result<Command> ReadDelete(const Arguments& args, const Surroundings& it);
Result<Command> ReadEffective(const Arguments& args, const Surroundings& it);
Result<Command> ReadStatus(const Arguments& args, const Surroundings& it);
Result<Command> ReadDrain(const Arguments& args, const Surroundings& it);
Result<Command> ReadUndrain(const Arguments& args, const Surroundings& it);

}  // namespace hibiscuspick::cli
