// The load that a backend server reports with each reply.
#pragma once

#include <optional>
#include <string_view>

namespace hibiscuspick::engine {

struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  // The current duration of work on the server's machine as a multiple of the
  // usual duration; 1 if the server doesn't report it.
  double work_factor = 1;
};

// Parses "running,waiting,slots" or "running,waiting,slots,percent". Returns
// nothing for any other text: a wrong number of fields, a field that is
// negative, not an integer or out of range, zero slots, or a percentage of
// zero. The server is then treated as one that reports no load.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace hibiscuspick::engine
