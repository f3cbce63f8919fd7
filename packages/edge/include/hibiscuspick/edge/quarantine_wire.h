// Text form of what instances tell each other of requests under which servers
// ended: one line for each request.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/engine/request_quarantine.h"

namespace hibiscuspick::edge {

// Servers that a report names at most.
inline constexpr size_t kMaxEndsSent = 32;

struct QuarantineMessage {
  // The sender has just started and asks for all records.
  bool wants_all = false;
  // The receiver passes the reports on within its data centre.
  bool pass_on = false;
  std::vector<engine::QuarantineReport> reports;
};

std::string FormatReport(const engine::QuarantineReport& report);
// Nullopt if the line is malformed.
std::optional<engine::QuarantineReport> ParseReport(std::string_view line);

std::string FormatQuarantine(const QuarantineMessage& message);
// Nullopt if the text is malformed.
std::optional<QuarantineMessage> ParseQuarantine(std::string_view text);

}  // namespace hibiscuspick::edge
