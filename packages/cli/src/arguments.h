// The arguments that several commands share, on TCLAP.
#pragma once

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

#include "hibiscuspick/cli/command.h"

namespace hibiscuspick::cli {

inline constexpr char kProgramVersion[] = "0.1.0";
inline constexpr char kOperatorsTarget[] = "127.0.0.1:8101";
inline constexpr char kCallersTarget[] = "127.0.0.1:8001";

using TextArg = TCLAP::ValueArg<std::string>;
using NumberArg = TCLAP::ValueArg<uint64_t>;
using AmountArg = TCLAP::ValueArg<double>;
using PlainArg = TCLAP::UnlabeledValueArg<std::string>;
using FlagArg = TCLAP::SwitchArg;

// One command's line, with what every call to a daemon may be given.
struct CallLine {
  CallLine(const std::string& about, const char* default_target);

  // Reads the arguments; `args` starts with the command's name. Throws what
  // TCLAP throws.
  void Parse(const std::vector<std::string>& args);

  // The call with target, timeout and form of output set.
  Result<DaemonCall> MakeCall() const;

  TCLAP::CmdLine line;
  TextArg target;
  NumberArg timeout_ms;
  FlagArg compact;
};

// As CallLine, with the operators' bearer token.
struct OperatorLine : CallLine {
  OperatorLine(const std::string& about, const Surroundings& surroundings);

  // Errors: kMalformedRequest if there is no token in the arguments or the
  // environment.
  Result<DaemonCall> MakeOperatorCall(const std::string& method,
                                      const std::string& path) const;

  const Surroundings& surroundings;
  TextArg token;
};

Error BadArguments(const std::string& message);

// The JSON document in a file, comments allowed. Errors: kMalformedRequest
// with the file's name.
Result<Json> ReadJsonFile(const Surroundings& surroundings,
                          const std::string& path);

// A JSON document given as an argument.
Result<Json> ReadJsonText(const std::string& argument, const std::string& text);

}  // namespace hibiscuspick::cli
