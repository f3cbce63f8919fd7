// The exit codes of the program hibiscuspick; docs/CLI.md lists them.
#pragma once

namespace hibiscuspick::cli {

enum class ExitCode {
  kDone = 0,
  // The daemon refused; its message says why.
  kRefused = 1,
  kBadArguments = 2,
  kUnreachable = 3,
  // A write or record may or may not have taken effect.
  kOutcomeUnknown = 4,
  // Somebody else's write came first, or the record's key is in use.
  kConflict = 5,
  // An answer below the coverage asked for (status 206), printed all the same.
  kPartial = 6,
};

}  // namespace hibiscuspick::cli
