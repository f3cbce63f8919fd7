// Logs: short sentences behind a fixed prefix for each part, as text or as
// JSON lines.
#pragma once

#include <spdlog/formatter.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <string>
#include <string_view>

namespace hibiscuspick {

// The parts of the product, each with its fixed prefix ("route:", "limit:").
enum class Part {
  kDaemon,
  kFront,
  kRoute,
  kLimit,
  kBackend,
  kMembers,
  kPlacement,
  kConfig,
  kPlatform,
  kRecord,
};

// The prefix without its colon.
std::string_view PartName(Part part);

enum class LogFormat { kText, kJson };

// How lines are written; in JSON each line is a whole document, whatever the
// text holds.
std::unique_ptr<spdlog::formatter> MakeLogFormatter(
    LogFormat format, const std::string& instance);

// Where lines go.
enum class LogStream { kStandardError, kStandardOutput };

// Sets up all loggers of the process. `level` is one
// of spdlog's names ("debug", "info", "warn", "error", "off"). Lines are
// written by a background thread; when its queue overflows the oldest lines are
// dropped rather than traffic held up.
void StartLogs(LogFormat format, const std::string& level,
               const std::string& instance,
               LogStream stream = LogStream::kStandardError);

// Writes what is still queued. Called once, before exit.
void StopLogs();

// The part's logger. Before StartLogs, one that is off, so that libraries and
// tests stay silent.
spdlog::logger& Log(Part part);

}  // namespace hibiscuspick
