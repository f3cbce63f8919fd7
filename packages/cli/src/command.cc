#include "hibiscuspick/cli/command.h"

#include <tclap/CmdLine.h>

#include <array>
#include <string_view>

#include "arguments.h"
#include "caller_commands.h"
#include "operator_commands.h"

namespace hibiscuspick::cli {
namespace {

struct CommandRow {
  std::string_view name;
  std::string_view about;
  Result<Command> (*read)(const Arguments&, const Surroundings&);
};

constexpr std::array<CommandRow, 10> kCommands = {{
    {"get", "print a service, route, snapshot, settings level or drain",
     ReadGet},
    {"put", "write one, if nobody else has changed it since", ReadPut},
    {"delete", "delete one, if nobody else has changed it since", ReadDelete},
    {"effective", "print the settings in force at a level", ReadEffective},
    {"status", "print members, backend servers and versions", ReadStatus},
    {"drain", "give a backend server no new work", ReadDrain},
    {"undrain", "let it have work again", ReadUndrain},
    {"query", "run a query", ReadQuery},
    {"record", "record something at most once", ReadRecord},
    {"load", "send queries at a rate and report latency and coverage",
     ReadLoad},
}};

}  // namespace

std::string Usage() {
  std::string out =
      "usage: hibiscuspick COMMAND [--help] …\n\n"
      "commands:\n";
  for (const CommandRow& it : kCommands) {
    const size_t gap = it.name.size() < 11 ? 11 - it.name.size() : 1;
    out.append("  ").append(it.name).append(gap, ' ').append(it.about);
    out += '\n';
  }
  return out +
         "\nexit codes:\n"
         "  0  done\n"
         "  1  refused by the daemon\n"
         "  2  bad arguments or an unreadable file\n"
         "  3  no daemon reached, or no whole reply\n"
         "  4  not known whether it took effect\n"
         "  5  conflict: changed by somebody else, or the key is in use\n"
         "  6  the answer covers less than asked for\n";
}

Result<Command> ReadCommand(const std::vector<std::string>& args,
                            const Surroundings& surroundings) {
  if (args.empty()) return BadArguments("a command is missing\n\n" + Usage());
  for (const CommandRow& it : kCommands) {
    if (args.front() != it.name) continue;
    // TCLAP keeps for the whole process that an optional argument without a
    // flag was declared, and then refuses the declarations of a second line.
    TCLAP::OptionalUnlabeledTracker::alreadyOptional() = false;
    // TCLAP reports by throwing, also that it has printed its help.
    try {
      return it.read(args, surroundings);
    } catch (const TCLAP::ExitException&) {
      return Command(HelpShown{});
    } catch (const TCLAP::ArgException& error) {
      return BadArguments(error.argId() + ": " + error.error());
    }
  }
  return BadArguments("unknown command " + args.front() + "\n\n" + Usage());
}

}  // namespace hibiscuspick::cli
