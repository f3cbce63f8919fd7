// The command line of the program hibiscuspick, read into what is to be done.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hibiscuspick/base/result.h"
#include "hibiscuspick/cli/daemon_call.h"
#include "hibiscuspick/cli/load_plan.h"

namespace hibiscuspick::cli {

// What the command line may refer to, so that tests need no files.
struct Surroundings {
  std::function<std::optional<std::string>(const std::string&)> variable;
  // "-" reads standard input. Errors: kNotFound.
  std::function<Result<std::string>(const std::string&)> read_file;
};

// --help or --version was asked for and has been printed.
struct HelpShown {};

using Command = std::variant<DaemonCall, LoadPlan, HelpShown>;

// `args` without the program's name. Errors: kMalformedRequest with a sentence
// for the person at the terminal.
Result<Command> ReadCommand(const std::vector<std::string>& args,
                            const Surroundings& surroundings);

// The list of commands and exit codes.
std::string Usage();

}  // namespace hibiscuspick::cli
